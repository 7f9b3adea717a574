// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/cold_allowance.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Windows are counted in steps of a quarter second: a second, with what a
/// grant may be late and slots are rounded by, lies in five of them.
constexpr std::int64_t steps_in_second = 5;
constexpr double steps_in_limit_span = 20;
/// Of the bound, what may come at once.
constexpr double share_at_once = 0.3;
/// Tells runners from workspaces, whose names are hashed as well.
constexpr std::uint64_t cold_salt = 0x636f6c64;

} // namespace

request_limit cold_runner_limit(const cold_runner_bound& bound)
{
    const double most =
        std::max(bound.m_per_s * bound.m_excess + bound.m_slack, 0.0);
    const double at_rate = (1 - share_at_once) * most;
    const double span_s =
        to_seconds(limit_span) * steps_in_second / steps_in_limit_span;
    return {at_rate / span_s, share_at_once * most};
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
