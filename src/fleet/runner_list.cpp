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
    for (const auto& row : state.m_runners)
    {
        newest = std::max(newest, row.m_revision);
        if (std::find(moved.begin(), moved.end(), row.m_name) == moved.end())
            continue;
        std::string reason;
        auto info = row.m_gone
                        ? std::nullopt
                        : decoders.m_runner(row.m_name, row.m_text, reason);
        if (!row.m_gone && !info)
            LOG(ERROR) << "event=runner_unreadable runner=" << row.m_name
                       << " reason=\"" << reason << '"';
        runners.erase(row.m_name);
        if (info)
            runners.emplace(row.m_name, std::move(*info));
    }
    const auto draining =
        std::count_if(runners.begin(), runners.end(), [](const auto& entry) {
            return entry.second.m_draining;
        });
    LOG(INFO) << "event=runners_taken revision=" << newest
              << " runners=" << runners.size() << " draining=" << draining
              << " moved=" << moved.size();
}

} // namespace pepperturn
