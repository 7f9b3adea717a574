// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/runner_list.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Runners that are decoded at once: some tens of kilobytes.
constexpr std::size_t batch_rows = 256;

} // namespace

void decode_runners(
    const cluster_state& state, const std::vector<std::string>& moved,
    const state_decoders& decoders,
    const std::function<void(const std::vector<runner_change>&)>& apply)
{
    std::vector<runner_change> batch;
    batch.reserve(std::min(moved.size(), batch_rows));
    std::uint64_t newest = 0;
    std::size_t draining = 0;
    std::size_t removed = 0;
    for (const auto& name : moved)
    {
        runner_change change{name, std::nullopt};
        const auto* row = find_runner(state.m_runners, name);
        if (row != nullptr)
            newest = std::max(newest, row->m_revision);
        if (row != nullptr && !row->m_removed)
        {
            std::string reason;
            change.m_info = decoders.m_runner(name, row->m_text, reason);
            if (!change.m_info)
                LOG(ERROR) << "event=runner_unreadable runner=" << name
                           << " reason=\"" << reason << '"';
        }
        draining += change.m_info && change.m_info->m_draining ? 1 : 0;
        removed += change.m_info ? 0 : 1;
        batch.push_back(std::move(change));
        if (batch.size() < batch_rows)
            continue;
        apply(batch);
        batch.clear();
    }
    if (!batch.empty())
        apply(batch);
    LOG(INFO) << "event=runners_taken revision=" << newest
              << " known=" << state.m_runners.size()
              << " moved=" << moved.size() << " draining=" << draining
              << " gone=" << removed;
}

void apply_changes(runner_list& runners,
                   const std::vector<runner_change>& changes)
{
    for (const auto& change : changes)
    {
        if (change.m_info)
            runners.insert_or_assign(change.m_id, *change.m_info);
        else
            runners.erase(change.m_id);
    }
}

} // namespace pepperturn
