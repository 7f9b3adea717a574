// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/update_sources.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pepperturn {

namespace {

/// Delay between one VM of the watch order and the next: more than a heartbeat
/// interval, so that the next VM sees that the previous one has taken over.
constexpr milliseconds takeover_step{700};
/// A starting VM receives the cluster state from storage VMs; each read of the
/// platform's store costs money.
constexpr milliseconds default_read_delay{700};
/// The watchers of a large fleet first read thousands of runners, and their
/// updates pass two hops: several times what that takes.
constexpr milliseconds large_fleet_read_delay{4000};
/// VMs further back in the order wait no longer than this many steps, since all
/// earlier ones may have failed.
constexpr std::size_t max_takeover_steps = 4;

} // namespace

std::vector<std::string> watch_order(const std::vector<member>& members)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, std::string>>>
        zones;
    for (const auto& row : members)
    {
        if (row.m_state != member_state::lost)
            zones[row.m_availability_zone].emplace_back(hash64(row.m_name),
                                                        row.m_name);
    }
    // Sorted by position within the zone first, so that zones alternate.
    std::vector<std::tuple<std::size_t, std::string, std::string>> positions;
    for (auto& [zone, rows] : zones)
    {
        std::sort(rows.begin(), rows.end());
        for (std::size_t zone_position = 0; zone_position < rows.size();
             ++zone_position)
            positions.emplace_back(zone_position, zone,
                                   rows[zone_position].second);
    }
    std::sort(positions.begin(), positions.end());
    std::vector<std::string> out;
    out.reserve(positions.size());
    for (auto& [zone_position, zone, name] : positions)
        out.push_back(std::move(name));
    return out;
}

std::vector<std::string> storage_sources(const std::vector<member>& members,
                                         const std::string& self,
                                         std::size_t max_direct)
{
    const auto order = watch_order(members);
    const auto direct = std::min(order.size(), watch_candidates);
    std::vector<std::string> watchers(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(direct));
    const auto own =
        std::find_if(members.begin(), members.end(),
                     [&](const member& row) { return row.m_name == self; });
    if (members.size() <= max_direct || own == members.end())
        return watchers;
    std::map<std::string, std::string> zones;
    for (const auto& row : members)
        zones[row.m_name] = row.m_availability_zone;
    std::vector<std::string> relays;
    for (const auto& name : order)
    {
        if (relays.size() < relays_per_zone &&
            zones[name] == own->m_availability_zone)
            relays.push_back(name);
    }
    const auto includes_self = [&](const std::vector<std::string>& names) {
        return std::find(names.begin(), names.end(), self) != names.end();
    };
    return includes_self(watchers) || includes_self(relays) ? watchers : relays;
}

bool should_watch(const watch_facts& facts)
{
    const auto position = facts.m_position.value_or(SIZE_MAX);
    if (position < watcher_count)
        return true;
    if (facts.m_fresh_watchers >= min_watchers)
        return false;
    const auto steps =
        std::min(position - watcher_count + 1, max_takeover_steps);
    return facts.m_too_few_for >= steps * takeover_step;
}

milliseconds store_read_delay(bool large_fleet, bool storage_reachable)
{
    return large_fleet && storage_reachable ? large_fleet_read_delay
                                            : default_read_delay;
}

std::size_t target_source_count(const subscriber_facts& facts)
{
    const bool single_source = facts.m_large_fleet &&
                               !facts.m_received_full_state &&
                               facts.m_since_progress < list_progress_timeout;
    return single_source ? 1 : source_count;
}

std::vector<std::string>
choose_sources(const std::vector<member>& members, const std::string& self,
               const std::string& availability_zone,
               const std::function<bool(const std::string&)>& usable,
               const zone_map& zones)
{
    std::vector<std::tuple<zone_distance, std::uint64_t, std::string>> ranked;
    for (const auto& row : members)
    {
        if (row.m_name != self && usable(row.m_name))
            ranked.emplace_back(distance_between(zones, row.m_availability_zone,
                                                 availability_zone),
                                hash64(row.m_name, hash64(self)), row.m_name);
    }
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), source_count));
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto& [distance, hash, name] : ranked)
        out.push_back(std::move(name));
    return out;
}

} // namespace pepperturn
