// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/cold_runner_limit.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Windows are counted in steps of a quarter second. One second, extended by
/// the age of a grant and by the rounding of slots, lies within five of them.
constexpr std::int64_t steps_in_second = 5;
constexpr double steps_in_limit_span = 20;
/// Share of the bound that may be granted at once.
constexpr double share_at_once = 0.3;
/// Separates the hashes of runners from those of workspace names.
constexpr std::uint64_t cold_salt = 0x636f6c64;

} // namespace

request_limit cold_runner_limit(const cold_runner_bound& bound)
{
    const double max_per_s =
        std::max(bound.m_per_s * bound.m_excess + bound.m_slack, 0.0);
    const double at_rate = (1 - share_at_once) * max_per_s;
    const double span_s =
        to_seconds(limit_span) * steps_in_second / steps_in_limit_span;
    return {at_rate / span_s, share_at_once * max_per_s};
}

quota_request cold_runner_request(std::uint64_t incarnation,
                                  const cold_runner_bound& bound)
{
    quota_request out;
    out.m_workspace = hash_combine(incarnation, cold_salt);
    out.m_limit = cold_runner_limit(bound);
    out.m_exact = true;
    return out;
}

} // namespace pepperturn
