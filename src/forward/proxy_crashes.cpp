// SPDX-License-Identifier: BSL-1.0
// Requests under which runners end: how often each may be sent, and what the
// ends of its attempts say.
#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/fingerprint.hpp"
#include "pepperturn/forward/proxy.hpp"
#include "pepperturn/scheduling/retry_after.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// An attempt that is aborted after so long without a first byte may have met a
/// runner that has ended in silence.
constexpr milliseconds min_silence{300};
/// Storage VMs that have just started reply, or tell this VM, by then.
constexpr milliseconds untold_retry_delay{500};

} // namespace

task<std::optional<upstream_response>>
proxy::refuse_suspect(std::shared_ptr<call> work)
{
    const auto fingerprint = work->m_fingerprint;
    auto admission = m_crashes.admit(fingerprint);
    const bool untold =
        !m_crashes.told() && m_crashes.known_ends(fingerprint) == 0;
    if (untold || admission == run_admission::ask)
    {
        const bool answered = co_await m_crashes.ask_for_ends(fingerprint);
        m_metrics.count(answered ? "crash_asks_answered"
                                 : "crash_asks_unanswered");
        if (untold && !answered)
            co_return refuse(*work,
                             "this VM has just started and cannot learn "
                             "whether runners have ended under the request",
                             untold_retry_delay);
        admission = m_crashes.admit(fingerprint);
    }
    if (admission != run_admission::refuse && admission != run_admission::ask)
        co_return std::nullopt;
    m_metrics.count("crash_refusals");
    // Without a program, another caller's run may clear it at any time; and
    // what too few storage VMs told may be known soon.
    auto retry_after = m_crashes.remaining(fingerprint);
    if (work->m_fields.m_program.empty() || admission == run_admission::ask)
        retry_after = std::min(retry_after, retry_after_crashes);
    co_return refuse(*work,
                     std::to_string(m_crashes.known_ends(fingerprint)) +
                         " runners have ended under the request",
                     retry_after);
}

const runner_row* proxy::choose_apart(const call& work,
                                      const runner_query& choice) const
{
    const auto now = m_time.now();
    const auto* best = m_runners.choose(choice, now);
    if (m_crashes.known_ends(work.m_fingerprint) == 0)
        return best;
    auto apart = choice;
    for (const auto* row = best; row != nullptr;
         row = m_runners.choose(apart, now))
    {
        if (!m_crashes.has_other_suspect(row->m_incarnation_hash,
                                         work.m_fingerprint))
            return row;
        apart.m_excluded.insert(row->m_info.m_id);
    }
    return best;
}

task<bool> proxy::claim_run(std::shared_ptr<call> work, runner_row target)
{
    auto& crash = work->m_crash;
    const auto fingerprint = work->m_fingerprint;
    // Callers may use an id twice, and this VM may have been restarted.
    const auto unique =
        hash_combine(m_random_value, m_time.now().time_since_epoch().count());
    crash.m_attempt = {
        fingerprint,
        {hash_combine(hash64(work->m_fields.m_id), unique), unique},
        target.m_incarnation_hash};
    crash.m_claimed = false;
    if (crash.m_unrecorded)
    {
        crash.m_refusal = ": the end of a runner could not be recorded";
        co_return false;
    }
    const auto admission = m_crashes.admit(fingerprint);
    crash.m_trial = admission == run_admission::trial;
    if (admission == run_admission::refuse)
    {
        crash.m_refusal = ": runners have ended under it";
        co_return false;
    }
    if (admission != run_admission::send)
    {
        const auto ends = m_crashes.known_ends(fingerprint);
        const auto attempt = crash.m_attempt;
        const auto outcome = co_await m_crashes.claim(attempt, crash.m_trial);
        m_metrics.count(std::string("crash_claims_") + to_string(outcome));
        LOG(INFO) << "event=crash_claim id=" << work->m_fields.m_id
                  << " fingerprint=" << fingerprint_text(fingerprint)
                  << " attempt=" << work->m_attempts + 1
                  << " cause=" << work->m_attempt_cause
                  << " runner=" << target.m_info.m_id
                  << " admission=" << to_string(admission)
                  << " known_ends=" << ends
                  << " ledger_ends=" << m_crashes.known_ends(fingerprint)
                  << " clean_runs=" << m_crashes.clean_runs(fingerprint)
                  << " outcome=" << to_string(outcome);
        if (outcome != claim_outcome::granted)
        {
            crash.m_refusal = ": runners have ended under it, another attempt"
                              " is " +
                              std::string(to_string(outcome));
            co_return false;
        }
        crash.m_claimed = true;
    }
    m_crashes.begin_run(crash.m_attempt);
    crash.m_begun_at = m_time.now();
    co_return true;
}

task<> proxy::settle_run(std::shared_ptr<call> work, runner_row target,
                         const attempt_result& result)
{
    const auto& crash = work->m_crash;
    ended_run run;
    run.m_attempt = crash.m_attempt;
    run.m_runner = target.m_info;
    run.m_facts.m_outcome = result.m_outcome;
    run.m_facts.m_status = result.m_response.m_status;
    run.m_facts.m_broken_off = result.m_broken_off;
    run.m_facts.m_silent =
        !result.m_first_byte && result.m_duration >= min_silence;
    run.m_facts.m_claimed = crash.m_claimed;
    run.m_trial = crash.m_trial;
    run.m_unanswered = result.m_outcome == attempt_outcome::aborted ||
                       result.m_first_byte_timed_out;
    run.m_begun_at = crash.m_begun_at;
    run.m_id = work->m_fields.m_id;
    run.m_program = work->m_fields.m_program;
    run.m_number = work->m_attempts;
    run.m_cause = work->m_attempt_cause;
    const bool recorded = co_await m_examiner.settle(run);
    work->m_crash.m_unrecorded = !recorded;
}

} // namespace pepperturn
