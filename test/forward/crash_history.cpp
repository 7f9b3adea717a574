// SPDX-License-Identifier: BSL-1.0
#include "forward/crash_history.hpp"

namespace pepperturn::test {

history::history(unsigned seed) : m_random(seed), m_runners(runner_count)
{
    for (std::size_t i = 0; i < vm_count; ++i)
        add_vm();
    m_in_turn = draw(2) == 0;
    add_callers();
    add_crashes();
    if (draw(4) == 0)
        add_storage_outage();
    if (draw(3) == 0)
        at(milliseconds(draw(20000)), [this] { restart_vm(draw(vm_count)); });
}

void history::play()
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

double history::served_unlike() const
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

std::unique_ptr<crash_guard> history::make_guard(std::size_t number)
{
    auto out = std::make_unique<crash_guard>(m_time, m_ledgers.access());
    out->on_report([this, number](suspect row) -> task<> {
        after(report_delay, [this, number, row] { tell(number, row); });
        co_return;
    });
    return out;
}

void history::tell(std::size_t from, const suspect& row)
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

void history::restart_vm(std::size_t number)
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

void history::add_callers()
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

void history::add_crashes()
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

void history::add_storage_outage()
{
    constexpr std::size_t span = 14000;
    const milliseconds begin(draw(span));
    const milliseconds lasts(500 + draw(2500));
    m_last_return = std::max(m_last_return, begin + lasts);
    at(begin, [this] { m_ledgers.m_available = false; });
    at(begin + lasts, [this] { m_ledgers.m_available = true; });
}

void history::crash(std::size_t kind, milliseconds down)
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

void history::end_runner(std::size_t number, milliseconds down)
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
            after(milliseconds(1), [this, watch] { end_watch(*watch, true); });
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

bool history::finds_outage(const sim_run& run) const
{
    std::vector<other_runner> others;
    for (std::size_t i = 0; i < runner_count; ++i)
    {
        if (i != run.m_runner)
            others.push_back({!m_runners[i].m_up, m_last_alive[run.m_vm][i],
                              m_last_failed[run.m_vm][i]});
    }
    return !m_runners[run.m_runner].m_up && is_outage(others, run.m_begun_at);
}

void history::begin_try(std::size_t index)
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
    if (admission == run_admission::refuse || admission == run_admission::ask ||
        (untold && !answered))
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

void history::begin_attempt(const std::shared_ptr<sim_run>& run)
{
    auto& guard = *m_vms[run->m_vm];
    auto& who = m_callers[run->m_caller];
    const auto fingerprint = who.m_fingerprint;
    const auto target = draw(runner_count);
    const auto admission = guard.admit(fingerprint);
    if (run->m_refusals >= max_refusals || run->m_excluded.contains(target) ||
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
    if (run->m_claimed && run_now(guard.claim(run->m_attempt, run->m_trial)) !=
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

void history::answer_after(const std::shared_ptr<sim_run>& run,
                           milliseconds work, unsigned status)
{
    const auto number = run->m_number;
    after(work, [this, run, status, number] {
        if (run->m_over || run->m_number != number)
            return;
        run->m_over = true;
        end_attempt(run, attempt_outcome::answered, status, false);
    });
}

void history::react_after(const std::shared_ptr<sim_run>& run,
                          milliseconds work)
{
    auto& who = m_callers[run->m_caller];
    constexpr std::size_t kinds = 5;
    const auto what = static_cast<fatal_reaction>(m_in_turn ? who.m_runs % kinds
                                                            : draw(kinds));
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

void history::end_attempt(const std::shared_ptr<sim_run>& run,
                          attempt_outcome outcome, unsigned status,
                          bool broken_off)
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

void history::go_on(const std::shared_ptr<sim_run>& run,
                    attempt_outcome outcome, unsigned status)
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

void history::record(const sim_run& run)
{
    auto& guard = *m_vms[run.m_vm];
    const auto weight =
        guard.weigh(run.m_attempt.m_fingerprint, finds_outage(run));
    if (weight == 0)
        release(run);
    else
        m_unrecorded =
            !run_now(guard.record_end(run.m_attempt, run.m_claimed, weight));
    if (m_unrecorded)
        record_pending(run.m_vm, run.m_attempt.m_fingerprint);
}

void history::record_pending(std::size_t vm, std::uint64_t fingerprint)
{
    constexpr milliseconds interval{100};
    after(interval, [this, vm, fingerprint] {
        if (!run_now(m_vms[vm]->record_pending(fingerprint)))
            record_pending(vm, fingerprint);
    });
}

void history::examine(const sim_run& run)
{
    auto& guard = *m_vms[run.m_vm];
    const auto fingerprint = run.m_attempt.m_fingerprint;
    const bool counts = run.m_claimed && guard.has_ends(fingerprint);
    if (!m_runners[run.m_runner].m_up || counts)
        record(run);
    else
        begin_watch(run, run.m_unanswered);
}

void history::begin_watch(const sim_run& run, bool unanswered)
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

void history::end_watch(sim_watch& watch, bool ended)
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
} // namespace pepperturn::test
