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
/// A runner that was alive when its connection broke is connected to once more
/// after this time: it has ended by then if the request ends it at once, and
/// has hardly started again.
constexpr milliseconds second_probe_delay{40};
/// Storage VMs that have just started reply, or tell this VM, by then.
constexpr milliseconds untold_retry_delay{500};

} // namespace

std::optional<upstream_response> proxy::refuse_suspect(call& work)
{
    const auto ends = m_crashes.known_ends(work.m_fingerprint);
    if (ends < max_runner_ends)
        return std::nullopt;
    m_metrics.count("crash_refusals");
    return refuse(
        work, std::to_string(ends) + " runners have ended under the request",
        m_crashes.remaining(work.m_fingerprint));
}

task<std::optional<upstream_response>>
proxy::refuse_untold_suspect(std::shared_ptr<call> work)
{
    const bool answered = co_await m_crashes.ask_for_ends(work->m_fingerprint);
    m_metrics.count(answered ? "crash_asks_answered" : "crash_asks_unanswered");
    if (answered)
        co_return refuse_suspect(*work);
    co_return refuse(*work,
                     "this VM has just started and cannot learn whether "
                     "runners have ended under the request",
                     untold_retry_delay);
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
    // Callers may use an id twice, and this VM may have been restarted.
    const auto unique =
        hash_combine(m_random_value, m_time.now().time_since_epoch().count());
    crash.m_attempt = {
        work->m_fingerprint,
        {hash_combine(hash64(work->m_fields.m_id), unique), unique},
        target.m_incarnation_hash};
    crash.m_claim.reset();
    const auto ends = m_crashes.known_ends(work->m_fingerprint);
    if (crash.m_unrecorded)
    {
        crash.m_refusal = ": the end of a runner could not be recorded";
        co_return false;
    }
    if (ends > 0)
    {
        const auto attempt = crash.m_attempt;
        auto claim = co_await m_crashes.claim(attempt);
        m_metrics.count(std::string("crash_claims_") +
                        to_string(claim.m_outcome));
        LOG(INFO) << "event=crash_claim id=" << work->m_fields.m_id
                  << " fingerprint=" << fingerprint_text(work->m_fingerprint)
                  << " attempt=" << work->m_attempts + 1
                  << " cause=" << work->m_attempt_cause
                  << " runner=" << target.m_info.m_id << " known_ends=" << ends
                  << " counted=" << claim.m_counted.size()
                  << " outcome=" << to_string(claim.m_outcome);
        if (claim.m_outcome != claim_outcome::granted)
        {
            crash.m_refusal = ": runners have ended under it, another attempt"
                              " is " +
                              std::string(to_string(claim.m_outcome));
            co_return false;
        }
        crash.m_claim = std::move(claim);
    }
    m_crashes.begin_run(crash.m_attempt);
    co_return true;
}

void proxy::release_claim(call& work)
{
    if (work.m_crash.m_claim)
        m_crashes.release(work.m_crash.m_attempt);
    work.m_crash.m_claim.reset();
}

task<> proxy::settle_run(std::shared_ptr<call> work, runner_row target,
                         const attempt_result& result)
{
    m_crashes.end_run(work->m_crash.m_attempt, result.m_broken_off);
    if (result.m_broken_off)
    {
        co_await examine_runner(work, target);
        co_return;
    }
    if (result.m_outcome == attempt_outcome::aborted)
    {
        const bool silent =
            !result.m_first_byte && result.m_duration >= min_silence;
        // The caller has left, or is to be answered at once.
        if (silent || work->m_crash.m_claim)
            spawn(m_io, "proxy.examine", examine_runner(work, target));
        co_return;
    }
    const auto claim = work->m_crash.m_claim;
    if (claim && result.m_outcome == attempt_outcome::answered)
        m_crashes.exonerate(work->m_crash.m_attempt, *claim);
    else
        release_claim(*work);
}

task<> proxy::examine_runner(std::shared_ptr<call> work, runner_row target)
{
    const auto attempt = work->m_crash.m_attempt;
    const auto claim = std::exchange(work->m_crash.m_claim, std::nullopt);
    const auto condition = co_await probe_runner(m_pool, target.m_info);
    m_metrics.count(std::string("broken_off_by_") + to_string(condition));
    if (condition != runner_condition::alive)
        co_await record_runner_end(work, target, attempt, claim, condition);
    // A claim is kept: the request has ended runners before, and what becomes
    // of this one is not known.
    else if (!claim)
        spawn(m_io, "proxy.examine", examine_later(work, target, attempt));
}

task<> proxy::examine_later(std::shared_ptr<call> work, runner_row target,
                            guarded_attempt attempt)
{
    co_await sleep_for(m_io, second_probe_delay);
    const auto condition = co_await probe_runner(m_pool, target.m_info);
    if (condition != runner_condition::alive)
        co_await record_runner_end(work, target, attempt, std::nullopt,
                                   condition);
}

task<> proxy::record_runner_end(std::shared_ptr<call> work, runner_row target,
                                guarded_attempt attempt,
                                std::optional<run_claim> claim,
                                runner_condition condition)
{
    const auto ends = co_await m_crashes.record_end(attempt, claim);
    work->m_crash.m_unrecorded = !ends;
    m_metrics.count("runner_ends_counted");
    LOG(WARNING) << "event=runner_ended id=" << work->m_fields.m_id
                 << " fingerprint=" << fingerprint_text(work->m_fingerprint)
                 << " program=" << work->m_fields.m_program
                 << " attempt=" << work->m_attempts
                 << " cause=" << work->m_attempt_cause
                 << " runner=" << target.m_info.m_id
                 << " condition=" << to_string(condition)
                 << " ends=" << (ends ? std::to_string(*ends) : "unrecorded");
}

} // namespace pepperturn
