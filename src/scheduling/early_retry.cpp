// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/early_retry.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Ratio between the upper bounds of adjacent buckets.
constexpr double bucket_ratio = 1.2;
/// Decay of a sample's weight with each further one: about a hundred samples
/// count, a few seconds of a busy route.
constexpr double decay = 0.99;
/// Sum of weights from which the histogram is used.
constexpr double min_weight = 20;

/// Nearly all calls complete within this quantile; a call that takes twice as
/// long hangs.
constexpr double timeout_quantile = 0.97;
constexpr int timeout_factor = 2;
/// The median is steadier where a VM sees few calls; the work of calls varies
/// by this factor.
constexpr int median_factor = 4;
/// Shorter waits are within the scheduling delay of a busy VM or runner.
constexpr milliseconds min_timeout{20};

/// Retries earned per call: four in a hundred.
constexpr double retries_per_call = 0.04;
/// Retries that can be saved for the moment in which a runner hangs with all
/// its calls.
constexpr double max_retries = 4;

std::size_t bucket_of(milliseconds response_time)
{
    const auto value =
        std::max(1.0, static_cast<double>(response_time.count()));
    const auto index = std::ceil(std::log(value) / std::log(bucket_ratio));
    return std::min(response_times::buckets - 1,
                    static_cast<std::size_t>(index));
}

} // namespace

response_times add_response_time(response_times times,
                                 milliseconds response_time)
{
    for (auto& weight : times.m_weights)
        weight *= decay;
    times.m_weights.at(bucket_of(response_time)) += 1;
    times.m_sum = times.m_sum * decay + 1;
    return times;
}

milliseconds response_time_quantile(const response_times& times, double share)
{
    if (times.m_sum <= 0)
        return milliseconds(0);
    double left = share * times.m_sum;
    std::size_t index = 0;
    while (index + 1 < response_times::buckets &&
           left > times.m_weights.at(index))
        left -= times.m_weights.at(index++);
    return milliseconds(static_cast<std::int64_t>(
        std::ceil(std::pow(bucket_ratio, static_cast<double>(index)))));
}

std::optional<milliseconds> retry_timeout(const response_times& times)
{
    if (times.m_sum < min_weight)
        return std::nullopt;
    constexpr double half = 0.5;
    return std::max(
        {min_timeout,
         timeout_factor * response_time_quantile(times, timeout_quantile),
         median_factor * response_time_quantile(times, half)});
}

retry_budget earn_retry(retry_budget budget)
{
    budget.m_retries =
        std::min(max_retries, budget.m_retries + retries_per_call);
    return budget;
}

bool retry_allowed(const retry_budget& budget)
{
    return budget.m_retries >= 1;
}

retry_budget spend_retry(retry_budget budget)
{
    budget.m_retries -= 1;
    return budget;
}

retry_budget refund_retry(retry_budget budget)
{
    budget.m_retries = std::min(max_retries, budget.m_retries + 1);
    return budget;
}

} // namespace pepperturn
