// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Share of its slots that another zone's runner must be less loaded by:
/// one request of a few-slot runner outweighs the bytes between zones.
constexpr double other_zone_load = 0.1;
/// The way to another region and back takes as long as a short call, and its
/// bytes cost several times those between zones.
constexpr double other_region_load = 0.5;
/// How much busier the runner with the cached prefix may be. Reading the
/// prefix anew costs more than a few neighbours in the batch do.
constexpr double prompt_load = 0.35;
/// Worth of a kept connection, as load: less than one request in a slot of
/// a few, more than chance, so that each VM stays with some of the runners.
constexpr double open_connection_load = 0.08;
/// A runner counts as this much more loaded for each time that it is slower
/// than usual; the work of single requests differs by less than the margin
/// once some of them are smoothed.
constexpr double slow_load = 0.2;
constexpr double slow_margin = 1.4;
/// A runner that fails every request is as bad as one with its slots taken
/// twice over; one that fails a few in a hundred stays in use.
constexpr double trouble_load = 2.0;
/// Reading a shared part anew costs less than reading a whole conversation, and
/// as much as one call more in a batch of six.
constexpr double shared_part_load = 0.17;
/// A cold runner is used once the others have half of their slots taken: it
/// bears few calls, and each asks for leave.
constexpr double cold_load = 0.5;
/// More than any other cost: avoided ones come last, but they come.
constexpr double avoided_load = 100.0;

} // namespace

double runner_cost(const runner_candidate& row)
{
    double cost = row.m_load;
    if (row.m_other_zone)
        cost += other_zone_load;
    if (row.m_other_region)
        cost += other_region_load;
    if (row.m_connected)
        cost -= open_connection_load;
    if (row.m_has_cached_prompt)
        cost -= prompt_load + other_zone_load;
    cost += slow_load * std::max(row.m_slowness - slow_margin, 0.0);
    cost += trouble_load * row.m_error_rate;
    if (row.m_has_shared_part)
        cost -= shared_part_load;
    if (row.m_cold)
        cost += cold_load;
    if (row.m_deprioritised)
        cost += avoided_load;
    return cost;
}

std::optional<std::size_t>
select_runner(const std::vector<runner_candidate>& candidates)
{
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        const double cost = runner_cost(candidates[i]);
        if (best &&
            (cost > best_cost ||
             (cost == best_cost && candidates[i].m_random_tiebreak >=
                                       candidates[*best].m_random_tiebreak)))
            continue;
        best = i;
        best_cost = cost;
    }
    return best;
}

} // namespace pepperturn
