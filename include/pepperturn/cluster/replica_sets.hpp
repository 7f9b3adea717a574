// SPDX-License-Identifier: BSL-1.0
/// \file
/// How storage VMs are divided into replica sets, and which set stores a
/// program.
///
/// Load pattern: a single set of all storage VMs would write each turn to a
/// majority of them and wait for as many replies to each begin, so that bytes
/// and work grow with the square of the fleet (19 copies of a turn on 36 VMs,
/// where 3 tolerate the loss of two disks). With sets of a fixed size both are
/// constant per turn.
///
/// The number of sets is fixed when the fleet is bootstrapped; the members of
/// each set change by the rules of membership.hpp.
#pragma once

#include "pepperturn/cluster/view.hpp"

#include <optional>

namespace pepperturn {

/// Number of sets for \p vms storage VMs: as many as have enough members each
/// to tolerate \p disk_losses and still have a majority.
[[nodiscard]] std::uint32_t set_count_for(std::size_t vms,
                                          std::uint32_t disk_losses);

/// The set that stores what hashes to \p hash.
[[nodiscard]] std::uint32_t set_of(std::uint64_t hash, std::uint32_t set_count);

/// The initial views of a fleet. Nothing has been acknowledged yet, so every
/// member is full at once. The members of a set are spread over the
/// availability zones.
[[nodiscard]] std::vector<cluster_view>
initial_views(std::vector<member> vms, std::uint32_t disk_losses);

/// The view of the set that \p vm is a member of; null: none.
[[nodiscard]] const cluster_view*
find_replica_set(const std::vector<cluster_view>& views, const std::string& vm);

/// Members of all sets.
[[nodiscard]] std::vector<member>
members_of(const std::vector<cluster_view>& views);

/// The set that a storage VM outside all sets should join: the one with the
/// fewest reachable members that take writes, since a member that is gone
/// counts in its view for some time, and among these the one with the fewest in
/// the VM's zone. Empty: all sets are as large as is useful or out of reach,
/// and the VM stands by.
[[nodiscard]] std::optional<std::uint32_t>
set_to_join(const std::vector<cluster_view>& views, const member& self,
            std::uint32_t disk_losses,
            const std::function<bool(const std::string&)>& is_reachable);

} // namespace pepperturn
