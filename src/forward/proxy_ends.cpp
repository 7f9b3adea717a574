// SPDX-License-Identifier: BSL-1.0
// Requests and connections that end without a complete answer: what is logged
// and counted of them.
#include "pepperturn/forward/proxy.hpp"

#include <glog/logging.h>

namespace pepperturn {

answer_facts proxy::facts_of(const caller_connection& caller, const call& work)
{
    answer_facts out;
    out.m_passed_on = work.m_possible_runs > 0 || work.m_attempting;
    out.m_answer_bytes = caller.answer_bytes();
    out.m_abort = caller.write_aborted() ? abort_cause::not_read
                                         : work.m_aborter->cause();
    out.m_caller = caller.side();
    out.m_write_failed = static_cast<bool>(caller.write_error());
    out.m_memory_available = caller.memory_available();
    out.m_not_stored = work.m_not_stored;
    out.m_no_further_runner = work.m_no_further_runner;
    return out;
}

void proxy::log_unanswered(const caller_connection& caller, const call& work)
{
    const auto facts = facts_of(caller, work);
    const auto now = m_time.now();
    const std::string phase = to_string(phase_of(facts));
    m_metrics.count("unanswered_" + phase + '_' + to_string(loss_of(facts)));
    if (m_draining)
        m_metrics.count("unanswered_draining");
    const auto version = work.m_config ? work.m_config->m_version : 0;
    LOG(INFO) << "event=unanswered id=" << work.m_fields.m_id
              << " phase=" << phase << " cause=" << to_string(loss_of(facts))
              << " answer_bytes=" << facts.m_answer_bytes
              << " attempts=" << work.m_attempts
              << " possible_runs=" << work.m_possible_runs
              << " took_ms=" << elapsed(work.m_arrived, now).count()
              << " allowed_ms="
              << (work.m_deadline == instant{}
                      ? 0
                      : elapsed(work.m_arrived, work.m_deadline).count())
              << " draining_ms="
              << (m_drain_began ? elapsed(*m_drain_began, now).count() : -1)
              << " config=" << version
              << " config_in_force=" << (m_config ? m_config->m_version : 0)
              << " config_fresh=" << config_is_fresh(work) << " error=\""
              << (facts.m_write_failed ? caller.write_error().message()
                                       : std::string{})
              << '"';
}

void proxy::log_no_runner(call& work, const runner_query& choice,
                          const attempt_progress& state, bool denied)
{
    work.m_no_further_runner = true;
    no_runner_facts facts;
    facts.m_abort = work.m_aborter->cause();
    facts.m_deadline_reached = m_time.now() >= work.m_deadline;
    facts.m_config_fresh = config_is_fresh(work);
    facts.m_too_many_refusals = state.m_refusals >= max_refusals;
    facts.m_retry_denied = denied;
    facts.m_claim_refused = !work.m_crash.m_refusal.empty();
    const auto cause = cause_of(facts);
    // Tells nothing of runners, and occurs all day.
    if (cause == no_runner_cause::caller_left)
        return;
    m_metrics.count(std::string("no_runner_") + to_string(cause));
    LOG(INFO) << "event=no_runner id=" << work.m_fields.m_id
              << " cause=" << to_string(cause)
              << " service=" << choice.m_service
              << " of_service=" << m_runners.count_of(choice.m_service)
              << " known=" << m_runners.size()
              << " excluded=" << choice.m_excluded.size()
              << " refusals=" << state.m_refusals
              << " cold_denials=" << state.m_cold_denials << " regions="
              << (choice.m_regions ? choice.m_regions->size() : 0)
              << " attempts=" << work.m_attempts;
}

void proxy::log_turn_refused(const call& work, const begin_evidence& evidence)
{
    m_metrics.count(std::string("turns_refused_") +
                    to_string(evidence.m_fault));
    LOG(INFO) << "event=turn_refused id=" << work.m_fields.m_id
              << " program=" << work.m_fields.m_program
              << " parent=" << caller_turn_id(work.m_begin.m_parent)
              << " fault=" << to_string(evidence.m_fault) << ' '
              << describe(evidence);
}

void proxy::log_connection_end(const read_result& read)
{
    m_metrics.count(std::string("connections_ended_") + to_string(read.m_end));
    if (read.m_partial_bytes == 0)
        return;
    m_metrics.count("requests_incomplete");
    LOG(INFO) << "event=request_incomplete cause=" << to_string(read.m_end)
              << " bytes=" << read.m_partial_bytes;
}

unfinished_requests proxy::unfinished() const
{
    unfinished_requests out;
    for (const auto& caller : m_callers)
    {
        const auto found = m_calls.find(caller.get());
        const auto work =
            found == m_calls.end() ? nullptr : found->second.lock();
        if (work)
            out.add(phase_of(facts_of(*caller, *work)), work->m_fields.m_id);
        else if (!caller->idle())
            ++out.m_being_read;
    }
    return out;
}

} // namespace pepperturn
