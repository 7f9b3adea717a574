// SPDX-License-Identifier: BSL-1.0
/// \file
/// The runners of the fleet, decoded from the cluster state.
#pragma once

#include "pepperturn/fleet/state_source.hpp"

#include <functional>
#include <map>

namespace pepperturn {

/// By id.
using runner_list = std::map<std::string, runner_info>;

/// Decodes changed entries; one that cannot be decoded is treated as removed.
/// The cost depends on the number of changes, not of runners. They are passed
/// on in batches: a list of all runners is never held in decoded form beside
/// the tables that it goes to.
/// \param moved ids of entries that were added, changed or removed
/// \param apply takes each batch
void decode_runners(
    const cluster_state& state, const std::vector<std::string>& moved,
    const state_decoders& decoders,
    const std::function<void(const std::vector<runner_change>&)>& apply);

void apply_changes(runner_list& runners,
                   const std::vector<runner_change>& changes);

} // namespace pepperturn
