// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_latency.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Milliseconds per token outside of which a report is treated as wrong.
constexpr double min_token_ms = 1e-4;
constexpr double max_token_ms = 1000;
/// Smallest and largest step of a quantile, as a share of its value.
constexpr double min_step = 0.02;
constexpr double max_step = 0.5;
/// Weight of a sample in the settled long-term estimate: the last dozen calls
/// make up most of it.
constexpr double long_term_weight = 0.08;
/// Samples further away, as logarithms, are clamped to this distance: a call
/// that hung does not mark a good engine as slow for long.
constexpr double long_term_clamp = 0.4;
/// Weight of a sample in the recent estimate.
constexpr double recent_weight = 0.6;
/// Logarithm of the slowdown over the long-term estimate beyond which a call
/// was slow.
constexpr double slow_margin = 0.4;
/// Seconds in which the recent estimate decays by a factor of e. Each
/// consecutive slow call adds as much, up to the limit: an engine that stays
/// slow is not tried again at every moment.
constexpr double recent_decay_s = 0.4;
constexpr std::uint32_t max_decay_steps = 6;
/// Seconds after which the long-term estimate of an unused engine begins to
/// decay towards the typical one, and the time constant: old estimates are
/// tested again now and then.
constexpr double idle_s = 3;
constexpr double idle_decay_s = 10;
/// Weight of a sample in the error rate, and the seconds in which it decays by
/// a factor of e.
constexpr double error_weight = 0.3;
constexpr double error_decay_s = 2;

double seconds_since(instant then, instant now)
{
    return std::max(to_seconds(now - then), 0.0);
}

double current_recent(const token_latency& latency, instant now)
{
    const double decay_steps =
        1 + std::min(latency.m_consecutive_slow, max_decay_steps);
    return latency.m_recent * std::exp(-seconds_since(latency.m_last, now) /
                                       (decay_steps * recent_decay_s));
}

} // namespace

running_quantile add_value(running_quantile tracked, double value,
                           double quantile)
{
    if (!std::isfinite(value) || value <= 0)
        return tracked;
    ++tracked.m_samples;
    if (tracked.m_samples == 1)
    {
        tracked.m_value = value;
        return tracked;
    }
    const double step = std::clamp(1.0 / tracked.m_samples, min_step, max_step);
    const double target =
        value > tracked.m_value
            ? tracked.m_value * (1 + 2 * step * quantile)
            : tracked.m_value * (1 - 2 * step * (1 - quantile));
    // Does not move past the sample itself.
    tracked.m_value = value > tracked.m_value ? std::min(target, value)
                                              : std::max(target, value);
    return tracked;
}

token_latency add_token_time(token_latency latency, double token_ms,
                             instant now)
{
    // Also rejects NaN, which compares false.
    if (!(token_ms >= min_token_ms && token_ms <= max_token_ms))
        return latency;
    const double sample = std::log(token_ms);
    const double recent = current_recent(latency, now);
    ++latency.m_samples;
    latency.m_last = std::max(latency.m_last, now);
    if (latency.m_samples == 1)
    {
        latency.m_long_term = sample;
        return latency;
    }
    const double deviation = sample - latency.m_long_term;
    const double weight = std::max(1.0 / static_cast<double>(latency.m_samples),
                                   long_term_weight);
    latency.m_long_term +=
        weight * std::clamp(deviation, -long_term_clamp, long_term_clamp);
    latency.m_recent = recent + recent_weight * (deviation - recent);
    latency.m_consecutive_slow =
        deviation > slow_margin
            ? std::min(latency.m_consecutive_slow + 1, max_decay_steps)
            : 0;
    return latency;
}

double current_token_ms(const token_latency& latency, double usual_ms,
                        instant now)
{
    if (latency.m_samples == 0)
        return usual_ms;
    const double idle = seconds_since(latency.m_last, now) - idle_s;
    const double retained = idle > 0 ? std::exp(-idle / idle_decay_s) : 1;
    const double usual = std::log(usual_ms);
    return std::exp(usual + retained * (latency.m_long_term - usual) +
                    current_recent(latency, now));
}

engine_error_rate add_outcome(engine_error_rate error_rate, bool failed,
                              instant now)
{
    error_rate.m_rate = current_error_rate(error_rate, now);
    error_rate.m_rate += error_weight * ((failed ? 1 : 0) - error_rate.m_rate);
    error_rate.m_last = std::max(error_rate.m_last, now);
    return error_rate;
}

double current_error_rate(const engine_error_rate& error_rate, instant now)
{
    return error_rate.m_rate *
           std::exp(-seconds_since(error_rate.m_last, now) / error_decay_s);
}

} // namespace pepperturn
