// SPDX-License-Identifier: BSL-1.0
/// \file
/// What a runner bears while it is cold, as a limit that storage VMs count.
///
/// Load pattern: a zone that comes back with all its runners cold, or a release
/// that replaces many at once. Each VM by itself sends a cold runner next to
/// nothing; all of them together send it what a warm one bears, and it falls
/// over. A cold runner is therefore counted as a workspace is, by one owner,
/// and nobody sends it a call without leave. A lost owner costs the use of the
/// cold runners that it counts, which others' runners make good.
#pragma once

#include "pepperturn/tenancy/limiter.hpp"

namespace pepperturn {

/// The operator's bound for one second.
struct cold_runner_bound
{
    /// Requests a second that a cold runner bears; 0: any number.
    double m_per_s = 0;
    /// Factor and addend by which the bound may be passed.
    double m_excess = 1;
    double m_slack = 0;

    friend bool operator==(const cold_runner_bound&,
                           const cold_runner_bound&) = default;
};

/// A limit by which no second holds more than \p bound allows, if each grant is
/// used within \ref longest_cold_use.
[[nodiscard]] request_limit cold_runner_limit(const cold_runner_bound& bound);

/// A grant that was not used by then is void: calls that were granted apart
/// would arrive together.
constexpr milliseconds max_cold_grant_age{150};

/// Asks for leave to send one call to a cold runner.
/// \param incarnation of the runner
[[nodiscard]] quota_request cold_runner_request(std::uint64_t incarnation,
                                                const cold_runner_bound& bound);

} // namespace pepperturn
