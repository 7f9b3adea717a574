// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which storage VMs watch the platform's store, and from which VMs each VM
/// receives cluster state updates.
///
/// Load pattern: hundreds of VMs, each of which needs every change of the
/// configuration and of the runners. If every storage VM watched the store and
/// sent updates to all VMs, calls to the store would grow with the number of
/// storage VMs and messages with the product of storage and edge VMs (10,000
/// per change on 295 VMs). Here a few storage VMs watch; the other storage VMs
/// receive updates from these, and an edge VM from the nearest storage VMs.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/cluster/view.hpp"

#include <functional>
#include <optional>

namespace pepperturn {

/// Number of storage VMs that watch the store: two may fail at the same moment
/// without a gap in the updates.
constexpr std::size_t watcher_count = 3;
/// Storage VMs that all others are connected to: the watchers and the next one
/// in the watch order.
constexpr std::size_t watch_candidates = 4;
/// Update sources of one VM: all send the same, and two may fail at the same
/// moment.
constexpr std::size_t source_count = 3;

/// Names of the storage VMs, in the order in which they take over watching:
/// alternating between zones, without lost members.
[[nodiscard]] std::vector<std::string>
watch_order(const std::vector<member>& members);

/// Storage VMs of each zone that receive updates from the watchers and pass
/// them on to the other storage VMs of the zone, in fleets where not all are
/// subscribed to the watchers.
constexpr std::size_t relays_per_zone = 3;

/// The update sources of a storage VM. Up to \p max_direct members all
/// subscribe to the watchers. Beyond that, a few VMs of each zone do, and the
/// others of the zone subscribe to these: the watchers serve a number of
/// subscribers that depends on the number of zones only, and each update
/// crosses a zone boundary equally often however many VMs the zone has.
[[nodiscard]] std::vector<std::string>
storage_sources(const std::vector<member>& members, const std::string& self,
                std::size_t max_direct);

/// What a storage VM knows when it decides whether to watch the store.
struct watch_facts
{
    /// Position in the watch order; empty: it is in no replica set.
    std::optional<std::size_t> m_position;
    /// Candidates earlier in the order that report that they watch and reach
    /// the store.
    std::size_t m_fresh_watchers = 0;
    /// How long there have been too few of them.
    milliseconds m_too_few_for{0};

    friend bool operator==(const watch_facts&, const watch_facts&) = default;
};

/// With fewer watchers than this, further candidates take over.
constexpr std::size_t min_watchers = 2;

[[nodiscard]] bool should_watch(const watch_facts& facts);

/// Several times what a part of a list of runners takes to a small VM over a
/// slow link; then the source is not waited for.
constexpr milliseconds list_progress_timeout{1500};

/// What an edge VM knows when it decides how many sources to subscribe to.
struct subscriber_facts
{
    /// The fleet is so large that its list of runners takes long to read.
    bool m_large_fleet = false;
    /// A source has sent its complete state.
    bool m_received_full_state = false;
    /// Since the start, or since a part of the state has arrived.
    milliseconds m_since_progress{0};

    friend bool operator==(const subscriber_facts&,
                           const subscriber_facts&) = default;
};

/// Number of sources to subscribe to. In a large fleet an edge VM subscribes to
/// one source first and adds the others shortly after: these then send only
/// later changes, and the first list arrives sooner on a VM with little CPU and
/// bandwidth.
[[nodiscard]] std::size_t target_source_count(const subscriber_facts& facts);

/// How long a starting edge VM waits for state from storage VMs before it reads
/// the platform's store itself. With thousands of runners all edge VMs that
/// start at once would otherwise read each of them, on small shares of a core,
/// and process nothing else meanwhile.
/// \param storage_reachable some storage VM is reachable
[[nodiscard]] milliseconds store_read_delay(bool large_fleet,
                                            bool storage_reachable);

/// The update sources of \p self: storage VMs of its own zone first, each VM in
/// an order of its own.
/// \param usable whether a VM is connected
[[nodiscard]] std::vector<std::string>
choose_sources(const std::vector<member>& members, const std::string& self,
               const std::string& availability_zone,
               const std::function<bool(const std::string&)>& usable,
               const zone_map& zones = {});

} // namespace pepperturn
