// SPDX-License-Identifier: BSL-1.0
// Timers and periodic checks: deadlines, lost entry VMs, idle programs, the
// state of the store.
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

constexpr std::int32_t status_bad_gateway = 502;
constexpr std::int32_t status_timeout = 504;
constexpr milliseconds short_retry{1000};

std::string unresolved_reason()
{
    return "the VM that sent it has failed or restarted; resolve it once its "
           "effect is known";
}

/// Sends the outcome of a lost call to its waiters.
void answer_expected(partition_row& partition, const session_key& key,
                     const ended_record& ended, command_list& out)
{
    auto* session = find_session(partition, key);
    const auto expected = session->m_expected.find(ended.m_seq);
    if (expected == session->m_expected.end())
        return;
    for (const auto& target : expected->second.m_waiters)
    {
        auto reply = ended.m_answer;
        reply.m_call = target.m_call;
        out.emplace_back(send_decision{target.m_entry_vm, std::move(reply)});
    }
    session->m_expected.erase(expected);
}

/// Dangling calls whose entry VM did not report become `unknown`.
void end_dangling(core_state& state, partition_row& partition,
                  const session_key& key, const turn_row& turn,
                  command_list& out)
{
    ended_record ended;
    ended.m_call = turn.m_call;
    ended.m_session = key;
    ended.m_seq = turn.m_seq;
    ended.m_digest = turn.m_digest;
    ended.m_idempotency_key = turn.m_idempotency_key;
    ended.m_kind = call_kind::service;
    ended.m_repeatable = false;
    ended.m_answer = turn.m_answer;
    ended.m_answer.m_call = turn.m_call;
    ended.m_answer.m_seq = turn.m_seq;
    ended.m_answer.m_outcome = outcome::unknown;
    ended.m_answer.m_status = status_bad_gateway;
    ended.m_answer.m_reason = unresolved_reason();
    count_outcome(state, outcome::unknown);
    answer_expected(partition, key, ended, out);
    log_decision(out, "call_unknown",
                 {{"call", turn.m_call},
                  {"seq", std::to_string(turn.m_seq)},
                  {"partition", std::to_string(partition.m_id)}});
    append_record(state, partition,
                  {std::move(ended), commit_action::none, {}, {}, {}});
    start_next_call(state, partition, key, out);
}

/// The entry VM that made the call id is alive and has not restarted.
bool entry_alive(const core_state& state, const call_id& call)
{
    const auto vm = entry_of(call);
    const auto row = state.m_vms.find(vm);
    return row != state.m_vms.end() && vm_alive(state, vm) &&
           row->second.m_heartbeat.m_incarnation == incarnation_of(call);
}

bool may_still_report(const core_state& state, const partition_row& partition,
                      const call_id& call)
{
    // Longer than any attempt, and than entry VMs offer a result.
    constexpr seconds unreported_limit{180};
    return entry_alive(state, call) &&
           state.m_now < partition.m_dangling_due + unreported_limit;
}

/// Drops granted calls of an earlier owner whose entry VM failed: the waiters
/// for their results are redirected, so that they submit again.
void scan_expected(core_state& state, partition_row& partition,
                   command_list& out)
{
    bool remaining = false;
    for (auto& [key, program] : partition.m_programs)
    {
        for (auto& [name, session] : program.m_sessions)
        {
            std::erase_if(session.m_expected, [&](const auto& entry) {
                if (may_still_report(state, partition, entry.second.m_call))
                {
                    remaining = true;
                    return false;
                }
                for (const auto& target : entry.second.m_waiters)
                    out.emplace_back(send_decision{
                        target.m_entry_vm,
                        redirect{target.m_call, partition.m_id, {}}});
                return true;
            });
        }
    }
    partition.m_has_expected = remaining;
}

/// Ends dangling calls that will not be reported any more as `unknown`.
void scan_dangling(core_state& state, partition_row& partition,
                   command_list& out)
{
    std::vector<std::pair<session_key, std::uint64_t>> lost;
    bool remaining = false;
    for (const auto& [key, program] : partition.m_programs)
    {
        for (const auto& [name, session] : program.m_sessions)
        {
            for (const auto& [seq, turn] : session.m_turns)
            {
                if (!turn.m_dangling || session.m_calls.contains(seq))
                    continue;
                if (may_still_report(state, partition, turn.m_call))
                    remaining = true;
                else
                    lost.push_back({{key, name}, seq});
            }
        }
    }
    for (const auto& [key, seq] : lost)
    {
        const auto turn = find_session(partition, key)->m_turns.at(seq);
        end_dangling(state, partition, key, turn, out);
    }
    partition.m_has_dangling = remaining;
}

/// Detects store outages from the failures of all partitions of this VM.
void check_store(core_state& state, command_list& out)
{
    const auto after = state.m_deployment.m_limits.m_outage_after;
    const bool down =
        std::any_of(state.m_partitions.begin(), state.m_partitions.end(),
                    [&](const partition_row& row) {
                        return row.m_failing_since &&
                               state.m_now - *row.m_failing_since >= after;
                    });
    if (down == state.m_store_down)
        return;
    state.m_store_down = down;
    log_decision(out, down ? "store_down" : "store_up", {});
    if (!down)
        return;
    std::vector<call_id> ending;
    for (const auto& [id, call] : state.m_calls)
    {
        if (call.m_state == call_state::ending && call.m_request.m_repeatable)
            ending.push_back(id);
    }
    for (const auto& id : ending)
    {
        auto* call = find_call(state, id);
        if (call == nullptr)
            continue;
        auto& partition = state.m_partitions[call->m_partition];
        auto* session = find_session(partition, call->m_request.m_session);
        if (session == nullptr || !session->m_turns.contains(call->m_seq))
            continue;
        auto& recorded = session->m_turns.at(call->m_seq).m_answer;
        recorded.m_pending = true;
        finish_call(state, *call, recorded, out);
    }
}

void end_lost_grants(core_state& state, command_list& out)
{
    std::vector<call_id> lost;
    for (const auto& [id, call] : state.m_calls)
    {
        if (call.m_state == call_state::granted && !entry_alive(state, id))
            lost.push_back(id);
    }
    for (const auto& id : lost)
    {
        if (auto* call = find_call(state, id))
            end_without_report(state, *call,
                               "its entry VM has failed or restarted", out);
    }
}

void end_idle_programs(core_state& state, command_list& out)
{
    const auto idle = state.m_deployment.m_limits.m_program_idle;
    while (!state.m_idle_due.empty() &&
           state.m_idle_due.begin()->first <= state.m_now)
    {
        const auto [id, key] = state.m_idle_due.begin()->second;
        state.m_idle_due.erase(state.m_idle_due.begin());
        auto& partition = state.m_partitions[id];
        const auto* row = find_program(partition, key);
        const bool due = partition.m_role == partition_role::owner &&
                         row != nullptr && !row->m_ended && !row->m_ending &&
                         row->m_live_calls == 0 &&
                         state.m_now - row->m_last_active >= idle;
        if (!due)
            continue;
        log_decision(
            out, "program_idle",
            {{"workspace", key.m_workspace}, {"program", key.m_program}});
        on_program_end(state, {{}, {}, key}, out);
    }
}

} // namespace

void run_deadlines(core_state& state, command_list& out)
{
    while (!state.m_deadlines.empty() &&
           state.m_deadlines.begin()->first <= state.m_now)
    {
        const auto id = state.m_deadlines.begin()->second;
        state.m_deadlines.erase(state.m_deadlines.begin());
        auto* call = find_call(state, id);
        if (call == nullptr || call->m_state == call_state::ending)
            continue;
        if (call->m_state == call_state::granted)
        {
            constexpr milliseconds slack{5000};
            const auto upstream =
                state.m_deployment.m_upstreams.find(call->m_request.m_upstream);
            const auto timeout =
                upstream == state.m_deployment.m_upstreams.end()
                    ? milliseconds{60000}
                    : upstream->second.m_timeout;
            if (state.m_now >= call->m_granted_at + timeout + slack)
                end_without_report(state, *call, "no report within the timeout",
                                   out);
            continue;
        }
        const bool gap = call->m_state == call_state::waiting_turn;
        if (!gap && state.m_now < call->m_deadline)
            continue;
        finish_not_run(state, *call, status_timeout,
                       gap ? "an earlier call of the session did not arrive"
                           : "not started before the deadline",
                       short_retry, out);
    }
}

void run_slow_scan(core_state& state, command_list& out)
{
    constexpr milliseconds interval{100};
    check_store(state, out);
    if (state.m_now < state.m_next_slow_scan)
        return;
    state.m_next_slow_scan = state.m_now + interval;
    end_lost_grants(state, out);
    end_idle_programs(state, out);
    for (auto& partition : state.m_partitions)
    {
        if (partition.m_role == partition_role::owner &&
            partition.m_has_dangling && state.m_now >= partition.m_dangling_due)
            scan_dangling(state, partition, out);
        if (partition.m_role == partition_role::owner &&
            partition.m_has_expected)
            scan_expected(state, partition, out);
    }
}

} // namespace pepperturn::detail
