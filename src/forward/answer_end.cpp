// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/answer_end.hpp"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace pepperturn {

const char* to_string(read_end end)
{
    switch (end)
    {
    case read_end::none:
        return "none";
    case read_end::caller_closed:
        return "caller_closed";
    case read_end::caller_reset:
        return "caller_reset";
    case read_end::idle_timeout:
        return "idle_timeout";
    case read_end::stopping:
        return "stopping";
    }
    return "unknown";
}

read_end read_end_of(const error_code& ec, bool timed_out)
{
    if (!ec)
        return read_end::none;
    if (timed_out)
        return read_end::idle_timeout;
    if (ec == asio::error::operation_aborted)
        return read_end::stopping;
    if (ec == asio::error::eof || ec == http::error::end_of_stream ||
        ec == http::error::partial_message)
        return read_end::caller_closed;
    return read_end::caller_reset;
}

const char* to_string(answer_phase phase)
{
    switch (phase)
    {
    case answer_phase::request_read:
        return "request_read";
    case answer_phase::passed_on:
        return "passed_on";
    case answer_phase::answer_begun:
        return "answer_begun";
    }
    return "unknown";
}

const char* to_string(answer_loss loss)
{
    switch (loss)
    {
    case answer_loss::caller_closed:
        return "caller_closed";
    case answer_loss::caller_reset:
        return "caller_reset";
    case answer_loss::not_read:
        return "not_read";
    case answer_loss::no_memory:
        return "no_memory";
    case answer_loss::write_failed:
        return "write_failed";
    case answer_loss::timeout:
        return "timeout";
    case answer_loss::runner_broke_off:
        return "runner_broke_off";
    case answer_loss::no_further_runner:
        return "no_further_runner";
    case answer_loss::not_stored:
        return "not_stored";
    }
    return "unknown";
}

answer_phase phase_of(const answer_facts& facts)
{
    if (facts.m_answer_bytes > 0)
        return answer_phase::answer_begun;
    return facts.m_passed_on ? answer_phase::passed_on
                             : answer_phase::request_read;
}

answer_loss loss_of(const answer_facts& facts)
{
    // Without memory the write is aborted too, so that comes first.
    if (!facts.m_memory_available)
        return answer_loss::no_memory;
    if (facts.m_abort == abort_cause::not_read)
        return answer_loss::not_read;
    if (facts.m_caller == caller_side::closed)
        return answer_loss::caller_closed;
    if (facts.m_caller == caller_side::reset)
        return answer_loss::caller_reset;
    if (facts.m_write_failed)
        return answer_loss::write_failed;
    if (facts.m_not_stored)
        return answer_loss::not_stored;
    if (facts.m_abort == abort_cause::timeout)
        return answer_loss::timeout;
    return facts.m_no_further_runner ? answer_loss::no_further_runner
                                     : answer_loss::runner_broke_off;
}

const char* to_string(no_runner_cause cause)
{
    switch (cause)
    {
    case no_runner_cause::caller_left:
        return "caller_left";
    case no_runner_cause::timeout:
        return "timeout";
    case no_runner_cause::config_outdated:
        return "config_outdated";
    case no_runner_cause::too_many_refusals:
        return "too_many_refusals";
    case no_runner_cause::no_retry_quota:
        return "no_retry_quota";
    case no_runner_cause::crash_claim:
        return "crash_claim";
    case no_runner_cause::none_eligible:
        return "none_eligible";
    }
    return "unknown";
}

no_runner_cause cause_of(const no_runner_facts& facts)
{
    if (facts.m_abort == abort_cause::caller_left ||
        facts.m_abort == abort_cause::not_read)
        return no_runner_cause::caller_left;
    if (facts.m_abort == abort_cause::timeout || facts.m_deadline_reached)
        return no_runner_cause::timeout;
    if (!facts.m_config_fresh)
        return no_runner_cause::config_outdated;
    if (facts.m_too_many_refusals)
        return no_runner_cause::too_many_refusals;
    if (facts.m_retry_denied)
        return no_runner_cause::no_retry_quota;
    return facts.m_claim_refused ? no_runner_cause::crash_claim
                                 : no_runner_cause::none_eligible;
}

void unfinished_requests::add(answer_phase phase, const std::string& id)
{
    switch (phase)
    {
    case answer_phase::request_read:
        ++m_request_read;
        break;
    case answer_phase::passed_on:
        ++m_passed_on;
        break;
    case answer_phase::answer_begun:
        ++m_answer_begun;
        break;
    }
    if (m_ids.size() < max_ids)
        m_ids.push_back(id);
}

std::string describe(const unfinished_requests& requests)
{
    return "request_read=" + std::to_string(requests.m_request_read) +
           " passed_on=" + std::to_string(requests.m_passed_on) +
           " answer_begun=" + std::to_string(requests.m_answer_begun) +
           " being_read=" + std::to_string(requests.m_being_read) + " ids=\"" +
           boost::algorithm::join(requests.m_ids, ",") + '"';
}

} // namespace pepperturn
