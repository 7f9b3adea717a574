// SPDX-License-Identifier: BSL-1.0
/// \file
/// Estimates which prompt parts an engine has in its prefix cache.
///
/// Load pattern: long prompt parts that many programs share, and histories
/// that grow with each turn. Prefilling a shared part again stalls all calls
/// of an engine for some tens of milliseconds, so the placing VM tracks what
/// each engine has prefilled.
#pragma once

#include "pepperturn/scheduling/prompt_location.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// Parts of a prompt that are considered; later parts are treated as not
/// cached.
constexpr std::size_t max_prompt_parts = 32;
/// Parts tracked per engine; the least recently used are evicted first. An
/// engine has memory for some dozens of long parts or histories. Together with
/// the parts of one prompt they fill a vector of 128.
constexpr std::size_t max_cached_parts = 96;

/// A prompt part in an engine's cache.
struct cached_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_tokens = 0;
    /// No call has completed with it yet.
    bool m_unconfirmed = false;
    /// The call that was to prefill it.
    std::uint64_t m_call = 0;

    friend bool operator==(const cached_part&, const cached_part&) = default;
};

/// Parts in an engine's cache, the least recently used first.
struct engine_cache
{
    std::vector<cached_part> m_parts;

    friend bool operator==(const engine_cache&, const engine_cache&) = default;
};

/// Length of the cached prefix of a prompt, in tokens: a part counts only if
/// all parts before it are completely cached.
[[nodiscard]] std::uint32_t
cached_prefix_tokens(const engine_cache& cache,
                     const std::vector<prompt_part>& parts);

/// Records that a call was sent that will prefill these parts.
/// \param capacity tokens that fit into the cache; 0: unknown
void expect_parts(engine_cache& cache, const std::vector<prompt_part>& parts,
                  std::uint64_t call, std::uint64_t capacity);

/// The call has completed: the engine has these parts cached.
void confirm_parts(engine_cache& cache, const std::vector<prompt_part>& parts,
                   std::uint64_t capacity);

/// The call did not complete: removes the parts that only this call was to
/// prefill.
void forget_parts(engine_cache& cache, std::uint64_t call);

} // namespace pepperturn
