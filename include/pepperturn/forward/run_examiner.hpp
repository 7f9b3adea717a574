// SPDX-License-Identifier: BSL-1.0
/// \file
/// Finds out what became of the runner of an attempt that has ended, and
/// records what that says of the request. What it says is decided in
/// run_evidence.hpp and kept by the crash guard.
#pragma once

#include "pepperturn/forward/crash_guard.hpp"
#include "pepperturn/forward/runner_probe.hpp"
#include "pepperturn/forward/service_probe.hpp"
#include "pepperturn/forward/traffic_metrics.hpp"

namespace pepperturn {

/// An attempt that has ended, without the request's body: its runner may be
/// watched for seconds.
struct ended_run
{
    guarded_attempt m_attempt;
    runner_info m_runner;
    run_facts m_facts;
    /// It was sent beyond the bound.
    bool m_trial = false;
    /// The runner had not answered when the attempt was given up.
    bool m_unanswered = false;
    instant m_begun_at{};
    /// For the log: the request, its program, and the attempt's number and
    /// cause.
    std::string m_id;
    std::string m_program;
    unsigned m_number = 0;
    std::string m_cause;
};

class run_examiner
{
public:
    run_examiner(asio::io_context& io, const clock& time, upstream_pool& pool,
                 const runner_table& runners, crash_guard& crashes,
                 traffic_metrics& metrics);

    /// Settles what the attempt's end means for the bound on ended runners;
    /// returns once the next attempt may be decided on.
    /// \returns false: an end could not be recorded, so that other VMs may not
    /// know of it
    [[nodiscard]] task<bool> settle(ended_run run);

    /// Takes over what other VMs report of suspects. Attempts of theirs that
    /// are under watch here are reserved.
    void learn(const std::vector<suspect>& rows);

private:
    /// Finds out whether the runner has ended, and records it.
    task<bool> examine(ended_run run);
    task<> examine_meanwhile(ended_run run);
    /// Watches a runner that was alive when its attempt ended: it may end of
    /// the request yet.
    task<> watch(ended_run run);
    /// The same for an attempt that was given up without an answer.
    task<> watch_unanswered(ended_run run);
    /// Records an end in the crash ledger, if it counts.
    task<bool> record_end(ended_run run, runner_condition condition);
    /// Takes an end back that proves to be one of an outage.
    /// \param clean_runs of the request before it
    task<> recheck_outage(ended_run run, std::uint32_t clean_runs);
    /// Repeats until the request's ends are recorded.
    task<> record_pending(std::uint64_t fingerprint);
    /// Releases the attempt's reservation: its runner has not ended.
    void release(const ended_run& run);
    /// Clears the request of one end.
    task<> clear_end(std::uint64_t fingerprint);

    asio::io_context& m_io;
    const clock& m_time;
    upstream_pool& m_pool;
    crash_guard& m_crashes;
    traffic_metrics& m_metrics;
    service_probe m_service_probe;
};

} // namespace pepperturn
