// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"

#include "pepperturn/core/systems.hpp"

namespace pepperturn {

namespace {

void dispatch(core_state& state, const call_submitted& input, command_list& out)
{
    detail::on_call_submitted(state, input, out);
}
void dispatch(core_state& state, const call_reported& input, command_list& out)
{
    detail::on_call_reported(state, input.m_report, out);
}
void dispatch(core_state& state, const caller_disconnected& input,
              command_list& out)
{
    detail::on_caller_disconnected(state, input.m_call, out);
}
void dispatch(core_state& state, const program_end_requested& input,
              command_list& out)
{
    detail::on_program_end(state, input, out);
}
void dispatch(core_state& state, const resolve_requested& input,
              command_list& out)
{
    detail::on_resolve(state, input, out);
}
void dispatch(core_state& state, const entry_write_completed& input,
              command_list& out)
{
    detail::on_entry_write_completed(state, input, out);
}
void dispatch(core_state& state, const log_read_completed& input,
              command_list& out)
{
    detail::on_log_read_completed(state, input, out);
}
void dispatch(core_state& state, const snapshot_write_completed& input,
              command_list& out)
{
    detail::on_snapshot_write_completed(state, input, out);
}
void dispatch(core_state& state, const load_reported& input, command_list&)
{
    detail::on_load_reported(state, input);
}
void dispatch(core_state& state, const cache_evicted& input, command_list&)
{
    detail::on_cache_evicted(state, input);
}
void dispatch(core_state& state, const cache_gap& input, command_list&)
{
    detail::on_cache_gap(state, input);
}
void dispatch(core_state& state, const release_completed& input, command_list&)
{
    detail::on_release_completed(state, input);
}
void dispatch(core_state& state, const vms_listed& input, command_list&)
{
    detail::on_vms_listed(state, input);
}
void dispatch(core_state& state, const heartbeat& input, command_list& out)
{
    detail::on_heartbeat(state, input, out);
}
void dispatch(core_state& state, const stop_requested&, command_list&)
{
    state.m_stopping = true;
}

} // namespace

scheduler::scheduler(std::string self, std::uint64_t incarnation,
                     std::uint32_t partitions, const clock& time,
                     std::uint64_t seed)
    : m_clock(time)
{
    m_state.m_self = std::move(self);
    m_state.m_incarnation = incarnation;
    m_state.m_started = time.now();
    m_state.m_now = m_state.m_started;
    m_state.m_write_refill = m_state.m_started;
    m_state.m_last_tick = m_state.m_started;
    m_state.m_random.seed(seed);
    m_state.m_policy = default_policy();
    m_state.m_partitions.resize(partitions);
    for (std::uint32_t id = 0; id < partitions; ++id)
        m_state.m_partitions[id].m_id = id;
    m_state.m_write_tokens = m_state.m_deployment.m_limits.m_write_burst;
}

void scheduler::handle(const event& input)
{
    m_state.m_now = m_clock.now();
    if (const auto* changed = std::get_if<deployment_changed>(&input))
    {
        apply_deployment(changed->m_deployment);
        return;
    }
    std::visit(
        [this](const auto& value) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(value)>,
                                          deployment_changed>)
                dispatch(m_state, value, m_out);
        },
        input);
}

command_list scheduler::tick()
{
    m_state.m_now = m_clock.now();
    detail::detect_pause(m_state, m_out);
    detail::run_deadlines(m_state, m_out);
    detail::run_slow_scan(m_state, m_out);
    detail::run_ownership(m_state, m_out);
    detail::run_routing(m_state, m_out);
    detail::run_memory_release(m_state, m_out);
    detail::run_log_writer(m_state, m_out);
    command_list out;
    out.swap(m_out);
    return out;
}

void scheduler::set_policy(policy replacement)
{
    m_state.m_policy = std::move(replacement);
}

heartbeat scheduler::make_heartbeat() const
{
    heartbeat beat;
    beat.m_vm = m_state.m_self;
    beat.m_incarnation = m_state.m_incarnation;
    beat.m_config_revision = m_state.m_deployment.m_revision;
    beat.m_leaving = m_state.m_stopping;
    beat.m_store_down = m_state.m_store_down;
    for (const auto& partition : m_state.m_partitions)
    {
        if (partition.m_role == partition_role::owner ||
            partition.m_role == partition_role::handing_off)
            beat.m_owned.push_back({partition.m_id, partition.m_epoch});
    }
    return beat;
}

bool scheduler::handed_over() const
{
    if (!m_state.m_stopping)
        return false;
    for (const auto& partition : m_state.m_partitions)
    {
        if (partition.m_role != partition_role::idle)
            return false;
    }
    return true;
}

void scheduler::apply_deployment(const deployment& next)
{
    // An older revision never replaces a newer one.
    if (next.m_revision < m_state.m_deployment.m_revision)
        return;
    m_state.m_deployment = next;
    m_state.m_runners_by_upstream.clear();
    std::erase_if(m_state.m_runners, [&](const auto& entry) {
        return !next.m_runners.contains(entry.first) &&
               entry.second.m_in_flight == 0;
    });
    for (auto& [name, row] : m_state.m_runners)
        row.m_info.m_leaving = true;
    for (const auto& [name, info] : next.m_runners)
    {
        auto& row = m_state.m_runners[name];
        row.m_info = info;
        m_state.m_runners_by_upstream[info.m_upstream].push_back(name);
    }
    for (const auto& [name, info] : next.m_upstreams)
        m_state.m_runners_by_upstream[name];
    detail::log_decision(
        m_out, "config_in_force",
        {{"revision", std::to_string(next.m_revision)},
         {"runners", std::to_string(next.m_runners.size())},
         {"workspaces", std::to_string(next.m_workspaces.size())}});
}

} // namespace pepperturn
