// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/runner_table.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Weight of a new latency in the smoothed one.
constexpr double latency_weight = 0.15;
/// Cap on the ratio that one response adds, so that an outlier counts little.
constexpr double max_slowness = 8.0;
/// Weight of a new latency in the route's average: some dozens of responses.
constexpr double average_weight = 0.03;
/// Weight of one result in the error rate: four failures in a row dominate it.
constexpr double result_weight = 0.25;
/// Time in which the error rate decays to about a third.
constexpr double error_rate_decay_s = 5.0;
/// Back-off after a failure, doubled for each further one in a row.
constexpr milliseconds initial_backoff{300};
constexpr std::uint32_t max_doublings = 4;
/// Back-off after a runner has reported that it is full.
constexpr milliseconds full_backoff{40};

double decayed_error_rate(const runner_row& row, instant now)
{
    if (row.m_error_rate == 0)
        return 0;
    return row.m_error_rate *
           std::exp(-to_seconds(now - row.m_error_rate_time) /
                    error_rate_decay_s);
}

/// Appends the runners that follow \p count points derived from \p key.
template <class Ring>
void append_from_ring(const Ring& ring, std::uint64_t key, std::size_t count,
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
        // Statistics from before a restart do not apply to the new process.
        if (known &&
            row.m_info.m_started_at_ms != change.m_info->m_started_at_ms)
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
    row.m_incarnation_hash = hash64(row.m_incarnation);
    row.m_cold_until = info.m_cold_remaining > milliseconds(0)
                           ? now + info.m_cold_remaining
                           : instant{};
    auto& service = m_by_service[info.m_service];
    service.m_zones[info.m_availability_zone][row.m_incarnation_hash] = &row;
}

void runner_table::remove(const runner_row& row)
{
    auto& service = m_by_service[row.m_info.m_service];
    auto& zone = service.m_zones[row.m_info.m_availability_zone];
    zone.erase(row.m_incarnation_hash);
}

void runner_table::evacuate(const std::vector<std::string>& zones)
{
    m_evacuated = {zones.begin(), zones.end()};
}

std::size_t runner_table::count_of(const std::string& service) const
{
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? 0 : found->second.size();
}

std::vector<runner_row> runner_table::sample(const std::string& service,
                                             std::size_t most,
                                             std::uint64_t seed) const
{
    std::vector<runner_row> out;
    const auto found = m_by_service.find(service);
    if (found == m_by_service.end())
        return out;
    const auto& zones = found->second.m_zones;
    most = std::min(most, found->second.size());
    // Round by round, so that each zone gives as many as the others.
    for (std::size_t round = 0; out.size() < most; ++round)
    {
        for (const auto& [name, runners] : zones)
        {
            if (round >= runners.size() || out.size() == most)
                continue;
            const auto first = runners.lower_bound(seed) - runners.begin();
            const auto index =
                (static_cast<std::size_t>(first) + round) % runners.size();
            out.push_back(
                *(runners.begin() + static_cast<std::ptrdiff_t>(index))
                     ->second);
        }
    }
    return out;
}

std::size_t runner_table::usable_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_rows.begin(), m_rows.end(), [this](const auto& row) {
            return is_usable(row.second);
        }));
}

bool runner_table::is_usable(const runner_row& row) const
{
    return !row.m_info.m_draining &&
           !m_evacuated.contains(row.m_info.m_availability_zone);
}

bool runner_table::is_eligible(const runner_row& row,
                               const runner_query& query) const
{
    const auto& info = row.m_info;
    return is_usable(row) && !query.m_excluded.contains(info.m_id) &&
           (!query.m_regions || query.m_regions->contains(region_of(
                                    m_zones, info.m_availability_zone)));
}

runner_row* runner_table::find_row(const std::string& id)
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
    return find_incarnation_hash(hash64(incarnation));
}

const runner_row* runner_table::find_incarnation_hash(std::uint64_t hash) const
{
    for (const auto& [name, service] : m_by_service)
    {
        for (const auto& [zone, ring] : service.m_zones)
        {
            const auto found = ring.find(hash);
            if (found != ring.end())
                return found->second;
        }
    }
    return nullptr;
}

std::size_t runner_table::service_rows::size() const
{
    std::size_t out = 0;
    for (const auto& [zone, ring] : m_zones)
        out += ring.size();
    return out;
}

runner_table::row_list
runner_table::runners_for_prefix(const service_rows& rows,
                                 const runner_query& query) const
{
    row_list out;
    const auto local_zone = rows.m_zones.find(query.m_availability_zone);
    if (query.m_shared_prefix != 0 && local_zone != rows.m_zones.end())
        append_from_ring(local_zone->second, query.m_shared_prefix,
                         runners_per_prefix, out);
    return out;
}

runner_table::row_list
runner_table::select_candidates(const service_rows& rows,
                                const runner_query& query) const
{
    row_list out;
    const auto local_zone = rows.m_zones.find(query.m_availability_zone);
    if (local_zone != rows.m_zones.end())
    {
        append_from_ring(local_zone->second, m_seed, max_candidates, out);
    }
    if (const auto* cached = find_incarnation(query.m_preferred_incarnation))
    {
        if (cached->m_info.m_service == query.m_service)
            out.push_back(cached);
    }
    const auto none_eligible = [&] {
        return std::none_of(out.begin(), out.end(), [&](const runner_row* row) {
            return is_eligible(*row, query);
        });
    };
    // The zone may have no runners, be evacuated, or all may have refused.
    for (const auto wanted :
         {zone_distance::same_region, zone_distance::other_region})
    {
        for (const auto& [zone, ring] : rows.m_zones)
        {
            if (distance_between(m_zones, zone, query.m_availability_zone) ==
                    wanted &&
                none_eligible())
                append_from_ring(ring, m_seed, max_candidates, out);
        }
    }
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

runner_candidate runner_table::make_candidate(const runner_row& row,
                                              const runner_query& query,
                                              instant now) const
{
    const auto& id = row.m_info.m_id;
    runner_candidate out;
    out.m_load = static_cast<double>(row.m_in_flight) / row.m_info.m_slots;
    const auto distance = distance_between(
        m_zones, row.m_info.m_availability_zone, query.m_availability_zone);
    out.m_other_zone = distance != zone_distance::same_zone;
    out.m_other_region = distance == zone_distance::other_region;
    out.m_connected = query.m_connected && query.m_connected(id);
    out.m_has_cached_prompt =
        row.m_incarnation == query.m_preferred_incarnation;
    out.m_slowness = row.m_slowness;
    out.m_error_rate = decayed_error_rate(row, now);
    out.m_deprioritised = row.m_backoff_until > now;
    out.m_cold = row.m_cold_until > now;
    out.m_random_tiebreak = hash64(id, query.m_random_tiebreak);
    return out;
}

const runner_row* runner_table::choose_among(const row_list& rows,
                                             const row_list& prefix_runners,
                                             const runner_query& query,
                                             instant now) const
{
    row_list eligible;
    std::vector<runner_candidate> candidates;
    for (const auto* row : rows)
    {
        if (!is_eligible(*row, query) ||
            (query.m_warm_only && row->m_cold_until > now))
            continue;
        eligible.push_back(row);
        candidates.push_back(make_candidate(*row, query, now));
        candidates.back().m_has_shared_part =
            std::find(prefix_runners.begin(), prefix_runners.end(), row) !=
            prefix_runners.end();
    }
    const auto best = select_runner(candidates);
    return best ? eligible[*best] : nullptr;
}

const runner_row* runner_table::choose(const runner_query& query, instant now,
                                       std::size_t* compared) const
{
    const auto listed = m_by_service.find(query.m_service);
    if (listed == m_by_service.end())
        return nullptr;
    const auto& service = listed->second;
    row_list rows;
    row_list prefix_runners;
    const bool few = service.size() <= max_candidates;
    if (!few)
    {
        prefix_runners = runners_for_prefix(service, query);
        rows = select_candidates(service, query);
        rows.insert(rows.end(), prefix_runners.begin(), prefix_runners.end());
    }
    const auto* best = choose_among(rows, prefix_runners, query, now);
    if (compared != nullptr)
        *compared += rows.size();
    if (best != nullptr)
        return best;
    rows.clear();
    for (const auto& [zone, ring] : service.m_zones)
    {
        for (const auto& [hash, row] : ring)
            rows.push_back(row);
    }
    if (compared != nullptr)
        *compared += rows.size();
    return choose_among(rows, prefix_runners, query, now);
}

void runner_table::record_request_start(const std::string& id)
{
    if (auto* row = find_row(id))
        ++row->m_in_flight;
}

void runner_table::record_request_end(const std::string& id)
{
    auto* row = find_row(id);
    if (row != nullptr && row->m_in_flight > 0)
        --row->m_in_flight;
}

void runner_table::record_first_byte(const std::string& id,
                                     const std::string& route,
                                     milliseconds latency)
{
    auto* row = find_row(id);
    if (row == nullptr)
        return;
    row->m_consecutive_failures = 0;
    // Latencies are whole milliseconds: shorter ones are treated as one.
    const auto value = std::max(1.0, static_cast<double>(latency.count()));
    const auto [average, is_first] =
        m_average_first_byte_ms.try_emplace(route, value);
    if (!is_first)
        average->second += average_weight * (value - average->second);
    const auto slowness = std::min(value / average->second, max_slowness);
    row->m_slowness += latency_weight * (slowness - row->m_slowness);
}

milliseconds runner_table::average_first_byte(const std::string& route) const
{
    const auto found = m_average_first_byte_ms.find(route);
    return milliseconds(found == m_average_first_byte_ms.end()
                            ? 0
                            : static_cast<std::int64_t>(found->second));
}

void runner_table::record_alive(const std::string& id, instant now)
{
    if (auto* row = find_row(id))
        row->m_last_alive = now;
}

void runner_table::record_failure(const std::string& id, instant now)
{
    auto* row = find_row(id);
    if (row == nullptr)
        return;
    const auto doublings = std::min(row->m_consecutive_failures, max_doublings);
    row->m_backoff_until = now + initial_backoff * (1U << doublings);
    ++row->m_consecutive_failures;
    row->m_last_failed = now;
}

void runner_table::record_result(const std::string& id, bool good, instant now)
{
    auto* row = find_row(id);
    if (row == nullptr)
        return;
    const double before = decayed_error_rate(*row, now);
    row->m_error_rate = before + result_weight * ((good ? 0.0 : 1.0) - before);
    row->m_error_rate_time = now;
}

void runner_table::record_full(const std::string& id, instant now)
{
    if (auto* row = find_row(id))
        row->m_backoff_until =
            std::max(row->m_backoff_until, now + full_backoff);
}

} // namespace pepperturn
