// SPDX-License-Identifier: BSL-1.0
/// \file
/// Who watches the platform's store, and from whom each VM hears the world.
///
/// Load pattern: hundreds of VMs, each of which needs every change of the
/// configuration and of the runners. If every storage VM watches and tells
/// everybody, calls to the store grow with the storage VMs and messages with
/// the product of both kinds (10,000 a change on 295 VMs). Here a few watch,
/// the other storage VMs hear of it from these, and an edge VM hears it from
/// the nearest storage VMs.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/cluster/view.hpp"

#include <functional>
#include <optional>

namespace pepperturn {

/// Storage VMs that watch the store: two may be lost at the same moment
/// without a pause in the news.
constexpr std::size_t watcher_count = 3;
/// Storage VMs that all others are connected to: the watchers, and whoever is
/// next.
constexpr std::size_t watch_candidates = 4;
/// Storage VMs from which one VM hears the world: all hold the same, and two
/// may be lost at the same moment.
constexpr std::size_t source_count = 3;

/// Names of the storage VMs, in the order in which they take up watching:
/// spread over the zones, lost ones left out.
[[nodiscard]] std::vector<std::string>
watch_order(const std::vector<member>& members);

/// Storage VMs of each zone that hear the world from the watchers, where the
/// others hear it from them.
constexpr std::size_t relays_per_zone = 3;

/// The storage VMs that a storage VM hears the world from. Up to
/// \p most_direct of them all hear it from the watchers. Beyond, a few of each
/// zone do, and the others of the zone hear it from these: the watchers tell
/// no more VMs than there are zones for, and each list crosses a zone's edge
/// as often however many VMs it has.
[[nodiscard]] std::vector<std::string>
storage_sources(const std::vector<member>& members, const std::string& self,
                std::size_t most_direct);

/// What a storage VM knows when it decides whether to watch.
struct watch_facts
{
    /// Place in the watch order; empty: it is in no replica set.
    std::optional<std::size_t> m_position;
    /// Candidates before it that say that they watch and hear the store.
    std::size_t m_fresh_watchers = 0;
    /// For how long there have been too few of them.
    milliseconds m_too_few_for{0};

    friend bool operator==(const watch_facts&, const watch_facts&) = default;
};

/// Fewer watchers than this are too few.
constexpr std::size_t min_watchers = 2;

[[nodiscard]] bool should_watch(const watch_facts& facts);

/// What an edge VM knows when it decides how many sources to hear.
struct subscriber_facts
{
    /// The fleet is so large that a list of its runners takes long to read.
    bool m_large_fleet = false;
    /// Some source has told all that it knows.
    bool m_received_full_state = false;
    milliseconds m_since_start{0};

    friend bool operator==(const subscriber_facts&,
                           const subscriber_facts&) = default;
};

/// In a large fleet the first source is heard alone for a moment: the others
/// then need only tell what came later, and the first list comes sooner on a
/// small share of a core and of a link.
[[nodiscard]] std::size_t target_source_count(const subscriber_facts& facts);

/// How long an edge VM that starts waits for word of the platform's store
/// before it asks the store itself. Where there are thousands of runners, all
/// edge VMs that start at once would otherwise read each of them, on small
/// shares of a core, and hear nothing else meanwhile.
/// \param hears_storage some storage VM is heard
[[nodiscard]] milliseconds store_read_delay(bool large_fleet,
                                            bool hears_storage);

/// The storage VMs that \p self should hear the world from: those of its own
/// zone first, each VM in an order of its own.
/// \param usable whether a VM is connected
[[nodiscard]] std::vector<std::string>
choose_sources(const std::vector<member>& members, const std::string& self,
               const std::string& availability_zone,
               const std::function<bool(const std::string&)>& usable,
               const zone_map& zones = {});

} // namespace pepperturn
