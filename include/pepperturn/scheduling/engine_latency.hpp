// SPDX-License-Identifier: BSL-1.0
/// \file
/// Estimates how fast an engine prefills and generates, and its error rate,
/// from the calls that it has ended.
///
/// Load pattern: engines of one service whose speeds differ permanently, some
/// of which turn several times slower for less than a second or for some
/// seconds. The long-term speed determines where most work goes; the recent
/// speed takes traffic away from an engine that is slow at the moment and
/// returns it soon after, without losing the long-term estimate.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>

namespace pepperturn {

/// A running quantile of positive values. It moves by a limited share of its
/// value, so that a single outlier has little effect.
struct running_quantile
{
    /// 0: no samples yet.
    double m_value = 0;
    std::uint32_t m_samples = 0;

    friend bool operator==(const running_quantile&,
                           const running_quantile&) = default;
};

/// Adds a sample; zero, negative and non-finite values are ignored.
/// \param quantile share of the values that lie below
[[nodiscard]] running_quantile add_value(running_quantile tracked, double value,
                                         double quantile);

/// An engine's time per token: a long-term and a recent estimate.
struct token_latency
{
    /// Logarithm of the milliseconds per token.
    double m_long_term = 0;
    /// Logarithm of the recent slowdown relative to the long-term estimate.
    double m_recent = 0;
    std::uint32_t m_samples = 0;
    /// Consecutive ended calls that were clearly slower than the long-term
    /// estimate.
    std::uint32_t m_consecutive_slow = 0;
    instant m_last{};

    friend bool operator==(const token_latency&,
                           const token_latency&) = default;
};

/// Adds the time per token of one ended call; implausible values are ignored.
[[nodiscard]] token_latency add_token_time(token_latency latency,
                                           double token_ms, instant now);

/// Current estimate of the milliseconds per token.
/// \param usual_ms of the service: used for an engine without samples, or
/// without any for a long time
[[nodiscard]] double current_token_ms(const token_latency& latency,
                                      double usual_ms, instant now);

/// Recent error rate of an engine.
struct engine_error_rate
{
    /// Share of failed calls, 0 to 1.
    double m_rate = 0;
    instant m_last{};

    friend bool operator==(const engine_error_rate&,
                           const engine_error_rate&) = default;
};

[[nodiscard]] engine_error_rate add_outcome(engine_error_rate error_rate,
                                            bool failed, instant now);

/// Expected share of failed calls; decays while the engine is not used, so
/// that it is tried again.
[[nodiscard]] double current_error_rate(const engine_error_rate& error_rate,
                                        instant now);

} // namespace pepperturn
