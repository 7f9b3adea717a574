// SPDX-License-Identifier: BSL-1.0
// Ten storage machines, of which two may be lost at once. One is removed for
// good and replaced by an empty one at another address; when that has had its
// time, and more, two others lose their disks. Do programs go on from the turns
// that they were answered before?
#include "fleet.hpp"

#include <csignal>
#include <cstdlib>

namespace {

using review::milliseconds;

constexpr unsigned programs_before = 60;
/// From the removal of a machine to the start of its successor.
constexpr milliseconds replace_time{2000};
/// A machine counts as lost for so long after its start.
constexpr milliseconds catch_up{6000};
/// A machine whose disk is lost is back after this time.
constexpr milliseconds down_time{2000};
constexpr milliseconds recovery{15000};
/// Tries of each client at the end: as many as the rule asks for.
constexpr unsigned tries = 5;

/// Takes the first turn of some programs.
std::vector<review::turn> begin_programs(review::fleet& all)
{
    std::vector<review::turn> requests;
    for (unsigned i = 0; i < programs_before; ++i)
    {
        const auto id = "before-" + std::to_string(i);
        requests.push_back({id, "p-" + id, "", "input of " + id + "\n"});
    }
    const auto answers = all.ask_all(requests);
    std::vector<review::turn> out;
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        if (review::is_served(answers[i]))
            out.push_back(requests[i]);
    }
    return out;
}

/// Asks once for the next turn of each program.
/// \returns the programs that are not served
std::vector<review::turn> go_on(review::fleet& all,
                                const std::vector<review::turn>& programs,
                                const std::string& prefix)
{
    std::vector<review::turn> requests;
    requests.reserve(programs.size());
    for (const auto& row : programs)
        requests.push_back(
            {prefix + row.m_id, row.m_program, row.m_id, "and on\n"});
    const auto answers = all.ask_all(requests);
    std::vector<review::turn> out;
    for (std::size_t i = 0; i < programs.size(); ++i)
    {
        if (!review::is_served(answers[i]))
            out.push_back(programs[i]);
    }
    return out;
}

/// New programs begin with a turn after one of \p before, as some do after a
/// fault; part of them belong to the other replica set.
/// \returns how many of \p before are denied with 404, although they were
/// answered whole
std::size_t count_denied(review::fleet& all,
                         const std::vector<review::turn>& before)
{
    constexpr unsigned new_programs = 4;
    constexpr unsigned no_such_turn = 404;
    std::vector<review::turn> requests;
    for (const auto& row : before)
    {
        for (unsigned i = 0; i < new_programs; ++i)
        {
            const auto name = "new" + std::to_string(i) + "-" + row.m_id;
            requests.push_back({name, "p-" + name, row.m_id, "and on\n"});
        }
    }
    const auto answers = all.ask_all(requests);
    std::set<std::string> denied;
    for (std::size_t i = 0; i < requests.size(); ++i)
    {
        if (answers[i].m_status == no_such_turn)
            denied.insert(requests[i].m_previous);
    }
    return denied.size();
}

int run_case(review::fleet& all, review::record& log, unsigned storages)
{
    // Either half of the trouble alone can be played too.
    const char* trouble = std::getenv("TROUBLE");
    const std::string kind = trouble == nullptr ? "1" : trouble;
    const bool replaces = kind != "0" && kind != "wipe";
    const bool wipes = kind != "0" && kind != "replace";
    if (!all.start())
    {
        log.tell("the deployment does not answer");
        return review::could_not_run;
    }
    const auto programs = begin_programs(all);
    log.tell(std::to_string(programs.size()) + " of " +
             std::to_string(programs_before) +
             " first turns were answered whole");
    if (programs.size() < programs_before)
        return review::could_not_run;
    auto& removed = all.storage(0);
    const auto set = all.metric(removed, "replica_set");
    if (replaces)
    {
        all.send_signal(removed, SIGKILL);
        all.await_end(removed, milliseconds(1000));
        log.tell(removed.m_name + " of set " + set + " is gone for good");
        all.run(replace_time);
        all.start(all.spare(0));
    }
    // The successor gets twice the time that it is given.
    all.run(2 * catch_up);
    // Which set the successor joins depends on its name; with these names it is
    // the other one, and then the case shows.
    if (replaces)
        log.tell("the successor is in set " +
                 all.metric(all.spare(0), "replica_set") + " of " +
                 all.metric(all.spare(0), "view_members") + " machines");
    if (wipes)
    {
        std::vector<review::machine*> lost;
        for (unsigned i = 0; i < storages && lost.size() < 2; ++i)
        {
            auto& row = all.storage(i);
            if (&row != &removed && all.metric(row, "replica_set") == set)
                lost.push_back(&row);
        }
        if (lost.size() < 2)
            return review::could_not_run;
        for (auto* row : lost)
            all.lose_disk(*row);
        all.run(down_time);
        for (auto* row : lost)
            all.start(*row);
    }
    all.run(recovery);
    const auto denied = count_denied(all, programs);
    auto unserved = programs;
    for (unsigned i = 0; i < tries; ++i)
        unserved = go_on(all, unserved, "try" + std::to_string(i) + "-");
    log.tell("after the time to recover new programs are answered 404 for " +
             std::to_string(denied) + " of " + std::to_string(programs.size()) +
             " turns that were answered whole");
    log.tell(std::to_string(unserved.size()) + " of " +
             std::to_string(programs.size()) +
             " programs cannot go on from such a turn in " +
             std::to_string(tries) + " tries");
    const bool held = denied == 0 && unserved.empty();
    log.tell(held ? "LOST held" : "LOST broken");
    return held ? review::rule_held : review::rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return review::could_not_run;
    review::record log(argv[3]);
    constexpr unsigned storages = 10;
    review::fleet all({storages, 2, 5, 2, 1}, argv[2], argv[1], log);
    return run_case(all, log, storages);
}
