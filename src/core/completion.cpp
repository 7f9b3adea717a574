// SPDX-License-Identifier: BSL-1.0
// Ends of calls: reports, retries and final results.
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

constexpr std::int32_t status_ok = 200;
constexpr std::int32_t status_too_many = 429;
constexpr std::int32_t status_bad_gateway = 502;
constexpr std::int32_t status_unavailable = 503;
constexpr std::int32_t status_gone = 410;
constexpr milliseconds short_retry{1000};
constexpr double retry_burst = 20;

/// Removes the call from all tables; its turn stays in the history.
void remove_call(core_state& state, const call_id& id)
{
    auto& call = state.m_calls.at(id);
    auto& partition = state.m_partitions[call.m_partition];
    const auto key = call.m_request.m_session;
    if (call.m_state == call_state::ready)
        dequeue_ready(state, call);
    if (call.m_state == call_state::granted ||
        call.m_state == call_state::starting)
        record_attempt_end(state, call, nullptr);
    if (call.m_cost_bound > 0)
        settle_budget(state, partition, call, 0);
    if (auto* session = find_session(partition, key))
    {
        session->m_calls.erase(call.m_seq);
        if (session->m_active == id)
            session->m_active.clear();
    }
    if (auto* program = find_program(partition, key.m_program))
    {
        program->m_live_calls -= std::min(program->m_live_calls, 1U);
        program->m_last_active = state.m_now;
        const auto idle = state.m_deployment.m_limits.m_program_idle;
        state.m_idle_due.emplace(state.m_now + idle,
                                 std::pair{partition.m_id, key.m_program});
    }
    auto& workspace = state.m_workspaces[key.m_program.m_workspace];
    workspace.m_live -= std::min(workspace.m_live, 1U);
    state.m_calls.erase(id);
}

answer answer_of(const call_row& call, outcome verdict, std::int32_t status,
                 std::string reason)
{
    answer reply;
    reply.m_call = call.m_request.m_id;
    reply.m_outcome = verdict;
    reply.m_status = status;
    reply.m_reason = std::move(reason);
    reply.m_runner = call.m_runner;
    reply.m_seq = call.m_seq;
    return reply;
}

/// Reservation to commit along with the call's end, so that the next call
/// needs no commit before it is sent.
std::uint64_t reservation_ahead(const core_state& state,
                                const program_row& root, const call_row& call,
                                std::uint64_t cost)
{
    const std::uint64_t typical =
        std::max<std::uint64_t>(call.m_cost_bound, cost);
    const std::uint64_t ahead =
        typical * state.m_deployment.m_limits.m_block_calls;
    const std::uint64_t desired =
        root.m_spent + cost + root.m_outstanding + ahead;
    return std::max(root.m_reserved, std::min(root.m_budget, desired));
}

/// Queues the call's `ended` record; the result is sent after its commit.
void record_end(core_state& state, call_row& call, answer reply,
                std::uint64_t cost, command_list& out)
{
    auto& partition = state.m_partitions[call.m_partition];
    const auto& request = call.m_request;
    ended_record ended;
    ended.m_call = request.m_id;
    ended.m_session = request.m_session;
    ended.m_seq = call.m_seq;
    ended.m_digest = call.m_digest;
    ended.m_idempotency_key = request.m_idempotency_key;
    ended.m_kind = request.m_kind;
    ended.m_messages = request.m_messages;
    ended.m_repeatable = request.m_repeatable;
    ended.m_cost = cost;
    auto* root = find_root(partition, request.m_session.m_program);
    if (root != nullptr)
        ended.m_reserved = reservation_ahead(state, *root, call, cost);
    settle_budget(state, partition, call, 0);
    reply.m_seq = call.m_seq;
    ended.m_answer = reply;
    call.m_state = call_state::ending;
    append_record(state, partition,
                  {std::move(ended),
                   commit_action::answer_call,
                   request.m_id,
                   {},
                   reply});
    if (state.m_store_down && request.m_repeatable)
    {
        reply.m_pending = true;
        if (auto* session = find_session(partition, request.m_session))
            session->m_turns[call.m_seq].m_answer.m_pending = true;
        finish_call(state, call, std::move(reply), out);
    }
}

void charge_attained(core_state& state, const call_row& call)
{
    auto& partition = state.m_partitions[call.m_partition];
    auto* root = find_root(partition, call.m_request.m_session.m_program);
    if (root != nullptr && call.m_request.m_kind == call_kind::chat)
        root->m_attained += to_seconds(state.m_now - call.m_granted_at);
}

/// Counts prompt tokens that were recomputed although an engine had cached
/// them.
void count_wasted(core_state& state, const call_row& call,
                  const call_report& report)
{
    auto& partition = state.m_partitions[call.m_partition];
    const auto* session = find_session(partition, call.m_request.m_session);
    if (session == nullptr || !report.m_usage)
        return;
    const auto& usage = *report.m_usage;
    const auto history =
        std::min(usage.m_prompt_tokens, session->m_history_tokens);
    state.m_counters.m_prompt_tokens += usage.m_prompt_tokens;
    if (history > usage.m_cached_tokens)
        state.m_counters.m_wasted_tokens += history - usage.m_cached_tokens;
}

bool may_retry(core_state& state, const call_row& call)
{
    return call.m_attempt < state.m_deployment.m_limits.m_max_attempts &&
           state.m_retry_tokens >= 1 && state.m_now < call.m_deadline;
}

void retry(core_state& state, call_row& call, const call_report& report,
           std::uint64_t cost, command_list& out)
{
    auto& partition = state.m_partitions[call.m_partition];
    state.m_retry_tokens -= 1;
    state.m_counters.m_retries += 1;
    call.m_excluded_runners.insert(call.m_runner);
    log_decision(out, "retry",
                 {{"call", call.m_request.m_id},
                  {"runner", call.m_runner},
                  {"attempt", std::to_string(call.m_attempt)},
                  {"reason", report.m_reason}});
    trace(state, call.m_request.m_id,
          "attempt on " + call.m_runner + " failed: " + report.m_reason);
    settle_budget(state, partition, call, cost);
    call.m_may_have_run =
        call.m_may_have_run || report.m_end == attempt_end::aborted;
    if (call.m_started)
    {
        enqueue_ready(state, call, out);
        return;
    }
    // Reserve again in full: the first attempt may have used tokens.
    if (auto* session = find_session(partition, call.m_request.m_session))
        session->m_active.clear();
    start_next_call(state, partition, call.m_request.m_session, out);
}

void fail_unsent(core_state& state, call_row& call, const call_report& report,
                 command_list& out)
{
    if (!report.m_no_retry && may_retry(state, call))
    {
        retry(state, call, report, 0, out);
        return;
    }
    auto reply = answer_of(call, outcome::not_run, status_unavailable,
                           "no runner took the call: " + report.m_reason);
    reply.m_retry_after = short_retry;
    if (call.m_may_have_run)
        reply.m_outcome = outcome::unknown;
    // A `started` record needs an `ended` record before `not_run` is reported.
    if (call.m_started)
        record_end(state, call, std::move(reply), 0, out);
    else
        finish_call(state, call, std::move(reply), out);
}

void fail_aborted(core_state& state, call_row& call, const call_report& report,
                  command_list& out)
{
    const auto cost = call.m_cost_bound;
    if (!call.m_request.m_repeatable)
    {
        record_end(state, call,
                   answer_of(call, outcome::unknown, status_bad_gateway,
                             "the response was incomplete: " + report.m_reason),
                   cost, out);
        return;
    }
    if (!report.m_no_retry && may_retry(state, call))
    {
        retry(state, call, report, cost, out);
        return;
    }
    auto& partition = state.m_partitions[call.m_partition];
    settle_budget(state, partition, call, cost);
    auto reply = answer_of(call, outcome::unknown, status_bad_gateway,
                           "the response was incomplete: " + report.m_reason);
    reply.m_retry_after = short_retry;
    finish_call(state, call, std::move(reply), out);
}

/// What a call that ran is charged.
token_usage charged_usage(core_state& state, const call_row& call,
                          const call_report& report)
{
    const auto& request = call.m_request;
    if (request.m_kind != call_kind::chat)
        return {};
    if (report.m_usage)
        return *report.m_usage;
    trace(state, request.m_id, "the engine stated no usage: charged its bound");
    // The call may hold no reservation: a new owner that adopts its result
    // made none.
    const auto* session =
        find_session(state.m_partitions[call.m_partition], request.m_session);
    return usage_bound(request, session != nullptr ? *session : session_row{});
}

void complete(core_state& state, call_row& call, const call_report& report,
              command_list& out)
{
    charge_attained(state, call);
    const auto usage = charged_usage(state, call, report);
    auto reply = answer_of(call, outcome::ran, report.m_status, {});
    reply.m_body = report.m_body;
    reply.m_prompt_tokens = usage.m_prompt_tokens;
    reply.m_cached_tokens = usage.m_cached_tokens;
    reply.m_output_tokens = usage.m_output_tokens;
    const auto cost =
        std::uint64_t{usage.m_prompt_tokens} + usage.m_output_tokens;
    const double earned = state.m_deployment.m_limits.m_retry_ratio;
    state.m_retry_tokens = std::min(retry_burst, state.m_retry_tokens + earned);
    record_end(state, call, std::move(reply), cost, out);
}

/// An engine that responds with an error status has not run the call.
void rejected_by_engine(core_state& state, call_row& call,
                        const call_report& report, command_list& out)
{
    if (report.m_status == status_too_many ||
        report.m_status == status_unavailable)
    {
        fail_unsent(state, call, report, out);
        return;
    }
    const auto verdict =
        call.m_may_have_run ? outcome::unknown : outcome::not_run;
    auto reply = answer_of(call, verdict, report.m_status,
                           "the engine refused the call");
    reply.m_body = report.m_body;
    finish_call(state, call, std::move(reply), out);
}

} // namespace

void count_outcome(core_state& state, outcome verdict)
{
    auto& counters = state.m_counters;
    switch (verdict)
    {
    case outcome::ran:
        counters.m_ran += 1;
        return;
    case outcome::not_run:
        counters.m_not_run += 1;
        return;
    case outcome::unknown:
        counters.m_unknown += 1;
        return;
    }
}

void finish_call(core_state& state, call_row& call, answer reply,
                 command_list& out)
{
    const call_id id = call.m_request.m_id;
    const auto key = call.m_request.m_session;
    const auto partition_id = call.m_partition;
    reply.m_seq = call.m_seq;
    count_outcome(state, reply.m_outcome);
    trace(state, id,
          std::string("answered ") + to_string(reply.m_outcome) +
              (reply.m_pending ? " (durability pending)" : "") + " after " +
              format_seconds(to_seconds(state.m_now - call.m_arrived)) +
              " s, " + std::to_string(reply.m_prompt_tokens) + "+" +
              std::to_string(reply.m_output_tokens) + " tokens" +
              (reply.m_reason.empty() ? "" : ": " + reply.m_reason));
    log_decision(
        out, "call_ended",
        {{"call", id},
         {"outcome", to_string(reply.m_outcome)},
         {"status", std::to_string(reply.m_status)},
         {"runner", reply.m_runner},
         {"attempts", std::to_string(call.m_attempt)},
         {"total_s", format_seconds(to_seconds(state.m_now - call.m_arrived))},
         {"pending", reply.m_pending ? "1" : "0"},
         {"reason", reply.m_reason}});
    for (const auto& target : call.m_waiters)
    {
        reply.m_call = target.m_call;
        out.emplace_back(send_decision{target.m_entry_vm, reply});
    }
    remove_call(state, id);
    auto& partition = state.m_partitions[partition_id];
    const auto* root = find_root(partition, key.m_program);
    const bool one_off = is_one_off(key.m_program);
    if (root != nullptr && (root->m_ending || one_off))
        on_program_end(state, {{}, {}, key.m_program}, out);
    else
        start_next_call(state, partition, key, out);
}

void end_without_report(core_state& state, call_row& call,
                        const std::string& reason, command_list& out)
{
    call_report report;
    report.m_end = attempt_end::aborted;
    report.m_no_retry = true;
    report.m_reason = reason;
    record_attempt_end(state, call, nullptr);
    call.m_state = call_state::ending;
    fail_aborted(state, call, report, out);
}

void finish_not_run(core_state& state, call_row& call, int status,
                    const std::string& reason, milliseconds retry_after,
                    command_list& out)
{
    const auto verdict =
        call.m_may_have_run ? outcome::unknown : outcome::not_run;
    auto reply = answer_of(call, verdict, status, reason);
    reply.m_retry_after = retry_after;
    const bool started = call.m_started || call.m_state == call_state::starting;
    if (!started)
    {
        finish_call(state, call, std::move(reply), out);
        return;
    }
    // This VM wrote the `started` record and will not grant the call, so nobody
    // sends it; the `ended` record is committed after the result is sent.
    ended_record ended;
    ended.m_call = call.m_request.m_id;
    ended.m_session = call.m_request.m_session;
    ended.m_seq = call.m_seq;
    ended.m_answer = reply;
    ended.m_repeatable = false;
    append_record(state, state.m_partitions[call.m_partition],
                  {std::move(ended), commit_action::none, {}, {}, {}});
    finish_call(state, call, std::move(reply), out);
}

void redirect_call(core_state& state, call_row& call, command_list& out)
{
    const auto id = call.m_request.m_id;
    const auto partition = call.m_partition;
    // An entry VM that is using a grant ignores the redirect and learns of the
    // new owner when it reports.
    for (const auto& target : call.m_waiters)
        out.emplace_back(send_decision{target.m_entry_vm,
                                       redirect{target.m_call, partition, {}}});
    trace(state, id, "partition is being handed over");
    remove_call(state, id);
}

void on_call_reported(core_state& state, const call_report& report,
                      command_list& out)
{
    auto* call = find_call(state, report.m_call);
    const bool known =
        call != nullptr && call->m_state == call_state::granted &&
        state.m_partitions[call->m_partition].m_epoch == report.m_epoch;
    if (!known)
    {
        const bool ending = call != nullptr;
        if (!ending)
            out.emplace_back(send_decision{entry_of(report.m_call),
                                           redirect{report.m_call, 0, {}}});
        return;
    }
    if (report.m_attempt != call->m_attempt)
        return;
    record_attempt_end(state, *call, &report);
    call->m_state = call_state::ending;
    switch (report.m_end)
    {
    case attempt_end::not_sent:
        fail_unsent(state, *call, report, out);
        return;
    case attempt_end::aborted:
        fail_aborted(state, *call, report, out);
        return;
    case attempt_end::complete:
        break;
    }
    if (call->m_request.m_kind == call_kind::chat &&
        report.m_status != status_ok)
    {
        rejected_by_engine(state, *call, report, out);
        return;
    }
    count_wasted(state, *call, report);
    complete(state, *call, report, out);
}

void on_caller_disconnected(core_state& state, const call_id& id,
                            command_list& out)
{
    auto* call = find_call(state, id);
    if (call == nullptr)
        return;
    const bool unsent = call->m_state == call_state::waiting_turn ||
                        call->m_state == call_state::ready;
    if (unsent && call->m_waiters.size() <= 1)
        finish_not_run(state, *call, status_gone, "the caller disconnected",
                       milliseconds{0}, out);
}

} // namespace pepperturn::detail
