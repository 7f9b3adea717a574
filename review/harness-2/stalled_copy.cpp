// SPDX-License-Identifier: BSL-1.0
// Three storage machines. One loses its disk and freezes for a moment while it
// copies from the others; later, long after it is back, a second one loses its
// disk. Are turns served again?
#include "fleet.hpp"

#include <csignal>

namespace {

using review::milliseconds;

/// Turns between two planned restarts of the storage machines.
constexpr unsigned turns_of_a_step = 150;
constexpr unsigned steps = 3;
/// Between two machines that are stopped and started in turn.
constexpr milliseconds restart_gap{1300};
/// Turns after the last restart: with them, machines list what they have in
/// several pages.
constexpr unsigned further_turns = 2200;
/// Between two looks at the disks' old files, as the logs show.
constexpr std::int64_t upkeep_ms = 2000;
/// A disk that is lost: the machine is back after this time.
constexpr milliseconds down_time{1000};
/// Longest freeze of a storage machine in the small site files.
constexpr milliseconds freeze_time{3200};
constexpr milliseconds catch_up{4300};
constexpr milliseconds recovery{12000};
constexpr unsigned asked_at_the_end = 60;

/// Waits for the moment \p ahead after the next removal of an old file by
/// \p source, as its log shows; false if there is none.
bool await_removal(review::fleet& all, const review::machine& source)
{
    const auto before = review::fleet::count_events(source, "segment_removed");
    constexpr milliseconds limit{12000};
    return all.run(limit, [&] {
        return review::fleet::count_events(source, "segment_removed") > before;
    });
}

int run_case(review::fleet& all, review::record& log)
{
    if (!all.start())
    {
        log.tell("the deployment does not answer");
        return review::could_not_run;
    }
    auto& source = all.storage(0);
    auto& second = all.storage(1);
    auto& joiner = all.storage(2);
    unsigned served = 0;
    unsigned sent = 0;
    for (unsigned i = 0; i < steps; ++i)
    {
        served += all.run_programs(turns_of_a_step,
                                   "load-" + std::to_string(i) + "-");
        sent += turns_of_a_step;
        // Planned work: one machine after the other.
        all.restart(source);
        all.run(restart_gap);
        all.restart(second);
        all.run(restart_gap);
    }
    const bool trouble = review::with_trouble();
    served += all.run_programs(further_turns, "more-");
    sent += further_turns;
    log.tell("before the trouble " + std::to_string(served) + " of " +
             std::to_string(sent) + " turns were answered whole; turns on " +
             source.m_name + ": " + all.metric(source, "turns"));
    if (4 * served < sent)
        return review::could_not_run;
    all.keep_asking("steady-", milliseconds(50));
    if (trouble)
    {
        if (!await_removal(all, source))
            log.tell("no file was removed in time");
        all.lose_disk(joiner);
        all.run(down_time);
        all.start(joiner);
        // It copies now: freeze it in the middle.
        const bool copies = all.run(milliseconds(3000), [&] {
            const auto count = all.metric(joiner, "turns");
            return !count.empty() && std::stoul(count) > 0;
        });
        log.tell("turns on " + joiner.m_name + ": " +
                 all.metric(joiner, "turns") +
                 (copies ? "" : ", too late to freeze it"));
        all.send_signal(joiner, SIGSTOP);
        all.run(freeze_time);
        all.send_signal(joiner, SIGCONT);
    }
    // The machine is back for far longer than it is given.
    all.run(2 * catch_up);
    log.tell("turns on " + joiner.m_name + ": " + all.metric(joiner, "turns"));
    if (trouble)
    {
        all.lose_disk(second);
        all.run(down_time);
        all.start(second);
    }
    all.run(recovery);
    const auto at_the_end = all.run_programs(asked_at_the_end, "end-");
    log.tell("after the time to recover " + std::to_string(at_the_end) +
             " of " + std::to_string(asked_at_the_end) +
             " turns were answered whole");
    log.tell("unreadable entries on " + source.m_name + ": " +
             std::to_string(
                 review::fleet::count_events(source, "entry_unreadable")));
    const bool held = 4 * at_the_end >= asked_at_the_end;
    log.tell(held ? "RECOVER held" : "RECOVER broken");
    return held ? review::rule_held : review::rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return review::could_not_run;
    review::record log(argv[3]);
    review::fleet all({3, 2, 3, 1, 0}, argv[2], argv[1], log);
    return run_case(all, log);
}
