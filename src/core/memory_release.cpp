// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

constexpr milliseconds scan_interval{50};
constexpr std::size_t slice_size = 64;

void release_program(core_state& state, partition_row& partition,
                     const program_key& key, program_row& row,
                     command_list& out)
{
    const auto retry = state.m_deployment.m_limits.m_release_retry;
    const auto holders = row.m_holders;
    for (const auto& name : holders)
    {
        const auto due = row.m_release_due.find(name);
        if (due != row.m_release_due.end() && state.m_now < due->second)
            continue;
        const auto runner = state.m_runners.find(name);
        if (runner == state.m_runners.end())
        {
            // The runner is no longer configured; its memory is freed with it.
            append_record(
                state, partition,
                {released_record{key, name}, commit_action::none, {}, {}, {}});
            continue;
        }
        row.m_release_due[name] = state.m_now + retry;
        out.emplace_back(release_memory{name, runner->second.m_info.m_address,
                                        key, partition.m_epoch});
    }
}

} // namespace

void run_memory_release(core_state& state, command_list& out)
{
    if (state.m_releasing.empty() || state.m_now < state.m_next_release)
        return;
    state.m_next_release = state.m_now + scan_interval;
    // Each scan handles one slice: while a runner is down for long, scans must
    // not go through all programs that have ended since.
    std::vector<std::pair<std::uint32_t, program_key>> slice;
    auto next = state.m_releasing.upper_bound(state.m_release_cursor);
    const auto count = std::min(state.m_releasing.size(), slice_size);
    while (slice.size() < count)
    {
        if (next == state.m_releasing.end())
            next = state.m_releasing.begin();
        slice.push_back(*next++);
    }
    state.m_release_cursor = slice.back();
    for (const auto& [id, key] : slice)
    {
        auto& partition = state.m_partitions[id];
        if (partition.m_role != partition_role::owner)
            continue;
        auto* row = find_program(partition, key);
        if (row == nullptr)
            state.m_releasing.erase({id, key});
        else
            release_program(state, partition, key, *row, out);
    }
}

void on_release_completed(core_state& state, const release_completed& answered)
{
    if (!answered.m_acknowledged)
        return;
    const auto id = partition_of(
        answered.m_key, static_cast<std::uint32_t>(state.m_partitions.size()));
    auto& partition = state.m_partitions[id];
    const auto* row = find_program(partition, answered.m_key);
    const bool held = partition.m_role == partition_role::owner &&
                      row != nullptr &&
                      row->m_holders.contains(answered.m_runner);
    if (!held)
        return;
    append_record(state, partition,
                  {released_record{answered.m_key, answered.m_runner},
                   commit_action::none,
                   {},
                   {},
                   {}});
}

} // namespace pepperturn::detail
