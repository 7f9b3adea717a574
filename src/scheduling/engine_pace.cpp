// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_pace.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Milliseconds per token outside of which a report is treated as wrong.
constexpr double least_token_ms = 1e-4;
constexpr double most_token_ms = 1000;
/// Smallest and largest step of a quantile, as a share of its value.
constexpr double least_step = 0.02;
constexpr double most_step = 0.5;
/// Weight of a sample in the settled long-term estimate: the last dozen calls
/// make up most of it.
constexpr double lasting_share = 0.08;
/// Samples further away, as logarithms, are clamped to this distance: a call
/// that hung does not mark a good engine as slow for long.
constexpr double lasting_reach = 0.4;
/// Weight of a sample in the recent estimate.
constexpr double lately_share = 0.6;
/// Logarithm of the slowdown over the long-term estimate beyond which a call
/// was slow.
constexpr double slow_margin = 0.4;
/// Seconds in which the recent estimate decays by a factor of e. Each
/// consecutive slow call adds as much, up to the limit: an engine that stays
/// slow is not tried again at every moment.
constexpr double fade_s = 0.4;
constexpr std::uint32_t most_fades = 6;
/// Seconds after which the long-term estimate of an unused engine begins to
/// decay towards the typical one, and the time constant: old estimates are
/// tested again now and then.
constexpr double idle_s = 3;
constexpr double forget_s = 10;
/// Weight of a sample in the error rate, and the seconds in which it decays by
/// a factor of e.
constexpr double trouble_share = 0.3;
constexpr double trouble_fade_s = 2;

double seconds_since(instant then, instant now)
{
    return std::max(to_seconds(now - then), 0.0);
}

double present_lately(const token_latency& pace, instant now)
{
    const double fades = 1 + std::min(pace.m_consecutive_slow, most_fades);
    return pace.m_recent *
           std::exp(-seconds_since(pace.m_last, now) / (fades * fade_s));
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
    const double step =
        std::clamp(1.0 / tracked.m_samples, least_step, most_step);
    const double target =
        value > tracked.m_value
            ? tracked.m_value * (1 + 2 * step * quantile)
            : tracked.m_value * (1 - 2 * step * (1 - quantile));
    // Does not move past the sample itself.
    tracked.m_value = value > tracked.m_value ? std::min(target, value)
                                              : std::max(target, value);
    return tracked;
}

token_latency add_token_time(token_latency pace, double token_ms, instant now)
{
    // Also rejects NaN, which compares false.
    if (!(token_ms >= least_token_ms && token_ms <= most_token_ms))
        return pace;
    const double seen = std::log(token_ms);
    const double lately = present_lately(pace, now);
    ++pace.m_samples;
    pace.m_last = std::max(pace.m_last, now);
    if (pace.m_samples == 1)
    {
        pace.m_long_term = seen;
        return pace;
    }
    const double apart = seen - pace.m_long_term;
    const double share =
        std::max(1.0 / static_cast<double>(pace.m_samples), lasting_share);
    pace.m_long_term +=
        share * std::clamp(apart, -lasting_reach, lasting_reach);
    pace.m_recent = lately + lately_share * (apart - lately);
    pace.m_consecutive_slow =
        apart > slow_margin ? std::min(pace.m_consecutive_slow + 1, most_fades)
                            : 0;
    return pace;
}

double current_token_ms(const token_latency& pace, double usual_ms, instant now)
{
    if (pace.m_samples == 0)
        return usual_ms;
    const double idle = seconds_since(pace.m_last, now) - idle_s;
    const double kept = idle > 0 ? std::exp(-idle / forget_s) : 1;
    const double usual = std::log(usual_ms);
    return std::exp(usual + kept * (pace.m_long_term - usual) +
                    present_lately(pace, now));
}

engine_error_rate add_outcome(engine_error_rate trouble, bool failed,
                              instant now)
{
    trouble.m_rate = current_error_rate(trouble, now);
    trouble.m_rate += trouble_share * ((failed ? 1 : 0) - trouble.m_rate);
    trouble.m_last = std::max(trouble.m_last, now);
    return trouble;
}

double current_error_rate(const engine_error_rate& trouble, instant now)
{
    return trouble.m_rate *
           std::exp(-seconds_since(trouble.m_last, now) / trouble_fade_s);
}

} // namespace pepperturn
