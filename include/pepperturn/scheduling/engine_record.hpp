// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the VM that hands out places knows of one engine: the calls under
/// way there, its pace, its trouble and its memory.
///
/// Load pattern: an engine that slows down or hangs. Its calls that have not
/// ended tell it before any report does: one that is overdue makes the engine
/// count as slower at once.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/engine_cost.hpp"
#include "pepperturn/scheduling/engine_memory.hpp"
#include "pepperturn/scheduling/engine_pace.hpp"
#include "pepperturn/scheduling/engine_places.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// What is usual for the engines and the calls of a service.
struct service_profile
{
    /// Milliseconds for a token generated alone, in the median.
    running_quantile m_decode_token_ms;
    /// Milliseconds for a prompt token read, in the median.
    running_quantile m_prefill_token_ms;
    /// Time to the first byte of a prompt in memory, in the median.
    running_quantile m_first_byte_ms;
    /// Tokens generated, in the median, and in one of ten calls.
    running_quantile m_output_tokens;
    running_quantile m_long_output_tokens;
    /// Milliseconds that a call holds a slot, in the median.
    running_quantile m_slot_ms;

    friend bool operator==(const service_profile&,
                           const service_profile&) = default;
};

/// Usual values; until something is learnt, those of a middling engine.
[[nodiscard]] double typical_decode_token_ms(const service_profile& norm);
[[nodiscard]] double typical_prefill_token_ms(const service_profile& norm);
[[nodiscard]] double typical_slot_ms(const service_profile& norm);
/// \param most bound that the caller gives; 0: none
/// Tokens that a call is expected to generate.
[[nodiscard]] double expected_output_tokens(const service_profile& norm,
                                            const placement_request& question);
[[nodiscard]] double typical_output_tokens(const service_profile& norm,
                                           std::uint32_t most);

/// A call under way at an engine.
struct running_call
{
    std::uint64_t m_call = 0;
    instant m_started{};
    std::vector<prompt_part> m_parts;
    std::uint32_t m_uncached_tokens = 0;
    /// Calls under way when it came.
    std::uint32_t m_concurrent = 0;
    /// Wait and reading as expected, in milliseconds.
    double m_wait_ms = 0;
    double m_prefill_ms = 0;
    /// To its end, as expected, and if it is a long one.
    double m_expected_ms = 0;
    double m_expected_long_ms = 0;
    /// The engine's total when it came.
    double m_total_prefill_ms = 0;

    friend bool operator==(const running_call&, const running_call&) = default;
};

/// Calls to a cold engine in the second that began at \ref m_since.
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
    /// When the prompts placed so far will have been read.
    instant m_prefill_until{};
    /// Reading expected of all calls so far, in milliseconds.
    double m_total_prefill_ms = 0;
    /// Start of the latest call that has ended whole.
    instant m_last_completed_start{};

    cold_window m_cold_window;

    friend bool operator==(const engine_record&,
                           const engine_record&) = default;
};

/// How many times slower than expected the calls under way show it to be;
/// 1: none is overdue.
[[nodiscard]] double overdue_factor(const engine_record& engine, instant now);

/// The engine as a call finds it.
[[nodiscard]] engine_estimate estimate_engine(const engine_record& engine,
                                              const service_profile& norm,
                                              const placement_request& question,
                                              instant now);

/// It is cold, and has had what it bears in this second.
[[nodiscard]] bool is_cold_limited(const engine_record& engine, instant now);

/// True if calls rather wait for another engine than go there: it seems to
/// hang, or fails most calls.
[[nodiscard]] bool is_deprioritised(const engine_estimate& outlook,
                                    const service_profile& norm);

/// Counts the call as under way there.
void start_call(engine_record& engine, const service_profile& norm,
                const placement_request& question,
                const engine_estimate& outlook, instant now);

/// Takes the call out; empty: it isn't there.
[[nodiscard]] std::optional<running_call>
remove_running_call(engine_record& engine, std::uint64_t call);

/// Learns from the end of a call that was taken out.
void learn_from_end(engine_record& engine, service_profile& norm,
                    const running_call& call, const placement_report& report,
                    instant now);

/// Takes the calls out whose end was never told.
[[nodiscard]] std::vector<running_call> remove_lost_calls(engine_record& engine,
                                                          instant now);

} // namespace pepperturn
