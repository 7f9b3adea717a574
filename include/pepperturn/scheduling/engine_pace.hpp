// SPDX-License-Identifier: BSL-1.0
/// \file
/// How fast an engine reads and generates, learnt from the calls it has ended.
///
/// Load pattern: engines of one service whose speeds differ for good, some of
/// which turn several times slower for less than a second or for some
/// seconds. A lasting speed says where most work belongs; one of the last
/// moments takes traffic away from an engine that is slow right now and gives
/// it back soon after, without forgetting what the engine usually does.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>

namespace pepperturn {

/// A running quantile of positive values, in steps of a share of the value,
/// so that single outliers move it by no more than one step.
struct running_quantile
{
    /// 0: no value yet.
    double m_value = 0;
    std::uint32_t m_samples = 0;

    friend bool operator==(const running_quantile&,
                           const running_quantile&) = default;
};

/// Takes a value in; zero, negative and endless ones are ignored.
/// \param quantile share of the values that lie below
[[nodiscard]] running_quantile add_value(running_quantile tracked, double value,
                                         double quantile);

/// What an engine takes for one token, lastingly and lately.
struct token_latency
{
    /// Logarithm of the milliseconds for a token.
    double m_long_term = 0;
    /// Logarithm of how much slower it was lately than that.
    double m_recent = 0;
    std::uint32_t m_samples = 0;
    /// Ended calls in a row that were clearly slower than the lasting pace.
    std::uint32_t m_consecutive_slow = 0;
    instant m_last{};

    friend bool operator==(const token_latency&,
                           const token_latency&) = default;
};

/// Takes in what a token took in one ended call; absurd values are ignored.
[[nodiscard]] token_latency add_token_time(token_latency pace, double token_ms,
                                           instant now);

/// Milliseconds for a token now.
/// \param usual_ms of the service: what an engine takes of which nothing is
/// known, or nothing new for long
[[nodiscard]] double current_token_ms(const token_latency& pace,
                                      double usual_ms, instant now);

/// How often an engine's calls went wrong lately.
struct engine_error_rate
{
    /// Share, 0 to 1.
    double m_rate = 0;
    instant m_last{};

    friend bool operator==(const engine_error_rate&,
                           const engine_error_rate&) = default;
};

[[nodiscard]] engine_error_rate add_outcome(engine_error_rate trouble,
                                            bool failed, instant now);

/// Share of the calls that is expected to go wrong; fades while the engine is
/// not used, so that it is tried again.
[[nodiscard]] double current_error_rate(const engine_error_rate& trouble,
                                        instant now);

} // namespace pepperturn
