// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/answer_end.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace {

using namespace pepperturn;

/// Changes to the facts of a request that was read whole and no more.
using change = std::function<void(answer_facts&)>;

answer_facts facts_with(const std::vector<change>& changes)
{
    answer_facts out;
    for (const auto& apply : changes)
        apply(out);
    return out;
}

const change no_memory = [](auto& facts) { facts.m_memory_available = false; };
const change not_read = [](auto& facts) {
    facts.m_abort = abort_cause::not_read;
};
const change timeout = [](auto& facts) {
    facts.m_abort = abort_cause::timeout;
};
const change closed = [](auto& facts) {
    facts.m_caller = caller_side::closed;
    facts.m_abort = abort_cause::caller_left;
};
const change reset = [](auto& facts) {
    facts.m_caller = caller_side::reset;
    facts.m_abort = abort_cause::caller_left;
};
const change write_failed = [](auto& facts) { facts.m_write_failed = true; };
const change not_stored = [](auto& facts) { facts.m_not_stored = true; };
const change no_further = [](auto& facts) { facts.m_no_further_runner = true; };

} // namespace

TEST_CASE("each way to lose an answer has a cause of its own", "[lines]")
{
    struct sample
    {
        std::vector<change> m_changes;
        answer_loss m_loss;
    };
    const auto each = GENERATE(values<sample>({
        {{}, answer_loss::runner_broke_off},
        {{closed}, answer_loss::caller_closed},
        {{reset}, answer_loss::caller_reset},
        {{closed, write_failed}, answer_loss::caller_closed},
        {{write_failed}, answer_loss::write_failed},
        {{not_read}, answer_loss::not_read},
        {{not_read, no_memory}, answer_loss::no_memory},
        {{timeout}, answer_loss::timeout},
        {{timeout, no_further}, answer_loss::timeout},
        {{no_further}, answer_loss::no_further_runner},
        {{not_stored}, answer_loss::not_stored},
        {{not_stored, timeout}, answer_loss::not_stored},
    }));
    INFO(to_string(each.m_loss));
    CHECK(loss_of(facts_with(each.m_changes)) == each.m_loss);
}

TEST_CASE("how far a request has come", "[lines]")
{
    const auto [passed_on, bytes, phase] =
        GENERATE(table<bool, std::uint64_t, answer_phase>(
            {{false, 0, answer_phase::request_read},
             {true, 0, answer_phase::passed_on},
             {true, 1, answer_phase::answer_begun},
             // A refusal of this VM's own, of which a part was written.
             {false, 1, answer_phase::answer_begun}}));
    answer_facts facts;
    facts.m_passed_on = passed_on;
    facts.m_answer_bytes = bytes;
    CHECK(phase_of(facts) == phase);
}

TEST_CASE("why no runner gets a request", "[lines]")
{
    using set = std::function<void(no_runner_facts&)>;
    struct sample
    {
        set m_set;
        no_runner_cause m_cause;
    };
    const auto each = GENERATE(values<sample>({
        {[](auto&) {}, no_runner_cause::none_eligible},
        {[](auto& facts) { facts.m_abort = abort_cause::caller_left; },
         no_runner_cause::caller_left},
        {[](auto& facts) { facts.m_abort = abort_cause::not_read; },
         no_runner_cause::caller_left},
        {[](auto& facts) { facts.m_abort = abort_cause::timeout; },
         no_runner_cause::timeout},
        {[](auto& facts) { facts.m_deadline_reached = true; },
         no_runner_cause::timeout},
        {[](auto& facts) { facts.m_config_fresh = false; },
         no_runner_cause::config_outdated},
        // Refused too often, it is not asked whether it may go on.
        {[](auto& facts) {
             facts.m_too_many_refusals = facts.m_retry_denied = true;
         },
         no_runner_cause::too_many_refusals},
        {[](auto& facts) { facts.m_retry_denied = true; },
         no_runner_cause::no_retry_quota},
        {[](auto& facts) { facts.m_claim_refused = true; },
         no_runner_cause::crash_claim},
    }));
    no_runner_facts facts;
    each.m_set(facts);
    INFO(to_string(each.m_cause));
    CHECK(cause_of(facts) == each.m_cause);
}

TEST_CASE("why a connection ended before a request was read", "[lines]")
{
    const auto [ec, timed_out, end] =
        GENERATE(table<error_code, bool, read_end>({
            {error_code{}, false, read_end::none},
            {asio::error::eof, false, read_end::caller_closed},
            {http::error::end_of_stream, false, read_end::caller_closed},
            {http::error::partial_message, false, read_end::caller_closed},
            {asio::error::connection_reset, false, read_end::caller_reset},
            {asio::error::operation_aborted, true, read_end::idle_timeout},
            {asio::error::operation_aborted, false, read_end::stopping},
        }));
    INFO(to_string(end));
    CHECK(read_end_of(ec, timed_out) == end);
}

TEST_CASE("requests that a stop cuts are counted, and the first are named",
          "[lines]")
{
    unfinished_requests cut;
    for (std::size_t i = 0; i < 2 * unfinished_requests::max_ids; ++i)
        cut.add(answer_phase::passed_on, "c" + std::to_string(i));
    cut.add(answer_phase::request_read, "read");
    cut.add(answer_phase::answer_begun, "begun");
    cut.m_being_read = 3;
    CHECK(cut.m_ids.size() == unfinished_requests::max_ids);
    cut.m_ids = {"c0", "c1"};
    CHECK(describe(cut) == "request_read=1 passed_on=32 answer_begun=1 "
                           "being_read=3 ids=\"c0,c1\"");
}
