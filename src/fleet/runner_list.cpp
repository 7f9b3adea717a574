// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/runner_list.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

void update_runners(runner_list& runners, const cluster_state& state,
                    const std::vector<std::string>& moved,
                    const state_decoders& decoders)
{
    std::uint64_t newest = 0;
    std::size_t draining = 0;
    for (const auto& name : moved)
    {
        const auto* row = find_runner(state.m_runners, name);
        if (row == nullptr)
        {
            // Gone, and forgotten since.
            runners.erase(name);
            continue;
        }
        newest = std::max(newest, row->m_revision);
        std::string reason;
        auto info = row->m_gone
                        ? std::nullopt
                        : decoders.m_runner(row->m_name, row->m_text, reason);
        if (!row->m_gone && !info)
            LOG(ERROR) << "event=runner_unreadable runner=" << row->m_name
                       << " reason=\"" << reason << '"';
        if (!info)
        {
            runners.erase(name);
            continue;
        }
        draining += info->m_draining ? 1 : 0;
        runners.insert_or_assign(name, std::move(*info));
    }
    LOG(INFO) << "event=runners_taken revision=" << newest
              << " runners=" << runners.size() << " moved=" << moved.size()
              << " moved_draining=" << draining;
}

} // namespace pepperturn
