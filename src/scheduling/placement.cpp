// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// How much less loaded a runner of another zone must be, as a share of its
/// slots: one request at a runner with few slots outweighs the cost of traffic
/// between zones.
constexpr double other_zone_load = 0.1;
/// The round trip to another region takes as long as a short call, and its
/// traffic costs several times that between zones.
constexpr double other_region_load = 0.5;
/// How much more loaded the runner with the cached prefix may be. Prefilling
/// the prefix again costs more than a few other calls in the batch.
constexpr double cached_prompt_load = 0.35;
/// Value of a kept-alive connection, as load: less than one request at a
/// runner with a few slots, more than chance, so that each VM keeps using some
/// of the runners.
constexpr double connection_load = 0.08;
/// A runner counts as this much more loaded for each multiple of the usual
/// time to first byte beyond the margin; smoothed over some requests, the work
/// of single ones differs by less than the margin.
constexpr double slow_load = 0.2;
constexpr double slow_margin = 1.4;
/// A runner that fails every request ranks like one with twice its slots
/// occupied; one that fails a few percent stays in use.
constexpr double error_load = 2.0;
/// Prefilling a shared part costs less than prefilling a whole conversation,
/// and as much as one more call in a batch of six.
constexpr double shared_part_load = 0.17;
/// A cold runner is used once the others have half of their slots occupied: it
/// can serve few calls, and each needs a grant.
constexpr double cold_load = 0.5;
/// More than any other cost: deprioritised runners come last, but remain
/// candidates.
constexpr double deprioritised_load = 100.0;

} // namespace

double runner_cost(const runner_candidate& candidate)
{
    double cost = candidate.m_load;
    if (candidate.m_other_zone)
        cost += other_zone_load;
    if (candidate.m_other_region)
        cost += other_region_load;
    if (candidate.m_connected)
        cost -= connection_load;
    if (candidate.m_has_cached_prompt)
        cost -= cached_prompt_load + other_zone_load;
    cost += slow_load * std::max(candidate.m_slowness - slow_margin, 0.0);
    cost += error_load * candidate.m_error_rate;
    if (candidate.m_has_shared_part)
        cost -= shared_part_load;
    if (candidate.m_cold)
        cost += cold_load;
    if (candidate.m_deprioritised)
        cost += deprioritised_load;
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
