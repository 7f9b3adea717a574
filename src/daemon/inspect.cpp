// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/inspect.hpp"

#include "pepperturn/core/systems.hpp"

#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

std::int64_t age_ms(const core_state& state, instant when)
{
    return std::chrono::duration_cast<milliseconds>(state.m_now - when).count();
}

json unknown_calls(const program_row& row)
{
    json out = json::array();
    for (const auto& [name, session] : row.m_sessions)
    {
        for (const auto& [seq, turn] : session.m_turns)
        {
            // A dangling call may still be reported; nobody need resolve it.
            if (!turn.m_dangling && turn.m_answer.m_outcome == outcome::unknown)
                out.push_back({{"call", turn.m_call},
                               {"session", name},
                               {"seq", seq},
                               {"repeatable", turn.m_repeatable}});
        }
    }
    return out;
}

json programs(const core_state& state)
{
    json out = json::array();
    for (const auto& partition : state.m_partitions)
    {
        if (partition.m_role != partition_role::owner)
            continue;
        for (const auto& [key, row] : partition.m_programs)
        {
            json sessions = json::array();
            for (const auto& [name, session] : row.m_sessions)
                sessions.push_back(
                    {{"session", name},
                     {"next_seq", session.m_next_seq},
                     {"history_tokens", session.m_history_tokens},
                     {"last_runner", session.m_last_runner}});
            out.push_back({{"workspace", key.m_workspace},
                           {"program", key.m_program},
                           {"root", key.m_root},
                           {"partition", partition.m_id},
                           {"vm", state.m_self},
                           {"budget_tokens", row.m_budget},
                           {"spent_tokens", row.m_spent},
                           {"reserved_tokens", row.m_reserved},
                           {"turns", row.m_turn_count},
                           {"live_calls", row.m_live_calls},
                           {"ended", row.m_ended},
                           {"holders", row.m_holders},
                           {"unknown_calls", unknown_calls(row)},
                           {"sessions", sessions}});
        }
    }
    return out;
}

json runners(const core_state& state)
{
    json out = json::array();
    for (const auto& [name, row] : state.m_runners)
    {
        out.push_back(
            {{"runner", name},
             {"vm", state.m_self},
             {"upstream", row.m_info.m_upstream},
             {"availability_zone", row.m_info.m_availability_zone},
             {"address", row.m_info.m_address},
             {"reachable", row.m_reachable},
             {"leaving", row.m_info.m_leaving || row.m_listed_leaving},
             {"in_flight_from_here", row.m_in_flight},
             {"reported_running", row.m_load.m_running},
             {"reported_queued", row.m_load.m_queued},
             {"report_age_ms",
              age_ms(state, row.m_load_at) + row.m_load.m_age.count()}});
    }
    return out;
}

json vms(const core_state& state)
{
    json out = json::array();
    for (const auto& [id, row] : state.m_vms)
    {
        json owned = json::array();
        for (const auto& hint : row.m_heartbeat.m_owned)
            owned.push_back(hint.m_partition);
        out.push_back(
            {{"vm", id},
             {"address", row.m_info.m_address},
             {"availability_zone", row.m_info.m_availability_zone},
             {"alive", detail::vm_alive(state, id)},
             {"leaving", row.m_info.m_leaving || row.m_heartbeat.m_leaving},
             {"store_down", row.m_heartbeat.m_store_down},
             {"config_revision", row.m_heartbeat.m_config_revision},
             {"partitions", owned},
             {"heard_ms_ago",
              row.m_last_received ? age_ms(state, *row.m_last_received) : -1}});
    }
    return out;
}

json partitions(const core_state& state)
{
    json out = json::array();
    for (const auto& row : state.m_partitions)
    {
        if (row.m_role == partition_role::idle)
            continue;
        out.push_back({{"partition", row.m_id},
                       {"vm", state.m_self},
                       {"role", to_string(row.m_role)},
                       {"epoch", row.m_epoch},
                       {"next_seq", row.m_next_seq},
                       {"snapshot_covers", row.m_covered},
                       {"pending_records", row.m_pending.size()},
                       {"pending_bytes", row.m_pending_bytes},
                       {"programs", row.m_programs.size()}});
    }
    return out;
}

json calls(const core_state& state)
{
    json out = json::array();
    for (const auto& [id, row] : state.m_calls)
    {
        const auto& key = row.m_request.m_session;
        out.push_back({{"call", id},
                       {"vm", state.m_self},
                       {"workspace", key.m_program.m_workspace},
                       {"program", key.m_program.m_program},
                       {"session", key.m_session},
                       {"seq", row.m_seq},
                       {"state", to_string(row.m_state)},
                       {"upstream", row.m_request.m_upstream},
                       {"runner", row.m_runner},
                       {"class", row.m_class},
                       {"attempt", row.m_attempt},
                       {"age_ms", age_ms(state, row.m_arrived)}});
    }
    return out;
}

json explain(const core_state& state, const std::string& call)
{
    json out = json::array();
    const auto found = state.m_traces.find(call);
    if (found == state.m_traces.end())
        return out;
    const auto first = found->second.front().m_at;
    for (const auto& step : found->second)
    {
        out.push_back({{"call", call},
                       {"vm", state.m_self},
                       {"at_s", to_seconds(step.m_at - first)},
                       {"what", step.m_text}});
    }
    return out;
}

} // namespace

std::string inspect(const core_state& state, const std::string& verb,
                    const std::string& argument)
{
    json out = json::array();
    if (verb == "programs")
        out = programs(state);
    else if (verb == "runners")
        out = runners(state);
    else if (verb == "vms")
        out = vms(state);
    else if (verb == "partitions")
        out = partitions(state);
    else if (verb == "calls")
        out = calls(state);
    else if (verb == "explain")
        out = explain(state, argument);
    return out.dump();
}

std::string join_arrays(const std::vector<std::string>& parts)
{
    json out = json::array();
    for (const auto& part : parts)
    {
        const auto list = json::parse(part, nullptr, false);
        if (!list.is_array())
            continue;
        for (const auto& entry : list)
            out.push_back(entry);
    }
    return out.dump();
}

} // namespace pepperturn
