// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

bool is_success(std::int32_t status)
{
    return status >= 200 && status < 300;
}

/// Calls covered by an earlier owner's reservation may have been sent, so the
/// whole reservation is charged.
void charge_unsettled(partition_row& partition)
{
    for (auto& [key, row] : partition.m_programs)
        row.m_spent = std::max(row.m_spent, row.m_reserved);
}

void apply(core_state&, partition_row& partition, const takeover_record& entry)
{
    partition.m_epoch = entry.m_epoch;
    partition.m_known_owner = entry.m_vm;
    partition.m_known_epoch = entry.m_epoch;
    charge_unsettled(partition);
}

void apply(core_state&, partition_row& partition, const handoff_record& entry)
{
    partition.m_known_owner.clear();
    for (const auto& call : entry.m_in_flight)
    {
        auto& program = partition.m_programs[call.m_session.m_program];
        auto& session = program.m_sessions[call.m_session.m_session];
        session.m_expected[call.m_seq] = {call.m_call, call.m_digest, {}};
    }
}

void apply(core_state& state, partition_row& partition,
           const program_record& entry)
{
    auto& row = partition.m_programs[entry.m_key];
    row.m_budget = entry.m_budget;
    row.m_spent = std::max(row.m_spent, entry.m_spent);
    row.m_reserved = std::max(row.m_reserved, entry.m_reserved);
    row.m_opened_epoch = entry.m_opened_epoch;
    row.m_recorded = true;
    row.m_ended = entry.m_ended;
    row.m_holders.insert(entry.m_holders.begin(), entry.m_holders.end());
    if (!entry.m_ended)
        return;
    row.m_sessions.clear();
    if (!row.m_holders.empty())
        state.m_releasing.emplace(partition.m_id, entry.m_key);
}

void apply(core_state&, partition_row& partition, const started_record& entry)
{
    auto& row = partition.m_programs[entry.m_session.m_program];
    auto& session = row.m_sessions[entry.m_session.m_session];
    auto& turn = session.m_turns[entry.m_seq];
    turn.m_seq = entry.m_seq;
    turn.m_call = entry.m_call;
    turn.m_digest = entry.m_digest;
    turn.m_idempotency_key = entry.m_idempotency_key;
    turn.m_repeatable = false;
    turn.m_dangling = true;
    turn.m_answer.m_outcome = outcome::unknown;
    turn.m_answer.m_runner = entry.m_runner;
}

void record_prefix(core_state& state, session_row& session, const answer& reply)
{
    session.m_history_tokens = reply.m_prompt_tokens + reply.m_output_tokens;
    session.m_last_runner = reply.m_runner;
    auto& prefix = session.m_prefixes[reply.m_runner];
    prefix.m_tokens = session.m_history_tokens;
    prefix.m_at = state.m_now;
    const auto runner = state.m_runners.find(reply.m_runner);
    if (runner != state.m_runners.end())
        prefix.m_sent_mark = runner->second.m_sent_tokens;
}

void charge_root(partition_row& partition, const ended_record& entry)
{
    auto* root = find_root(partition, entry.m_session.m_program);
    if (root == nullptr)
        return;
    root->m_spent += entry.m_cost;
    root->m_reserved = std::max(root->m_reserved, entry.m_reserved);
    root->m_turn_count += 1;
}

void apply(core_state& state, partition_row& partition,
           const ended_record& entry)
{
    charge_root(partition, entry);
    auto& row = partition.m_programs[entry.m_session.m_program];
    auto& session = row.m_sessions[entry.m_session.m_session];
    session.m_expected.erase(entry.m_seq);
    if (entry.m_answer.m_outcome == outcome::not_run)
    {
        session.m_turns.erase(entry.m_seq);
        return;
    }
    auto& turn = session.m_turns[entry.m_seq];
    turn.m_seq = entry.m_seq;
    turn.m_call = entry.m_call;
    turn.m_digest = entry.m_digest;
    turn.m_idempotency_key = entry.m_idempotency_key;
    turn.m_kind = entry.m_kind;
    turn.m_messages = entry.m_messages;
    turn.m_answer = entry.m_answer;
    turn.m_repeatable = entry.m_repeatable;
    turn.m_dangling = false;
    session.m_next_seq = std::max(session.m_next_seq, entry.m_seq + 1);
    if (entry.m_kind != call_kind::chat || entry.m_answer.m_runner.empty())
        return;
    row.m_holders.insert(entry.m_answer.m_runner);
    if (entry.m_answer.m_outcome == outcome::ran &&
        is_success(entry.m_answer.m_status))
        record_prefix(state, session, entry.m_answer);
}

void apply(core_state&, partition_row& partition, const resolved_record& entry)
{
    auto* session = find_session(partition, entry.m_session);
    if (session == nullptr)
        return;
    const auto turn = session->m_turns.find(entry.m_seq);
    if (turn == session->m_turns.end())
        return;
    turn->second.m_answer.m_outcome = entry.m_outcome;
    turn->second.m_answer.m_reason = "resolved by an operator or caller";
}

void apply(core_state& state, partition_row& partition,
           const released_record& entry)
{
    auto* row = find_program(partition, entry.m_key);
    if (row == nullptr)
        return;
    row->m_holders.erase(entry.m_runner);
    row->m_release_due.erase(entry.m_runner);
    if (row->m_holders.empty())
        state.m_releasing.erase({partition.m_id, entry.m_key});
}

ended_record ended_record_of(const session_key& key, const turn_row& turn)
{
    ended_record entry;
    entry.m_call = turn.m_call;
    entry.m_session = key;
    entry.m_seq = turn.m_seq;
    entry.m_digest = turn.m_digest;
    entry.m_idempotency_key = turn.m_idempotency_key;
    entry.m_kind = turn.m_kind;
    entry.m_messages = turn.m_messages;
    entry.m_answer = turn.m_answer;
    entry.m_answer.m_pending = false;
    entry.m_repeatable = turn.m_repeatable;
    return entry;
}

started_record started_record_of(const session_key& key, const turn_row& turn)
{
    return {turn.m_call,
            key,
            turn.m_seq,
            turn.m_digest,
            turn.m_idempotency_key,
            turn.m_answer.m_runner};
}

void snapshot_session(const session_key& key, const session_row& session,
                      std::vector<record>& out)
{
    for (const auto& [seq, turn] : session.m_turns)
    {
        if (turn.m_dangling)
            out.emplace_back(started_record_of(key, turn));
        else
            out.emplace_back(ended_record_of(key, turn));
    }
}

} // namespace

program_record program_record_of(const program_key& key, const program_row& row)
{
    return {key,
            row.m_budget,
            row.m_spent,
            row.m_reserved,
            row.m_opened_epoch,
            row.m_ended,
            row.m_holders};
}

void apply_record(core_state& state, partition_row& partition,
                  const record& entry)
{
    std::visit([&](const auto& value) { apply(state, partition, value); },
               entry);
}

std::vector<record> snapshot_records(const partition_row& partition)
{
    std::vector<record> out;
    out.emplace_back(
        takeover_record{partition.m_known_owner, partition.m_epoch});
    // Programs first, so that turns are counted for an existing root.
    for (const auto& [key, row] : partition.m_programs)
    {
        if (row.m_recorded || row.m_ended)
            out.emplace_back(program_record_of(key, row));
    }
    for (const auto& [key, row] : partition.m_programs)
    {
        for (const auto& [name, session] : row.m_sessions)
            snapshot_session({key, name}, session, out);
    }
    return out;
}

} // namespace pepperturn::detail
