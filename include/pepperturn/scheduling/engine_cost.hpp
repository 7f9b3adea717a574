// SPDX-License-Identifier: BSL-1.0
/// \file
/// What a call costs at an engine, for itself and for those that run there.
///
/// Load pattern: engines that batch. A further run slows all others a little,
/// and reading a long prompt stops them; an engine with free slots but a cold
/// memory may be the worse one, and one with everything in memory may be slow.
/// All of it is time, so it is weighed as time.
#pragma once

#include <cstdint>

namespace pepperturn {

/// A call and an engine that it may go to. Times are those of now, with
/// whatever slows the engine at the moment.
struct engine_estimate
{
    /// Calls under way there, without this one.
    std::uint32_t m_under_way = 0;
    std::uint32_t m_slots = 1;
    /// Tokens of the prompt that are in its memory, and those to be read.
    std::uint32_t m_cached_tokens = 0;
    std::uint32_t m_uncached_tokens = 0;
    /// Tokens that are expected to be generated.
    double m_output_tokens = 0;
    /// Milliseconds for a token read, and for one generated alone.
    double m_prefill_token_ms = 0;
    double m_decode_token_ms = 0;
    /// Milliseconds for which prompts placed before are still being read.
    double m_prefill_backlog_ms = 0;
    /// Milliseconds that a call holds a slot there.
    double m_slot_ms = 0;
    /// Share of the calls that go wrong there.
    double m_error_rate = 0;
    bool m_other_zone = false;
    /// Of another region, too.
    bool m_other_region = false;

    friend bool operator==(const engine_estimate&,
                           const engine_estimate&) = default;
};

struct predicted_run
{
    /// For a slot, and for prompts that are read before, in milliseconds.
    double m_wait_ms = 0;
    double m_prefill_ms = 0;
    double m_decode_ms = 0;
    /// What all others there lose.
    double m_interference_ms = 0;

    friend bool operator==(const predicted_run&,
                           const predicted_run&) = default;
};

/// How much longer a token takes with that many calls beside.
[[nodiscard]] double batch_slowdown(double beside, std::uint32_t slots);

[[nodiscard]] predicted_run predict_run(const engine_estimate& outlook);

/// To its last token, in milliseconds.
[[nodiscard]] double completion_ms(const predicted_run& run);

/// What speaks against the engine, in milliseconds; lower is better.
[[nodiscard]] double engine_cost(const engine_estimate& outlook,
                                 const predicted_run& run);

/// True if an engine whose lowest cost is \p best_ms may as well be replaced
/// by one of \p cost_ms: predictions are not better than that, and callers
/// that know the same should not all act alike.
[[nodiscard]] bool nearly_equal(double cost_ms, double best_ms);

/// True if calls are to wait in line rather than to go there.
[[nodiscard]] bool is_full(std::uint32_t under_way, std::uint32_t slots);

/// True if calls go elsewhere, whatever the engine has in memory.
[[nodiscard]] bool is_overloaded(std::uint32_t under_way, std::uint32_t slots);

} // namespace pepperturn
