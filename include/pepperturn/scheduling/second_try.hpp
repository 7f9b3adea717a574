// SPDX-License-Identifier: BSL-1.0
/// \file
/// When a call that may be repeated is tried at a second runner.
///
/// Load pattern: short calls to plain services of which a few in a thousand
/// hang, at a runner whose answers get lost or that stands still, while all
/// others are done within milliseconds. Waiting for a multiple of the route's
/// objective costs such a call many times its work. So the wait follows what
/// answers on the route really take. The first try is cut as the second is
/// sent, and second tries have a budget: when all runners are slow, more
/// tries would only feed the overload.
#pragma once

#include "pepperturn/base/time.hpp"

#include <array>
#include <optional>

namespace pepperturn {

/// How long first bytes have taken lately, in classes; older ones fade.
struct response_times
{
    /// Each class reaches a fifth further than the one before; the last one
    /// begins above a minute.
    static constexpr std::size_t buckets = 64;

    std::array<double, buckets> m_weights{};
    double m_sum = 0;

    friend bool operator==(const response_times&,
                           const response_times&) = default;
};

[[nodiscard]] response_times add_response_time(response_times times,
                                               milliseconds took);

/// The time within which \p share of the answers came, to a fifth; zero:
/// nothing is known.
[[nodiscard]] milliseconds response_time_quantile(const response_times& times,
                                                  double share);

/// The wait for a first byte after which a second runner is tried; empty: too
/// little is known of the route.
[[nodiscard]] std::optional<milliseconds>
retry_timeout(const response_times& times);

/// Second tries that calls have earned.
struct retry_budget
{
    double m_retries = 0;

    friend bool operator==(const retry_budget&, const retry_budget&) = default;
};

/// A call has been sent for the first time.
[[nodiscard]] retry_budget earn_retry(retry_budget budget);
[[nodiscard]] bool retry_allowed(const retry_budget& budget);
[[nodiscard]] retry_budget spend_retry(retry_budget budget);
/// A try that was set aside was not needed.
[[nodiscard]] retry_budget refund_retry(retry_budget budget);

} // namespace pepperturn
