// SPDX-License-Identifier: BSL-1.0
// Ends of programs, and the resolution of calls whose outcome is unknown.
#include "pepperturn/core/systems.hpp"

namespace pepperturn::detail {

namespace {

constexpr std::int32_t status_ok = 200;
constexpr std::int32_t status_not_found = 404;
constexpr std::int32_t status_conflict = 409;
constexpr std::int32_t status_gone = 410;

void send_reply(const std::string& entry_vm, const call_id& call,
                std::int32_t status, const std::string& reason,
                command_list& out)
{
    if (call.empty())
        return;
    answer reply;
    reply.m_call = call;
    reply.m_outcome = status == status_ok ? outcome::ran : outcome::not_run;
    reply.m_status = status;
    reply.m_reason = reason;
    out.emplace_back(send_decision{entry_vm, std::move(reply)});
}

/// Keys of the program and, for a root, of its sub-agents.
std::vector<program_key> with_sub_agents(const partition_row& partition,
                                         const program_key& key)
{
    if (key.m_program != key.m_root)
        return {key};
    std::vector<program_key> keys;
    auto row =
        partition.m_programs.lower_bound({key.m_workspace, key.m_root, {}});
    for (; row != partition.m_programs.end() &&
           row->first.m_workspace == key.m_workspace &&
           row->first.m_root == key.m_root;
         ++row)
        keys.push_back(row->first);
    return keys;
}

/// Ends calls that were not sent and cancels those that were; true if none
/// remains.
bool stop_calls(core_state& state, partition_row& partition,
                const program_key& key, command_list& out)
{
    auto* program = find_program(partition, key);
    std::vector<call_id> calls;
    for (const auto& [name, session] : program->m_sessions)
    {
        for (const auto& [seq, id] : session.m_calls)
            calls.push_back(id);
    }
    for (const auto& id : calls)
    {
        auto* call = find_call(state, id);
        if (call == nullptr)
            continue;
        if (call->m_state == call_state::granted)
            out.emplace_back(cancel_attempt{call->m_request.m_entry_vm, id,
                                            call->m_attempt});
        else if (call->m_state != call_state::ending)
            finish_not_run(state, *call, status_gone, "the program has ended",
                           milliseconds{0}, out);
    }
    program = find_program(partition, key);
    return program == nullptr || program->m_live_calls == 0;
}

/// A failed owner may have granted calls that its log does not name, so if the
/// program has had several owners all chat runners are requested to release.
void add_possible_holders(core_state& state, const partition_row& partition,
                          std::uint64_t opened_epoch, program_row& row)
{
    if (opened_epoch == partition.m_epoch)
        return;
    for (const auto& [upstream, names] : state.m_runners_by_upstream)
    {
        const auto info = state.m_deployment.m_upstreams.find(upstream);
        if (info != state.m_deployment.m_upstreams.end() &&
            info->second.m_kind != call_kind::chat)
            continue;
        row.m_holders.insert(names.begin(), names.end());
    }
}

void record_program_end(core_state& state, partition_row& partition,
                        const program_key& key, command_list& out)
{
    auto* row = find_program(partition, key);
    const auto* root = find_root(partition, key);
    if (row == nullptr || row->m_ended)
        return;
    add_possible_holders(state, partition,
                         root == nullptr ? 0 : root->m_opened_epoch, *row);
    auto entry = program_record_of(key, *row);
    entry.m_ended = true;
    log_decision(out, "program_ended",
                 {{"workspace", key.m_workspace},
                  {"program", key.m_program},
                  {"spent_tokens", std::to_string(row->m_spent)},
                  {"holders", std::to_string(row->m_holders.size())}});
    append_record(state, partition,
                  {std::move(entry), commit_action::end_program, {}, {}, {}});
}

void answer_end_waiters(program_row& row, command_list& out)
{
    for (const auto& [entry_vm, call] : row.m_end_waiters)
        send_reply(entry_vm, call, status_ok, {}, out);
    row.m_end_waiters.clear();
}

/// True once the record of the program's end is committed.
bool end_is_committed(const partition_row& partition, const program_key& key)
{
    const auto is_end_record = [&key](const pending_record& entry) {
        const auto* ended = std::get_if<program_record>(&entry.m_record);
        return ended != nullptr && ended->m_ended && ended->m_key == key;
    };
    for (const auto& entry : partition.m_pending)
    {
        if (is_end_record(entry))
            return false;
    }
    for (const auto& entry : partition.m_in_flight)
    {
        if (is_end_record(entry))
            return false;
    }
    return true;
}

} // namespace

void on_program_end(core_state& state, const program_end_requested& request,
                    command_list& out)
{
    const auto id = partition_of(
        request.m_key, static_cast<std::uint32_t>(state.m_partitions.size()));
    auto& partition = state.m_partitions[id];
    if (partition.m_role != partition_role::owner)
    {
        if (!request.m_call.empty())
            out.emplace_back(send_decision{
                request.m_entry_vm,
                redirect{request.m_call, id, partition.m_known_owner}});
        return;
    }
    auto* row = find_program(partition, request.m_key);
    if (row == nullptr)
    {
        send_reply(request.m_entry_vm, request.m_call, status_not_found,
                   "no such program", out);
        return;
    }
    if (!request.m_call.empty())
        row->m_end_waiters.emplace_back(request.m_entry_vm, request.m_call);
    if (row->m_ended)
    {
        if (end_is_committed(partition, request.m_key))
            answer_end_waiters(*row, out);
        return;
    }
    const auto keys_to_end = with_sub_agents(partition, request.m_key);
    for (const auto& key : keys_to_end)
        partition.m_programs.at(key).m_ending = true;
    bool all_stopped = true;
    for (const auto& key : keys_to_end)
        all_stopped = stop_calls(state, partition, key, out) && all_stopped;
    if (!all_stopped)
        return;
    for (const auto& key : keys_to_end)
        record_program_end(state, partition, key, out);
}

void on_resolve(core_state& state, const resolve_requested& request,
                command_list& out)
{
    const auto& program = request.m_session.m_program;
    const auto id = partition_of(
        program, static_cast<std::uint32_t>(state.m_partitions.size()));
    auto& partition = state.m_partitions[id];
    if (partition.m_role != partition_role::owner)
    {
        out.emplace_back(send_decision{
            request.m_entry_vm,
            redirect{request.m_call, id, partition.m_known_owner}});
        return;
    }
    const auto* session = find_session(partition, request.m_session);
    const auto* turn =
        session != nullptr && session->m_turns.contains(request.m_seq)
            ? &session->m_turns.at(request.m_seq)
            : nullptr;
    if (turn == nullptr)
    {
        send_reply(request.m_entry_vm, request.m_call, status_not_found,
                   "no such call", out);
        return;
    }
    const bool open =
        !turn->m_dangling && turn->m_answer.m_outcome == outcome::unknown;
    if (!open)
    {
        send_reply(request.m_entry_vm, request.m_call, status_conflict,
                   "the call's outcome is not unknown", out);
        return;
    }
    answer reply;
    reply.m_call = request.m_call;
    reply.m_outcome = outcome::ran;
    reply.m_status = status_ok;
    log_decision(
        out, "call_resolved",
        {{"call", turn->m_call}, {"outcome", to_string(request.m_outcome)}});
    append_record(
        state, partition,
        {resolved_record{request.m_session, request.m_seq, request.m_outcome},
         commit_action::answer_resolve, request.m_call, request.m_entry_vm,
         reply});
}

} // namespace pepperturn::detail
