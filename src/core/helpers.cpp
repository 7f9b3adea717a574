// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/systems.hpp"

#include <array>
#include <cstdio>

namespace pepperturn {

namespace {
constexpr std::size_t max_traces = 2048;
} // namespace

const char* to_string(call_state value)
{
    constexpr std::array names{"waiting_turn", "reserving", "ready",
                               "starting",     "granted",   "ending"};
    return names.at(static_cast<std::size_t>(value));
}

const char* to_string(partition_role value)
{
    constexpr std::array names{"idle", "reading", "claiming", "owner",
                               "handing_off"};
    return names.at(static_cast<std::size_t>(value));
}

namespace detail {

program_row* find_program(partition_row& partition, const program_key& key)
{
    const auto found = partition.m_programs.find(key);
    return found == partition.m_programs.end() ? nullptr : &found->second;
}

program_row* find_root(partition_row& partition, const program_key& key)
{
    if (key.m_program == key.m_root)
        return find_program(partition, key);
    return find_program(partition, {key.m_workspace, key.m_root, key.m_root});
}

session_row* find_session(partition_row& partition, const session_key& key)
{
    auto* program = find_program(partition, key.m_program);
    if (program == nullptr)
        return nullptr;
    const auto found = program->m_sessions.find(key.m_session);
    return found == program->m_sessions.end() ? nullptr : &found->second;
}

call_row* find_call(core_state& state, const call_id& id)
{
    const auto found = state.m_calls.find(id);
    return found == state.m_calls.end() ? nullptr : &found->second;
}

policy_facts facts_of(core_state& state, const call_row& call)
{
    const auto& key = call.m_request.m_session;
    policy_facts facts;
    facts.m_workspace = key.m_program.m_workspace;
    facts.m_program = key.m_program.m_program;
    facts.m_session = key.m_session;
    facts.m_upstream = call.m_request.m_upstream;
    facts.m_sub_agent = key.m_program.m_program != key.m_program.m_root;
    facts.m_repeatable = call.m_request.m_repeatable;
    auto& partition = state.m_partitions[call.m_partition];
    if (const auto* root = find_root(partition, key.m_program))
    {
        facts.m_turns = root->m_turn_count;
        facts.m_spent = root->m_spent;
    }
    const auto workspace =
        state.m_deployment.m_workspaces.find(facts.m_workspace);
    if (workspace != state.m_deployment.m_workspaces.end())
        facts.m_workspace_budget = workspace->second.m_budget_tokens;
    return facts;
}

void trace(core_state& state, const call_id& call, std::string text)
{
    const auto [found, inserted] = state.m_traces.try_emplace(call);
    found->second.push_back({state.m_now, std::move(text)});
    if (!inserted)
        return;
    state.m_trace_order.push_back(call);
    if (state.m_trace_order.size() <= max_traces)
        return;
    state.m_traces.erase(state.m_trace_order.front());
    state.m_trace_order.pop_front();
}

void log_decision(command_list& out, const char* event,
                  std::vector<std::pair<const char*, std::string>> fields)
{
    out.emplace_back(log_line{event, std::move(fields)});
}

std::string format_seconds(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4f", value);
    return text.data();
}

} // namespace detail
} // namespace pepperturn
