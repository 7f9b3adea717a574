// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/runner_table.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Weight of a new latency in the smoothed one.
constexpr double latency_weight = 0.15;
/// One answer says no more than this of a runner.
constexpr double most_slowness = 8.0;
/// Weight of a new latency in what is usual on its route: of some dozens.
constexpr double usual_weight = 0.03;
/// Weight of one result in the share that went wrong: four in a row count.
constexpr double result_weight = 0.25;
/// The share fades to a third in this time, in seconds.
constexpr double trouble_memory_s = 5.0;
constexpr milliseconds first_avoidance{300};
constexpr std::uint32_t most_doublings = 4;
constexpr milliseconds full_avoidance{40};

double faded_trouble(const runner_row& row, instant now)
{
    if (row.m_trouble == 0)
        return 0;
    return row.m_trouble *
           std::exp(-to_seconds(now - row.m_trouble_at) / trouble_memory_s);
}

/// Adds the runners that follow \p count points drawn by \p key.
void take_from_ring(const std::map<std::uint64_t, const runner_row*>& ring,
                    std::uint64_t key, std::size_t count,
                    std::vector<const runner_row*>& out)
{
    for (std::size_t i = 0; i < count && !ring.empty(); ++i)
    {
        auto at = ring.lower_bound(hash_combine(key, i));
        out.push_back(at == ring.end() ? ring.begin()->second : at->second);
    }
}

} // namespace

std::vector<std::string>
runner_table::update(const std::vector<runner_change>& changes, instant now)
{
    std::vector<std::string> restarted;
    for (const auto& change : changes)
    {
        const auto found = m_rows.find(change.m_id);
        const bool known = found != m_rows.end();
        if (known)
            remove(found->second);
        if (!change.m_info)
        {
            if (known)
                m_rows.erase(found);
            continue;
        }
        auto& row = m_rows[change.m_id];
        // What was seen of an earlier life says nothing of this one.
        if (known && row.m_info.m_born != change.m_info->m_born)
        {
            restarted.push_back(change.m_id);
            row = {};
        }
        add(*change.m_info, row, now);
    }
    return restarted;
}

std::vector<std::string>
runner_table::replace(const std::vector<runner_info>& runners, instant now)
{
    std::vector<runner_change> changes;
    std::set<std::string> listed;
    for (const auto& info : runners)
    {
        changes.push_back({info.m_id, info});
        listed.insert(info.m_id);
    }
    for (const auto& [id, row] : m_rows)
    {
        if (!listed.contains(id))
            changes.push_back({id, std::nullopt});
    }
    return update(changes, now);
}

void runner_table::add(const runner_info& info, runner_row& row, instant now)
{
    row.m_info = info;
    row.m_incarnation = incarnation_of(info);
    row.m_hash = hash64(row.m_incarnation);
    row.m_cold_until =
        info.m_cold_left > milliseconds(0) ? now + info.m_cold_left : instant{};
    m_by_hash[row.m_hash] = &row;
    auto& service = m_by_service[info.m_service];
    service.m_all[row.m_hash] = &row;
    service.m_zones[info.m_availability_zone][row.m_hash] = &row;
}

void runner_table::remove(const runner_row& row)
{
    m_by_hash.erase(row.m_hash);
    auto& service = m_by_service[row.m_info.m_service];
    service.m_all.erase(row.m_hash);
    auto& zone = service.m_zones[row.m_info.m_availability_zone];
    zone.erase(row.m_hash);
}

void runner_table::evacuate(const std::vector<std::string>& zones)
{
    m_evacuated = {zones.begin(), zones.end()};
}

bool runner_table::usable(const runner_row& row) const
{
    return !row.m_info.m_draining &&
           !m_evacuated.contains(row.m_info.m_availability_zone);
}

bool runner_table::may_use(const runner_row& row,
                           const runner_choice& choice) const
{
    const auto& info = row.m_info;
    return usable(row) && !choice.m_excluded.contains(info.m_id) &&
           (!choice.m_regions || choice.m_regions->contains(region_of(
                                     m_zones, info.m_availability_zone)));
}

runner_row* runner_table::locate(const std::string& id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const runner_row* runner_table::find(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const runner_row*
runner_table::find_incarnation(const std::string& incarnation) const
{
    return find_hashed(hash64(incarnation));
}

const runner_row* runner_table::find_hashed(std::uint64_t hash) const
{
    const auto found = m_by_hash.find(hash);
    return found == m_by_hash.end() ? nullptr : found->second;
}

runner_table::row_list
runner_table::homes_of_part(const service_rows& rows,
                            const runner_choice& choice) const
{
    row_list out;
    const auto near = rows.m_zones.find(choice.m_availability_zone);
    if (choice.m_shared_part != 0 && near != rows.m_zones.end())
        take_from_ring(near->second, choice.m_shared_part, runners_for_part,
                       out);
    return out;
}

runner_table::row_list runner_table::gather(const service_rows& rows,
                                            const runner_choice& choice) const
{
    row_list out;
    const auto near = rows.m_zones.find(choice.m_availability_zone);
    if (near != rows.m_zones.end())
    {
        take_from_ring(near->second, m_seed, most_candidates, out);
    }
    if (const auto* kept = find_incarnation(choice.m_preferred))
    {
        if (kept->m_info.m_service == choice.m_service)
            out.push_back(kept);
    }
    const auto none = [&] {
        return std::none_of(out.begin(), out.end(), [&](const runner_row* row) {
            return may_use(*row, choice);
        });
    };
    // A zone may be empty, emptied, or its few runners may all have refused.
    for (const auto& [zone, ring] : rows.m_zones)
    {
        if (distance_between(m_zones, zone, choice.m_availability_zone) ==
                zone_distance::same_region &&
            none())
            take_from_ring(ring, m_seed, most_candidates, out);
    }
    if (none())
        take_from_ring(rows.m_all, m_seed, most_candidates, out);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

placement_candidate runner_table::candidate_of(const runner_row& row,
                                               const runner_choice& choice,
                                               instant now) const
{
    const auto& id = row.m_info.m_id;
    placement_candidate out;
    out.m_load = static_cast<double>(row.m_in_flight) / row.m_info.m_slots;
    const auto distance = distance_between(
        m_zones, row.m_info.m_availability_zone, choice.m_availability_zone);
    out.m_other_zone = distance != zone_distance::same_zone;
    out.m_other_region = distance == zone_distance::other_region;
    out.m_connected = choice.m_connected && choice.m_connected(id);
    out.m_has_prompt = row.m_incarnation == choice.m_preferred;
    out.m_slowness = row.m_slowness;
    out.m_trouble = faded_trouble(row, now);
    out.m_avoided = row.m_avoid_until > now;
    out.m_cold = row.m_cold_until > now;
    out.m_draw = hash64(id, choice.m_draw);
    return out;
}

const runner_row* runner_table::choose_among(const row_list& rows,
                                             const row_list& homes,
                                             const runner_choice& choice,
                                             instant now) const
{
    row_list used;
    std::vector<placement_candidate> candidates;
    for (const auto* row : rows)
    {
        if (!may_use(*row, choice) ||
            (choice.m_warm_only && row->m_cold_until > now))
            continue;
        used.push_back(row);
        candidates.push_back(candidate_of(*row, choice, now));
        candidates.back().m_shares_part =
            std::find(homes.begin(), homes.end(), row) != homes.end();
    }
    const auto best = choose_placement(candidates);
    return best ? used[*best] : nullptr;
}

const runner_row* runner_table::choose(const runner_choice& choice, instant now,
                                       std::size_t* weighed) const
{
    const auto listed = m_by_service.find(choice.m_service);
    if (listed == m_by_service.end())
        return nullptr;
    const auto& service = listed->second;
    row_list rows;
    row_list homes;
    const bool few = service.m_all.size() <= most_candidates;
    if (!few)
    {
        homes = homes_of_part(service, choice);
        rows = gather(service, choice);
        rows.insert(rows.end(), homes.begin(), homes.end());
    }
    const auto* best = choose_among(rows, homes, choice, now);
    if (weighed != nullptr)
        *weighed += rows.size();
    if (best != nullptr)
        return best;
    rows.clear();
    for (const auto& [hash, row] : service.m_all)
        rows.push_back(row);
    if (weighed != nullptr)
        *weighed += rows.size();
    return choose_among(rows, homes, choice, now);
}

void runner_table::note_sent(const std::string& id)
{
    if (auto* row = locate(id))
        ++row->m_in_flight;
}

void runner_table::note_ended(const std::string& id)
{
    auto* row = locate(id);
    if (row != nullptr && row->m_in_flight > 0)
        --row->m_in_flight;
}

void runner_table::note_first_byte(const std::string& id,
                                   const std::string& route,
                                   milliseconds latency)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    row->m_failures = 0;
    // Below a millisecond the clock says nothing.
    const auto value = std::max(1.0, static_cast<double>(latency.count()));
    const auto [usual, is_first] = m_usual_ms.try_emplace(route, value);
    if (!is_first)
        usual->second += usual_weight * (value - usual->second);
    const auto slowness = std::min(value / usual->second, most_slowness);
    row->m_slowness += latency_weight * (slowness - row->m_slowness);
}

milliseconds runner_table::usual_first_byte(const std::string& route) const
{
    const auto found = m_usual_ms.find(route);
    return milliseconds(found == m_usual_ms.end()
                            ? 0
                            : static_cast<std::int64_t>(found->second));
}

void runner_table::note_failure(const std::string& id, instant now)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    const auto doublings = std::min(row->m_failures, most_doublings);
    row->m_avoid_until = now + first_avoidance * (1U << doublings);
    ++row->m_failures;
}

void runner_table::note_result(const std::string& id, bool good, instant now)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    const double before = faded_trouble(*row, now);
    row->m_trouble = before + result_weight * ((good ? 0.0 : 1.0) - before);
    row->m_trouble_at = now;
}

void runner_table::note_full(const std::string& id, instant now)
{
    if (auto* row = locate(id))
        row->m_avoid_until = std::max(row->m_avoid_until, now + full_avoidance);
}

} // namespace pepperturn
