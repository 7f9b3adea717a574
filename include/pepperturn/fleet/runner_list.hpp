// SPDX-License-Identifier: BSL-1.0
/// \file
/// The runners of the fleet, decoded from what is known of the world.
#pragma once

#include "pepperturn/fleet/state_source.hpp"

#include <map>

namespace pepperturn {

/// By id.
using runner_list = std::map<std::string, runner_info>;

/// Decodes the entries that moved; what cannot be read counts as gone. The work
/// goes with what moved, however many runners there are.
/// \param moved ids of entries that are new, changed or gone
[[nodiscard]] std::vector<runner_change>
decode_runners(const cluster_state& state,
               const std::vector<std::string>& moved,
               const state_decoders& decoders);

void apply_changes(runner_list& runners,
                   const std::vector<runner_change>& changes);

} // namespace pepperturn
