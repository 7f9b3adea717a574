// SPDX-License-Identifier: BSL-1.0
/// \file
/// Request limit of a cold runner, counted by storage VMs over the whole fleet.
///
/// Load pattern: an availability zone that returns with all its runners cold,
/// or a release that replaces many runners at once. Each VM alone sends a cold
/// runner very few calls, but all VMs together send it as many as a warm runner
/// can serve, and it fails. A cold runner is therefore counted like a
/// workspace, by a single owner, and no VM sends it a call without a grant. If
/// an owner is lost, the cold runners that it counts receive no calls; other
/// runners serve them.
#pragma once

#include "pepperturn/tenancy/limiter.hpp"

namespace pepperturn {

/// Requests that a cold runner may receive within any second.
struct cold_runner_bound
{
    /// Requests per second that a cold runner can serve; 0: unlimited.
    double m_per_s = 0;
    /// The rate may be exceeded up to m_per_s * m_excess + m_slack requests.
    double m_excess = 1;
    double m_slack = 0;

    friend bool operator==(const cold_runner_bound&,
                           const cold_runner_bound&) = default;
};

/// Returns a limit under which no second exceeds \p bound, provided that each
/// grant is used within \ref max_cold_grant_age.
[[nodiscard]] request_limit cold_runner_limit(const cold_runner_bound& bound);

/// Grants that are unused for longer than this are void. Otherwise, calls that
/// were granted at different times could arrive together.
constexpr milliseconds max_cold_grant_age{150};

/// Builds the request for a grant to send one call to a cold runner.
/// \param incarnation of the runner
[[nodiscard]] quota_request cold_runner_request(std::uint64_t incarnation,
                                                const cold_runner_bound& bound);

} // namespace pepperturn
