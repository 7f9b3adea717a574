// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/update_sources.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pepperturn {

namespace {

/// Between one VM in the order and the next: more than a beat, so that the
/// next one sees that somebody has begun.
constexpr milliseconds takeover_step{700};
/// Several times what a list takes to a small VM; then the others are heard
/// as well.
constexpr milliseconds first_list_patience{1500};
/// A VM that starts hears of the world from the storage VMs; each question
/// to the store is priced.
constexpr milliseconds seed_patience{700};
/// The watchers of a large fleet read thousands of runners first, and their
/// word passes two steps: several times what that takes.
constexpr milliseconds large_fleet_patience{4000};
/// Those further back wait no longer than this, since the first ones may all
/// be gone.
constexpr std::size_t most_steps = 4;

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
    // Place within the zone first, so that the zones take turns.
    std::vector<std::tuple<std::size_t, std::string, std::string>> places;
    for (auto& [zone, rows] : zones)
    {
        std::sort(rows.begin(), rows.end());
        for (std::size_t place = 0; place < rows.size(); ++place)
            places.emplace_back(place, zone, rows[place].second);
    }
    std::sort(places.begin(), places.end());
    std::vector<std::string> out;
    out.reserve(places.size());
    for (auto& [place, zone, name] : places)
        out.push_back(std::move(name));
    return out;
}

std::vector<std::string> storage_sources(const std::vector<member>& members,
                                         const std::string& self,
                                         std::size_t most_direct)
{
    const auto order = watch_order(members);
    const auto direct = std::min(order.size(), watch_candidates);
    std::vector<std::string> watchers(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(direct));
    const auto own =
        std::find_if(members.begin(), members.end(),
                     [&](const member& row) { return row.m_name == self; });
    if (members.size() <= most_direct || own == members.end())
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
    const auto tells = [&](const std::vector<std::string>& names) {
        return std::find(names.begin(), names.end(), self) != names.end();
    };
    return tells(watchers) || tells(relays) ? watchers : relays;
}

bool should_watch(const watch_facts& facts)
{
    const auto position = facts.m_position.value_or(SIZE_MAX);
    if (position < watcher_count)
        return true;
    if (facts.m_fresh_watchers >= min_watchers)
        return false;
    const auto steps = std::min(position - watcher_count + 1, most_steps);
    return facts.m_too_few_for >= steps * takeover_step;
}

milliseconds store_read_delay(bool large_fleet, bool hears_storage)
{
    return large_fleet && hears_storage ? large_fleet_patience : seed_patience;
}

std::size_t target_source_count(const subscriber_facts& facts)
{
    const bool alone = facts.m_large_fleet && !facts.m_received_full_state &&
                       facts.m_since_start < first_list_patience;
    return alone ? 1 : source_count;
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
    for (auto& [far, draw, name] : ranked)
        out.push_back(std::move(name));
    return out;
}

} // namespace pepperturn
