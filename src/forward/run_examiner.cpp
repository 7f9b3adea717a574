// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/run_examiner.hpp"

#include "pepperturn/forward/fingerprint.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How often an end is recorded anew that the storage VMs have not confirmed.
constexpr milliseconds pending_interval{100};
/// Not all runners that an outage ends, end at the same moment: those that were
/// alive at the end of the first are connected to once more after this time.
constexpr milliseconds outage_recheck_delay{120};

} // namespace

run_examiner::run_examiner(asio::io_context& io, const clock& time,
                           upstream_pool& pool, const runner_table& runners,
                           crash_guard& crashes, traffic_metrics& metrics)
    : m_io(io), m_time(time), m_pool(pool), m_crashes(crashes),
      m_metrics(metrics), m_service_probe(io, time, pool, runners)
{}

task<bool> run_examiner::settle(ended_run run)
{
    const auto fingerprint = run.m_attempt.m_fingerprint;
    m_crashes.end_run(run.m_attempt, run.m_facts.m_broken_off);
    if (run.m_trial)
        m_crashes.end_trial(fingerprint);
    switch (follow_up_of(run.m_facts))
    {
    case run_follow_up::none:
        break;
    case run_follow_up::release:
        release(run);
        break;
    case run_follow_up::count_clean_run:
        release(run);
        if (m_crashes.note_clean_run(fingerprint))
            spawn(m_io, "run_examiner.clear_end", clear_end(fingerprint));
        break;
    case run_follow_up::probe_at_once:
        co_return co_await examine(run);
    case run_follow_up::probe_meanwhile:
        spawn(m_io, "run_examiner.examine", examine_meanwhile(run));
        break;
    case run_follow_up::watch:
        spawn(m_io, "run_examiner.watch", watch(run));
        break;
    }
    co_return true;
}

task<bool> run_examiner::examine(ended_run run)
{
    const auto fingerprint = run.m_attempt.m_fingerprint;
    const auto condition = co_await probe_runner(m_pool, run.m_runner);
    m_metrics.count(std::string("broken_off_by_") + to_string(condition));
    // The request has ended runners before, and what becomes of this one is not
    // known: it counts as ended.
    const bool counts =
        run.m_facts.m_claimed && m_crashes.has_ends(fingerprint);
    if (condition != runner_condition::alive || counts)
        co_return co_await record_end(run, condition);
    if (!run.m_unanswered)
    {
        spawn(m_io, "run_examiner.watch", watch(run));
        co_return true;
    }
    const bool reservation_due = m_crashes.begin_watch(run.m_attempt);
    spawn(m_io, "run_examiner.watch", watch_unanswered(run));
    if (reservation_due)
        co_await m_crashes.reserve_watched(fingerprint);
    co_return true;
}

task<> run_examiner::examine_meanwhile(ended_run run)
{
    (void)co_await examine(run);
}

task<> run_examiner::watch(ended_run run)
{
    const auto condition =
        co_await watch_runner(m_pool, m_time, run.m_runner, answered_watch);
    if (condition == runner_condition::alive)
        release(run);
    else
        (void)co_await record_end(run, condition);
}

task<> run_examiner::watch_unanswered(ended_run run)
{
    const auto condition =
        co_await watch_runner(m_pool, m_time, run.m_runner, unanswered_watch);
    const bool reserved = m_crashes.end_watch(run.m_attempt);
    run.m_facts.m_claimed = run.m_facts.m_claimed || reserved;
    if (condition == runner_condition::alive)
        release(run);
    else
        (void)co_await record_end(run, condition);
}

task<bool> run_examiner::record_end(ended_run run, runner_condition condition)
{
    const auto fingerprint = run.m_attempt.m_fingerprint;
    bool outage = false;
    if (condition != runner_condition::alive)
        outage =
            co_await m_service_probe.is_outage(run.m_runner, run.m_begun_at);
    const auto clean_runs = m_crashes.clean_runs(fingerprint);
    const auto weight = m_crashes.weigh(fingerprint, outage);
    std::optional<std::uint32_t> ends = m_crashes.known_ends(fingerprint);
    if (weight == 0)
        release(run);
    else
        ends = co_await m_crashes.record_end(run.m_attempt,
                                             run.m_facts.m_claimed, weight);
    m_metrics.count(weight == 0 ? "runner_ends_excused"
                                : "runner_ends_counted");
    LOG(WARNING) << "event=runner_ended id=" << run.m_id
                 << " fingerprint=" << fingerprint_text(fingerprint)
                 << " program=" << run.m_program << " attempt=" << run.m_number
                 << " cause=" << run.m_cause << " runner=" << run.m_runner.m_id
                 << " condition=" << to_string(condition)
                 << " outage=" << outage << " clean_runs=" << clean_runs
                 << " weight=" << weight
                 << " ends=" << (ends ? std::to_string(*ends) : "unrecorded");
    if (!ends)
        spawn(m_io, "run_examiner.record", record_pending(fingerprint));
    else if (weight > 0 && !outage && condition != runner_condition::alive)
        spawn(m_io, "run_examiner.recheck", recheck_outage(run, clean_runs));
    co_return ends.has_value();
}

task<> run_examiner::recheck_outage(ended_run run, std::uint32_t clean_runs)
{
    co_await sleep_for(m_io, outage_recheck_delay);
    const bool outage =
        co_await m_service_probe.is_outage(run.m_runner, run.m_begun_at);
    if (!outage || !m_crashes.excuse_end(run.m_attempt, clean_runs))
        co_return;
    m_metrics.count("runner_ends_excused");
    LOG(INFO) << "event=runner_end_excused id=" << run.m_id << " fingerprint="
              << fingerprint_text(run.m_attempt.m_fingerprint)
              << " runner=" << run.m_runner.m_id;
}

void run_examiner::learn(const std::vector<suspect>& rows)
{
    m_crashes.learn(rows);
    for (const auto& row : rows)
    {
        if (m_crashes.is_watched(row.m_fingerprint))
            spawn(m_io, "run_examiner.reserve",
                  m_crashes.reserve_watched(row.m_fingerprint));
    }
}

task<> run_examiner::record_pending(std::uint64_t fingerprint)
{
    const auto until = m_time.now() + crash_retention;
    bool recorded = false;
    while (!recorded && m_time.now() < until)
    {
        co_await sleep_for(m_io, pending_interval);
        recorded = co_await m_crashes.record_pending(fingerprint);
    }
    LOG(INFO) << "event=pending_ends_recorded fingerprint="
              << fingerprint_text(fingerprint) << " recorded=" << recorded;
}

void run_examiner::release(const ended_run& run)
{
    if (run.m_facts.m_claimed)
        m_crashes.release(run.m_attempt);
}

task<> run_examiner::clear_end(std::uint64_t fingerprint)
{
    const bool cleared = co_await m_crashes.clear_end(fingerprint);
    m_metrics.count(cleared ? "crash_ends_cleared" : "crash_ends_none_left");
    LOG(INFO) << "event=crash_end_cleared fingerprint="
              << fingerprint_text(fingerprint) << " cleared=" << cleared
              << " ledger_ends=" << m_crashes.known_ends(fingerprint)
              << " clean_runs=" << m_crashes.clean_runs(fingerprint);
}

} // namespace pepperturn
