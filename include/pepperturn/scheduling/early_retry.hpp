// SPDX-License-Identifier: BSL-1.0
/// \file
/// Decides when a repeatable call is retried at a second runner.
///
/// Load pattern: short calls to plain services of which a few in a thousand
/// hang, at a runner whose responses are lost or that is stalled, while all
/// others complete within milliseconds. Waiting for a multiple of the route's
/// latency objective costs such a call many times its work, so the timeout
/// follows the measured response times of the route. The first attempt is
/// aborted when the second is sent, and retries have a budget: when all
/// runners are slow, more attempts would only add to the overload.
#pragma once

#include "pepperturn/base/time.hpp"

#include <array>
#include <optional>

namespace pepperturn {

/// Histogram of recent times to first byte; older samples decay.
struct response_times
{
    /// The upper bound of each bucket is a fifth above the one before; the
    /// last bucket begins above a minute.
    static constexpr std::size_t buckets = 64;

    std::array<double, buckets> m_weights{};
    double m_sum = 0;

    friend bool operator==(const response_times&,
                           const response_times&) = default;
};

[[nodiscard]] response_times add_response_time(response_times times,
                                               milliseconds response_time);

/// The time within which \p share of the responses arrived, to a fifth; zero:
/// no samples.
[[nodiscard]] milliseconds response_time_quantile(const response_times& times,
                                                  double share);

/// The time to wait for a first byte before a second runner is tried; empty:
/// too few samples of the route.
[[nodiscard]] std::optional<milliseconds>
retry_timeout(const response_times& times);

/// Retries that calls have earned.
struct retry_budget
{
    double m_retries = 0;

    friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

/// Credits the budget for a call's first attempt.
[[nodiscard]] retry_budget earn_retry(retry_budget budget);
[[nodiscard]] bool retry_allowed(const retry_budget& budget);
[[nodiscard]] retry_budget spend_retry(retry_budget budget);
/// Returns a retry that was reserved and not used.
[[nodiscard]] retry_budget refund_retry(retry_budget budget);

} // namespace pepperturn
