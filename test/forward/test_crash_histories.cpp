// SPDX-License-Identifier: BSL-1.0
/// \file
/// Random histories of requests on the virtual clock, some of which end
/// runners, while runners, zones and services crash for other reasons. A fatal
/// request may end three runners, whatever else happens; and what harmed
/// nobody is served again soon after the runners are.
#include "pepperturn/forward/crash_guard.hpp"
#include "pepperturn/turns/ledger.hpp"

#include <array>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace {

using namespace pepperturn;

class virtual_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_now;
    }
    instant m_now{};
};

/// The crash ledgers as a quorum of storage VMs tells them.
class ledgers_in_memory
{
public:
    crash_ledger_access access()
    {
        crash_ledger_access out;
        out.m_begin = [this](begin_request request, instant) {
            return begin(std::move(request));
        };
        out.m_read = [this](id_key ledger, instant) { return read(ledger); };
        out.m_settle = [this](const begin_request& row) {
            if (m_available)
                join_ledger(m_ledgers[row.m_program],
                            {{row.m_program, row.m_attempt, 0, true}});
        };
        return out;
    }

    /// Whether a quorum of storage VMs replies.
    bool m_available = true;

private:
    task<begin_result> begin(begin_request request)
    {
        if (!m_available)
            co_return begin_result{};
        auto& ledger = m_ledgers[request.m_program];
        begin_result out;
        out.m_outcome = begin_outcome::granted;
        out.m_unsettled = unsettled_of(ledger, request.m_attempt);
        join_ledger(ledger, {{request.m_program, request.m_attempt,
                              request.m_tokens, false}});
        co_return out;
    }
    task<std::optional<std::vector<reservation>>> read(id_key ledger)
    {
        if (!m_available)
            co_return std::nullopt;
        co_return unsettled_of(m_ledgers[ledger], {});
    }

    std::map<id_key, joint_ledger> m_ledgers;
};

/// What a runner makes of a fatal request.
enum class fatal_reaction : std::uint8_t
{
    end,
    error,
    break_off,
    silence,
    /// Says nothing, and ends once the attempt has been given up.
    late_end
};

constexpr std::size_t vm_count = 4;
constexpr std::size_t zone_count = 3;
constexpr std::size_t runner_count = 12;
constexpr std::size_t harmless_count = 500;
constexpr std::size_t common_callers = 6;
constexpr unsigned max_attempts = 3;
constexpr unsigned max_refusals = 4;
constexpr milliseconds report_delay{2};
constexpr milliseconds silence_timeout{800};
constexpr milliseconds late_end{1500};
constexpr milliseconds longest_pause{500};
constexpr milliseconds history_end{24000};
constexpr milliseconds fatal_end{20000};
constexpr std::uint64_t common_fingerprint = 1;

struct caller
{
    std::uint64_t m_fingerprint = 0;
    bool m_fatal = false;
    /// Sends its request again once it is served.
    bool m_repeats = false;
    std::size_t m_tries = 0;
    bool m_served = false;
    instant m_arrived{};
    /// Runs of a fatal request that ended their runners, and the others.
    unsigned m_ends = 0;
    unsigned m_runs = 0;
    unsigned m_runs_beyond = 0;
};

struct sim_runner
{
    bool m_up = true;
    std::uint64_t m_incarnation = 0;
};

/// One attempt under way.
struct sim_run
{
    std::uint64_t m_id = 0;
    std::size_t m_caller = 0;
    std::size_t m_vm = 0;
    std::size_t m_runner = 0;
    guarded_attempt m_attempt;
    bool m_claimed = false;
    bool m_trial = false;
    unsigned m_number = 0;
    unsigned m_refusals = 0;
    std::set<std::size_t> m_excluded;
    bool m_over = false;
    bool m_unanswered = false;
    instant m_begun_at{};
};

/// A runner that is watched after an attempt.
struct sim_watch
{
    sim_run m_run;
    bool m_unanswered = false;
    bool m_over = false;
};

class history
{
public:
    explicit history(unsigned seed) : m_random(seed), m_runners(runner_count)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
            add_vm();
        m_in_turn = draw(2) == 0;
        add_callers();
        add_crashes();
        if (draw(4) == 0)
            add_storage_outage();
        if (draw(3) == 0)
            at(milliseconds(draw(20000)),
               [this] { restart_vm(draw(vm_count)); });
    }

    void play()
    {
        while (!m_events.empty() &&
               m_events.top().m_at.time_since_epoch() < history_end)
        {
            const auto next = m_events.top();
            m_events.pop();
            m_time.m_now = next.m_at;
            next.m_run();
        }
    }

    /// The most runners that one fatal request ended, and its runs after it had
    /// ended as many as may.
    [[nodiscard]] unsigned most_ends() const
    {
        unsigned out = 0;
        for (const auto& row : m_callers)
            out = std::max(out, row.m_ends);
        return out;
    }
    [[nodiscard]] unsigned runs_beyond() const
    {
        unsigned out = 0;
        for (const auto& row : m_callers)
            out += row.m_runs_beyond;
        return out;
    }
    /// Share of the harmless requests of one program each that are served.
    [[nodiscard]] double served_unlike() const
    {
        std::size_t all = 0;
        std::size_t served = 0;
        for (const auto& row : m_callers)
        {
            if (row.m_fatal || row.m_repeats)
                continue;
            ++all;
            served += row.m_served ? 1 : 0;
        }
        return static_cast<double>(served) / static_cast<double>(all);
    }
    /// Share of the common calls that are served from 2 s after the last crash
    /// on.
    [[nodiscard]] double served_alike() const
    {
        return m_common_sent == 0 ? 1
                                  : static_cast<double>(m_common_served) /
                                        static_cast<double>(m_common_sent);
    }

private:
    struct event
    {
        instant m_at;
        std::uint64_t m_order;
        std::function<void()> m_run;

        bool operator>(const event& other) const
        {
            return std::tie(m_at, m_order) >
                   std::tie(other.m_at, other.m_order);
        }
    };

    std::size_t draw(std::size_t limit)
    {
        return m_random() % limit;
    }
    void at(milliseconds when, std::function<void()> run)
    {
        m_events.push({instant{} + when, ++m_order, std::move(run)});
    }
    void after(milliseconds span, std::function<void()> run)
    {
        m_events.push({m_time.m_now + span, ++m_order, std::move(run)});
    }
    /// Runs a task that waits for nothing but what is in memory.
    template <class T> T run_now(task<T> work)
    {
        std::optional<T> out;
        asio::co_spawn(m_io, std::move(work),
                       [&](const std::exception_ptr&, T value) {
                           out = std::move(value);
                       });
        m_io.restart();
        m_io.poll();
        REQUIRE(out.has_value());
        return std::move(*out);
    }

    void add_vm()
    {
        m_vms.push_back(make_guard(m_vms.size()));
        m_vms.back()->note_told();
    }
    std::unique_ptr<crash_guard> make_guard(std::size_t number)
    {
        auto out = std::make_unique<crash_guard>(m_time, m_ledgers.access());
        out->on_report([this, number](suspect row) -> task<> {
            after(report_delay, [this, number, row] { tell(number, row); });
            co_return;
        });
        return out;
    }
    void tell(std::size_t from, const suspect& row)
    {
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            if (i == from)
                continue;
            m_vms[i]->learn({row});
            if (m_vms[i]->is_watched(row.m_fingerprint))
                reserve_watched(i, row.m_fingerprint);
        }
    }
    void restart_vm(std::size_t number)
    {
        // Callers whose connections broke try again.
        std::vector<std::size_t> struck;
        for (const auto& [id, run] : m_runs)
        {
            if (run->m_vm != number)
                continue;
            run->m_over = true;
            struck.push_back(run->m_caller);
        }
        std::erase_if(m_runs, [number](const auto& row) {
            return row.second->m_vm == number;
        });
        std::erase_if(m_watches, [number](const auto& row) {
            return row->m_run.m_vm == number;
        });
        m_vms[number] = make_guard(number);
        for (const auto index : struck)
            try_later(index, milliseconds(100));
    }

    void add_callers()
    {
        for (std::size_t i = 0; i < harmless_count; ++i)
            m_callers.push_back({100 + i});
        for (std::size_t i = 0; i < common_callers; ++i)
            m_callers.push_back({common_fingerprint, false, true});
        const auto fatal = draw(6);
        for (std::size_t i = 0; i < fatal; ++i)
            m_callers.push_back({10 + i, true});
        constexpr std::size_t arrivals = 18000;
        for (std::size_t i = 0; i < m_callers.size(); ++i)
            at(milliseconds(m_callers[i].m_repeats ? 0 : draw(arrivals)),
               [this, i] {
                   m_callers[i].m_arrived = m_time.m_now;
                   begin_try(i);
               });
    }
    void add_crashes()
    {
        // VMs that have used no runner yet cannot tell an outage.
        constexpr std::size_t first = 1000;
        constexpr std::size_t span = 13000;
        const auto crashes = draw(5);
        for (std::size_t i = 0; i < crashes; ++i)
        {
            const auto kind = draw(3);
            const milliseconds when(first + draw(span));
            const milliseconds down(500 + draw(2500));
            m_last_return = std::max(m_last_return, when + down);
            at(when, [this, kind, down] { crash(kind, down); });
        }
    }
    void add_storage_outage()
    {
        constexpr std::size_t span = 14000;
        const milliseconds begin(draw(span));
        const milliseconds lasts(500 + draw(2500));
        m_last_return = std::max(m_last_return, begin + lasts);
        at(begin, [this] { m_ledgers.m_available = false; });
        at(begin + lasts, [this] { m_ledgers.m_available = true; });
    }
    /// \param kind 0: a runner, 1: a zone, 2: all
    void crash(std::size_t kind, milliseconds down)
    {
        const auto first = draw(runner_count);
        for (std::size_t i = 0; i < runner_count; ++i)
        {
            if (kind == 2 || i == first ||
                (kind == 1 && i % zone_count == first % zone_count))
                m_runners[i].m_up = false;
        }
        for (std::size_t i = 0; i < runner_count; ++i)
        {
            if (!m_runners[i].m_up)
                end_runner(i, down);
        }
    }
    void end_runner(std::size_t number, milliseconds down)
    {
        auto& runner = m_runners[number];
        runner.m_up = false;
        const auto incarnation = runner.m_incarnation;
        after(down, [this, number, incarnation] {
            auto& row = m_runners[number];
            if (row.m_up || row.m_incarnation != incarnation)
                return;
            row.m_up = true;
            ++row.m_incarnation;
        });
        for (const auto& watch : std::vector(m_watches))
        {
            if (watch->m_run.m_runner == number)
                after(milliseconds(1),
                      [this, watch] { end_watch(*watch, true); });
        }
        std::vector<std::shared_ptr<sim_run>> struck;
        for (const auto& [id, run] : m_runs)
        {
            if (run->m_runner == number && !run->m_over)
                struck.push_back(run);
        }
        for (const auto& run : struck)
        {
            run->m_over = true;
            after(milliseconds(0), [this, run] {
                end_attempt(run, attempt_outcome::unknown, 0, true);
            });
        }
    }

    /// Whether the VM takes the end of the run's runner for an outage.
    [[nodiscard]] bool finds_outage(const sim_run& run) const
    {
        std::vector<other_runner> others;
        for (std::size_t i = 0; i < runner_count; ++i)
        {
            if (i != run.m_runner)
                others.push_back({!m_runners[i].m_up, m_last_alive[run.m_vm][i],
                                  m_last_failed[run.m_vm][i]});
        }
        return !m_runners[run.m_runner].m_up &&
               is_outage(others, run.m_begun_at);
    }

    void try_later(std::size_t index, milliseconds pause)
    {
        auto& who = m_callers[index];
        if (who.m_fatal && m_time.m_now - who.m_arrived > fatal_end)
            return;
        after(pause, [this, index] { begin_try(index); });
    }
    [[nodiscard]] bool counts_as_common(const caller& who) const
    {
        constexpr milliseconds settling{2000};
        return who.m_repeats &&
               m_time.m_now.time_since_epoch() > m_last_return + settling;
    }
    void begin_try(std::size_t index)
    {
        auto& who = m_callers[index];
        const auto vm = (index + who.m_tries++) % vm_count;
        m_common_sent += counts_as_common(who) ? 1 : 0;
        auto& guard = *m_vms[vm];
        const auto fingerprint = who.m_fingerprint;
        const bool untold = !guard.told() && guard.known_ends(fingerprint) == 0;
        bool answered = true;
        if (untold || guard.admit(fingerprint) == run_admission::ask)
            answered = run_now(guard.ask_for_ends(fingerprint));
        const auto admission = guard.admit(fingerprint);
        if (admission == run_admission::refuse ||
            admission == run_admission::ask || (untold && !answered))
        {
            const auto pause = std::min(guard.remaining(fingerprint),
                                        milliseconds(100 + draw(400)));
            try_later(index, std::min(pause, longest_pause));
            return;
        }
        const auto run = std::make_shared<sim_run>();
        run->m_id = ++m_tries;
        run->m_caller = index;
        run->m_vm = vm;
        begin_attempt(run);
    }
    void begin_attempt(const std::shared_ptr<sim_run>& run)
    {
        auto& guard = *m_vms[run->m_vm];
        auto& who = m_callers[run->m_caller];
        const auto fingerprint = who.m_fingerprint;
        const auto target = draw(runner_count);
        const auto admission = guard.admit(fingerprint);
        if (run->m_refusals >= max_refusals ||
            run->m_excluded.contains(target) ||
            admission == run_admission::refuse)
        {
            try_later(run->m_caller, milliseconds(100));
            return;
        }
        const auto key = ++m_keys;
        run->m_runner = target;
        run->m_attempt = {fingerprint,
                          {key, key},
                          target * 1000 + m_runners[target].m_incarnation};
        run->m_trial = admission == run_admission::trial;
        run->m_claimed = admission != run_admission::send;
        if (run->m_claimed &&
            run_now(guard.claim(run->m_attempt, run->m_trial)) !=
                claim_outcome::granted)
        {
            try_later(run->m_caller, milliseconds(100));
            return;
        }
        guard.begin_run(run->m_attempt);
        run->m_excluded.insert(target);
        run->m_over = false;
        run->m_unanswered = false;
        if (!m_runners[target].m_up)
        {
            run->m_over = true;
            end_attempt(run, attempt_outcome::not_run, 0, false);
            return;
        }
        ++run->m_number;
        run->m_begun_at = m_time.m_now;
        m_last_alive[run->m_vm][target] = m_time.m_now;
        m_runs[run->m_id] = run;
        const milliseconds work(20 + draw(60));
        if (!who.m_fatal)
        {
            answer_after(run, work, 200);
            return;
        }
        who.m_runs_beyond += who.m_ends >= max_runner_ends ? 1 : 0;
        react_after(run, work);
    }
    void answer_after(const std::shared_ptr<sim_run>& run, milliseconds work,
                      unsigned status)
    {
        const auto number = run->m_number;
        after(work, [this, run, status, number] {
            if (run->m_over || run->m_number != number)
                return;
            run->m_over = true;
            end_attempt(run, attempt_outcome::answered, status, false);
        });
    }
    void react_after(const std::shared_ptr<sim_run>& run, milliseconds work)
    {
        auto& who = m_callers[run->m_caller];
        constexpr std::size_t kinds = 5;
        const auto what = static_cast<fatal_reaction>(
            m_in_turn ? who.m_runs % kinds : draw(kinds));
        ++who.m_runs;
        const auto number = run->m_number;
        if (what == fatal_reaction::error)
        {
            answer_after(run, work, 500);
            return;
        }
        if (what == fatal_reaction::silence || what == fatal_reaction::late_end)
        {
            const auto target = run->m_runner;
            const auto incarnation = m_runners[target].m_incarnation;
            if (what == fatal_reaction::late_end)
                after(late_end, [this, run, target, incarnation] {
                    if (m_runners[target].m_up &&
                        m_runners[target].m_incarnation == incarnation)
                        end_under(run->m_caller, target);
                });
            after(silence_timeout, [this, run, number] {
                if (run->m_over || run->m_number != number)
                    return;
                run->m_over = true;
                run->m_unanswered = true;
                end_attempt(run, attempt_outcome::unknown, 0, true);
            });
            return;
        }
        after(work, [this, run, what, number] {
            if (run->m_over || run->m_number != number)
                return;
            if (what == fatal_reaction::end)
            {
                end_under(run->m_caller, run->m_runner);
                return;
            }
            run->m_over = true;
            end_attempt(run, attempt_outcome::unknown, 0, true);
        });
    }
    void end_under(std::size_t who, std::size_t target)
    {
        ++m_callers[who].m_ends;
        end_runner(target, milliseconds(500 + draw(2500)));
    }

    void end_attempt(const std::shared_ptr<sim_run>& run,
                     attempt_outcome outcome, unsigned status, bool broken_off)
    {
        m_runs.erase(run->m_id);
        if (outcome == attempt_outcome::answered)
            m_last_alive[run->m_vm][run->m_runner] = m_time.m_now;
        else
            m_last_failed[run->m_vm][run->m_runner] = m_time.m_now;
        auto& guard = *m_vms[run->m_vm];
        auto& who = m_callers[run->m_caller];
        const auto ended = *run;
        m_unrecorded = false;
        guard.end_run(run->m_attempt, broken_off);
        if (run->m_trial)
            guard.end_trial(who.m_fingerprint);
        run_facts facts;
        facts.m_outcome = outcome;
        facts.m_status = status;
        facts.m_broken_off = broken_off;
        facts.m_claimed = run->m_claimed;
        switch (follow_up_of(facts))
        {
        case run_follow_up::count_clean_run:
            release(ended);
            if (guard.note_clean_run(who.m_fingerprint))
                (void)run_now(guard.clear_end(who.m_fingerprint));
            break;
        case run_follow_up::probe_at_once:
            examine(ended);
            break;
        case run_follow_up::watch:
            begin_watch(ended, false);
            break;
        case run_follow_up::release:
            release(ended);
            break;
        case run_follow_up::none:
        case run_follow_up::probe_meanwhile:
            break;
        }
        go_on(run, outcome, status);
    }
    void go_on(const std::shared_ptr<sim_run>& run, attempt_outcome outcome,
               unsigned status)
    {
        auto& who = m_callers[run->m_caller];
        if (outcome == attempt_outcome::answered && status == 200)
        {
            m_common_served += counts_as_common(who) ? 1 : 0;
            who.m_served = true;
            if (who.m_repeats)
                try_later(run->m_caller, milliseconds(5));
            return;
        }
        const bool again =
            outcome == attempt_outcome::not_run || run->m_number < max_attempts;
        run->m_refusals += outcome == attempt_outcome::not_run ? 1 : 0;
        if (again && !m_unrecorded)
            begin_attempt(run);
        else
            try_later(run->m_caller, milliseconds(100));
    }
    void release(const sim_run& run)
    {
        if (run.m_claimed)
            m_vms[run.m_vm]->release(run.m_attempt);
    }
    void record(const sim_run& run)
    {
        auto& guard = *m_vms[run.m_vm];
        const auto weight =
            guard.weigh(run.m_attempt.m_fingerprint, finds_outage(run));
        if (weight == 0)
            release(run);
        else
            m_unrecorded = !run_now(
                guard.record_end(run.m_attempt, run.m_claimed, weight));
        if (m_unrecorded)
            record_pending(run.m_vm, run.m_attempt.m_fingerprint);
    }
    void record_pending(std::size_t vm, std::uint64_t fingerprint)
    {
        constexpr milliseconds interval{100};
        after(interval, [this, vm, fingerprint] {
            if (!run_now(m_vms[vm]->record_pending(fingerprint)))
                record_pending(vm, fingerprint);
        });
    }
    void examine(const sim_run& run)
    {
        auto& guard = *m_vms[run.m_vm];
        const auto fingerprint = run.m_attempt.m_fingerprint;
        const bool counts = run.m_claimed && guard.has_ends(fingerprint);
        if (!m_runners[run.m_runner].m_up || counts)
            record(run);
        else
            begin_watch(run, run.m_unanswered);
    }
    void begin_watch(const sim_run& run, bool unanswered)
    {
        auto& guard = *m_vms[run.m_vm];
        const bool due = unanswered && guard.begin_watch(run.m_attempt);
        const auto watch = std::make_shared<sim_watch>();
        watch->m_run = run;
        watch->m_unanswered = unanswered;
        m_watches.push_back(watch);
        after(unanswered ? unanswered_watch : answered_watch,
              [this, watch] { end_watch(*watch, false); });
        if (due)
            reserve_watched(run.m_vm, run.m_attempt.m_fingerprint);
    }
    void reserve_watched(std::size_t vm, std::uint64_t fingerprint)
    {
        asio::co_spawn(m_io, m_vms[vm]->reserve_watched(fingerprint),
                       asio::detached);
        m_io.restart();
        m_io.poll();
    }
    void end_watch(sim_watch& watch, bool ended)
    {
        if (std::exchange(watch.m_over, true))
            return;
        std::erase_if(m_watches,
                      [&](const auto& row) { return row.get() == &watch; });
        auto& guard = *m_vms[watch.m_run.m_vm];
        if (watch.m_unanswered && guard.end_watch(watch.m_run.m_attempt))
            watch.m_run.m_claimed = true;
        if (ended)
            record(watch.m_run);
        else
            release(watch.m_run);
    }

    std::mt19937 m_random;
    virtual_clock m_time;
    asio::io_context m_io;
    ledgers_in_memory m_ledgers;
    std::vector<std::shared_ptr<sim_watch>> m_watches;
    std::vector<std::unique_ptr<crash_guard>> m_vms;
    std::vector<sim_runner> m_runners;
    std::vector<caller> m_callers;
    /// By VM, of each runner.
    std::array<std::array<std::optional<instant>, runner_count>, vm_count>
        m_last_alive;
    std::array<std::array<std::optional<instant>, runner_count>, vm_count>
        m_last_failed;
    /// Under way, by number.
    std::map<std::uint64_t, std::shared_ptr<sim_run>> m_runs;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_keys = 0;
    std::uint64_t m_tries = 0;
    bool m_in_turn = false;
    /// The end that was handled last could not be recorded.
    bool m_unrecorded = false;
    milliseconds m_last_return{0};
    std::size_t m_common_sent = 0;
    std::size_t m_common_served = 0;
};

} // namespace

TEST_CASE("in no history does a request end four runners, or is what harmed "
          "nobody refused",
          "[crash_histories]")
{
    constexpr unsigned histories = 1000;
    constexpr double least_served = 0.95;
    double unlike = 0;
    double alike = 0;
    for (unsigned seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        history each(seed);
        each.play();
        CHECK(each.most_ends() <= max_runner_ends);
        CHECK(each.runs_beyond() == 0);
        CHECK(each.served_unlike() >= least_served);
        CHECK(each.served_alike() >= least_served);
        unlike += each.served_unlike();
        alike += each.served_alike();
    }
    WARN("served in the mean: unlike " << unlike / histories << ", alike "
                                       << alike / histories);
}
