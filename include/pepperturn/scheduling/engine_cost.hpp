// SPDX-License-Identifier: BSL-1.0
/// \file
/// Predicts the cost of a call at an engine, to the call itself and to the
/// calls in progress there.
///
/// Load pattern: engines that batch. Each additional call slows all others a
/// little, and prefilling a long prompt stalls them; an engine with free slots
/// but a cold cache may be the worse choice, and one with the whole prompt
/// cached may be slow. All of this is expressed as time, so that it can be
/// compared.
#pragma once

#include <cstdint>

namespace pepperturn {

/// Inputs for the cost of one call at one engine. Times reflect the current
/// speed of the engine, including any temporary slowdown.
struct engine_estimate
{
    /// Calls in progress there, without this one.
    std::uint32_t m_under_way = 0;
    std::uint32_t m_slots = 1;
    /// Prompt tokens that are in the engine's cache, and those that have to be
    /// prefilled.
    std::uint32_t m_cached_tokens = 0;
    std::uint32_t m_uncached_tokens = 0;
    /// Tokens that are expected to be generated.
    double m_output_tokens = 0;
    /// Milliseconds to prefill a token, and to generate one without other
    /// calls in the batch.
    double m_prefill_token_ms = 0;
    double m_decode_token_ms = 0;
    /// Milliseconds until the prompts placed before have been prefilled.
    double m_prefill_backlog_ms = 0;
    /// Milliseconds for which a call occupies a slot.
    double m_slot_ms = 0;
    /// Share of the calls that fail there.
    double m_error_rate = 0;
    bool m_other_zone = false;
    /// The engine is in another region as well.
    bool m_other_region = false;

    friend bool operator==(const engine_estimate&,
                           const engine_estimate&) = default;
};

struct predicted_run
{
    /// Wait for a slot and for earlier prefills, in milliseconds.
    double m_wait_ms = 0;
    double m_prefill_ms = 0;
    double m_decode_ms = 0;
    /// Delay caused to the other calls at the engine, in total.
    double m_interference_ms = 0;

    friend bool operator==(const predicted_run&,
                           const predicted_run&) = default;
};

/// Factor by which generating a token slows with \p concurrent other calls in
/// the batch.
[[nodiscard]] double batch_slowdown(double concurrent, std::uint32_t slots);

[[nodiscard]] predicted_run predict_run(const engine_estimate& estimate);

/// Time to the last token, in milliseconds.
[[nodiscard]] double completion_ms(const predicted_run& run);

/// Cost of placing the call there, in milliseconds; lower is better.
[[nodiscard]] double engine_cost(const engine_estimate& estimate,
                                 const predicted_run& run);

/// True if an engine of \p cost_ms is as good as the best one of \p best_ms:
/// predictions are no more accurate than that, and VMs with the same
/// information should not all choose the same engine.
[[nodiscard]] bool nearly_equal(double cost_ms, double best_ms);

/// True if calls should be queued rather than placed there.
[[nodiscard]] bool is_full(std::uint32_t under_way, std::uint32_t slots);

/// True if calls must go elsewhere, whatever the engine has cached.
[[nodiscard]] bool is_overloaded(std::uint32_t under_way, std::uint32_t slots);

} // namespace pepperturn
