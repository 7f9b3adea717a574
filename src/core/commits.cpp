// SPDX-License-Identifier: BSL-1.0
// Actions that run once a record is committed.
#include "pepperturn/core/prediction.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

/// Requests for a dangling call wait for its entry VM's report.
void expect_dangling(program_row& program)
{
    for (auto& [name, session] : program.m_sessions)
    {
        for (const auto& [seq, turn] : session.m_turns)
        {
            if (turn.m_dangling)
                session.m_expected[seq] = {turn.m_call, turn.m_digest, {}};
        }
    }
}

void on_claimed(core_state& state, partition_row& partition, command_list& out)
{
    constexpr milliseconds dangling_grace{2000};
    partition.m_role = partition_role::owner;
    partition.m_imbalanced_since = state.m_now;
    partition.m_has_dangling = true;
    partition.m_has_expected = true;
    partition.m_dangling_due = state.m_now + dangling_grace;
    state.m_counters.m_takeovers += 1;
    const auto idle = state.m_deployment.m_limits.m_program_idle;
    for (auto& [key, row] : partition.m_programs)
    {
        expect_dangling(row);
        row.m_committed_reserved = row.m_reserved;
        row.m_last_active = state.m_now;
        if (!row.m_ended)
            state.m_idle_due.emplace(state.m_now + idle,
                                     std::pair{partition.m_id, key});
    }
    log_decision(out, "partition_owned",
                 {{"partition", std::to_string(partition.m_id)},
                  {"epoch", std::to_string(partition.m_epoch)},
                  {"programs", std::to_string(partition.m_programs.size())}});
}

void update_committed(partition_row& partition, const record& entry)
{
    if (const auto* program = std::get_if<program_record>(&entry))
    {
        auto* row = find_program(partition, program->m_key);
        if (row != nullptr)
            row->m_committed_reserved =
                std::max(row->m_committed_reserved, program->m_reserved);
    }
    if (const auto* ended = std::get_if<ended_record>(&entry))
    {
        auto* root = find_root(partition, ended->m_session.m_program);
        if (root != nullptr)
            root->m_committed_reserved =
                std::max(root->m_committed_reserved, ended->m_reserved);
        auto* session = find_session(partition, ended->m_session);
        if (session == nullptr)
            return;
        const auto turn = session->m_turns.find(ended->m_seq);
        if (turn != session->m_turns.end())
            turn->second.m_answer.m_pending = false;
    }
}

} // namespace

void on_committed(core_state& state, partition_row& partition,
                  const pending_record& entry, command_list& out)
{
    update_committed(partition, entry.m_record);
    auto* call = find_call(state, entry.m_call);
    switch (entry.m_action)
    {
    case commit_action::none:
        return;
    case commit_action::claim_done:
        on_claimed(state, partition, out);
        return;
    case commit_action::admit_call:
        if (call != nullptr && call->m_state == call_state::reserving)
            enqueue_ready(state, *call, out);
        return;
    case commit_action::grant_call:
        if (call == nullptr || call->m_state != call_state::starting)
            return;
        call->m_started = true;
        if (runner_usable(state, call->m_runner))
        {
            send_grant(state, *call, out);
            return;
        }
        // The runner became unusable while the record was being written.
        record_attempt_end(state, *call, nullptr);
        enqueue_ready(state, *call, out);
        return;
    case commit_action::answer_call:
        if (call != nullptr && call->m_state == call_state::ending)
            finish_call(state, *call, entry.m_answer, out);
        return;
    case commit_action::end_program:
        on_program_end(state,
                       {{}, {}, std::get<program_record>(entry.m_record).m_key},
                       out);
        return;
    case commit_action::answer_resolve:
        out.emplace_back(send_decision{entry.m_entry_vm, entry.m_answer});
        return;
    case commit_action::handoff_done: {
        const auto to = partition.m_handoff_to;
        drop_partition(state, partition, out);
        partition.m_known_owner = to;
        return;
    }
    }
}

} // namespace pepperturn::detail
