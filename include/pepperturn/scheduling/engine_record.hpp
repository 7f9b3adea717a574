// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the placement VM knows of one engine: the calls in progress there, its
/// speed, its error rate and its cache.
///
/// Load pattern: an engine that slows down or hangs. Its unfinished calls show
/// this before any report does: an overdue call makes the engine count as
/// slower at once.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/engine_cache.hpp"
#include "pepperturn/scheduling/engine_cost.hpp"
#include "pepperturn/scheduling/engine_latency.hpp"
#include "pepperturn/scheduling/engine_placements.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// Typical values for the engines and calls of a service.
struct service_profile
{
    /// Milliseconds per token generated without other calls in the batch,
    /// median.
    running_quantile m_decode_token_ms;
    /// Milliseconds per prefilled prompt token, median.
    running_quantile m_prefill_token_ms;
    /// Time to first byte of a cached prompt, in milliseconds, median.
    running_quantile m_first_byte_ms;
    /// Generated tokens: median, and the 90th percentile.
    running_quantile m_output_tokens;
    running_quantile m_long_output_tokens;
    /// Milliseconds for which a call occupies a slot, median.
    running_quantile m_slot_ms;

    friend bool operator==(const service_profile&,
                           const service_profile&) = default;
};

/// Typical values; defaults for a medium engine until there are samples.
[[nodiscard]] double typical_decode_token_ms(const service_profile& profile);
[[nodiscard]] double typical_prefill_token_ms(const service_profile& profile);
[[nodiscard]] double typical_slot_ms(const service_profile& profile);
/// Tokens that a call is expected to generate.
/// \param most limit set by the caller; 0: none
[[nodiscard]] double expected_output_tokens(const service_profile& profile,
                                            const placement_request& request);
[[nodiscard]] double typical_output_tokens(const service_profile& profile,
                                           std::uint32_t most);

/// A call in progress at an engine.
struct running_call
{
    std::uint64_t m_call = 0;
    instant m_started{};
    std::vector<prompt_part> m_parts;
    std::uint32_t m_uncached_tokens = 0;
    /// Other calls in progress when it was placed.
    std::uint32_t m_concurrent = 0;
    /// Predicted wait and prefill time, in milliseconds.
    double m_wait_ms = 0;
    double m_prefill_ms = 0;
    /// Predicted time to its end, and that of a long call, in milliseconds.
    double m_expected_ms = 0;
    double m_expected_long_ms = 0;
    /// The engine's total prefill time when the call was placed.
    double m_total_prefill_ms = 0;

    friend bool operator==(const running_call&, const running_call&) = default;
};

/// Calls sent to a cold engine in the second that began at \ref m_began.
struct cold_window
{
    instant m_began{};
    std::uint32_t m_calls = 0;

    friend bool operator==(const cold_window&, const cold_window&) = default;
};

struct engine_record
{
    engine_info m_info;
    std::vector<running_call> m_calls;
    token_latency m_decode;
    token_latency m_prefill;
    engine_error_rate m_error_rate;
    engine_cache m_cache;
    /// When the prompts placed so far are expected to have been prefilled.
    instant m_prefill_until{};
    /// Predicted prefill time of all calls so far, in milliseconds.
    double m_total_prefill_ms = 0;
    /// Start of the latest-started call that has completed.
    instant m_last_completed_start{};

    cold_window m_cold_window;

    friend bool operator==(const engine_record&,
                           const engine_record&) = default;
};

/// How many times slower than predicted the calls in progress show the engine
/// to be; 1: none is overdue.
[[nodiscard]] double overdue_factor(const engine_record& engine, instant now);

/// Estimates the engine for a call placed now.
[[nodiscard]] engine_estimate estimate_engine(const engine_record& engine,
                                              const service_profile& profile,
                                              const placement_request& request,
                                              instant now);

/// The engine is cold and has received as many calls as it can serve in this
/// second.
[[nodiscard]] bool is_cold_limited(const engine_record& engine, instant now);

/// True if calls should rather wait for another engine: this one appears to
/// hang, or fails most calls.
[[nodiscard]] bool is_deprioritised(const engine_estimate& estimate,
                                    const service_profile& profile);

/// Records the call as in progress there.
void start_call(engine_record& engine, const service_profile& profile,
                const placement_request& request,
                const engine_estimate& estimate, instant now);

/// Removes the call; empty: it is not in progress there.
[[nodiscard]] std::optional<running_call>
remove_running_call(engine_record& engine, std::uint64_t call);

/// Updates the estimates from the end of a removed call.
void learn_from_end(engine_record& engine, service_profile& profile,
                    const running_call& call, const placement_report& report,
                    instant now);

/// Removes the calls whose end was never reported.
[[nodiscard]] std::vector<running_call> remove_lost_calls(engine_record& engine,
                                                          instant now);

} // namespace pepperturn
