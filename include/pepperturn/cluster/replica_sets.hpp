// SPDX-License-Identifier: BSL-1.0
/// \file
/// How storage VMs are divided into replica sets, and which set keeps a
/// program.
///
/// Load pattern: one set of all storage VMs writes each turn to a majority of
/// them and has each begin answered by as many, so that bytes and work grow
/// with the square of the fleet (19 copies of a turn on 36 VMs where 3 bear the
/// loss of two disks). Sets of a fixed size keep both per turn constant.
///
/// The number of sets is drawn when the fleet is founded and never changes;
/// the members of each set change by the rules of membership.hpp.
#pragma once

#include "pepperturn/cluster/view.hpp"

#include <optional>

namespace pepperturn {

/// Sets for \p vms storage VMs: as many as have enough members each to bear
/// \p disk_losses and still hold a majority.
[[nodiscard]] std::uint32_t set_count_for(std::size_t vms,
                                          std::uint32_t disk_losses);

/// The set that keeps what hashes to \p hash.
[[nodiscard]] std::uint32_t set_of(std::uint64_t hash, std::uint32_t set_count);

/// First views of a fleet. Nothing has been acknowledged yet, so that every
/// member is full at once. Members of a set lie in as many availability zones
/// as there are.
[[nodiscard]] std::vector<cluster_view>
initial_views(std::vector<member> vms, std::uint32_t disk_losses);

/// The set that \p vm is a member of; null: none.
[[nodiscard]] const cluster_view*
find_replica_set(const std::vector<cluster_view>& views, const std::string& vm);

/// Members of all sets.
[[nodiscard]] std::vector<member>
members_of(const std::vector<cluster_view>& views);

/// The set that a storage VM outside all sets should join: the one with the
/// fewest members that count, and with the fewest in the VM's zone among
/// these. Empty: each has as many as are of use, and the VM stands by.
[[nodiscard]] std::optional<std::uint32_t>
set_to_join(const std::vector<cluster_view>& views, const member& self,
            std::uint32_t disk_losses);

} // namespace pepperturn
