// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which prompt parts an engine is thought to hold in its memory.
///
/// Load pattern: long prompt parts that many programs share, and histories
/// that grow from turn to turn. Reading a shared part anew stops all runs of
/// an engine for some tens of milliseconds, so whoever places calls keeps
/// account of what each engine has read.
#pragma once

#include "pepperturn/scheduling/prompt_home.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// Parts of a prompt that are looked at; what comes after counts as not held.
constexpr std::size_t max_prompt_parts = 32;
/// Rows kept for an engine at most; the least recently used go first. An
/// engine has room for some dozens of long parts or histories. With a prompt's
/// parts on top they fill a vector of 128.
constexpr std::size_t max_cached_parts = 96;

/// A part that an engine holds.
struct cached_part
{
    std::uint64_t m_id = 0;
    std::uint32_t m_tokens = 0;
    /// No call has ended whole with it yet.
    bool m_unconfirmed = false;
    /// The call that was to read it.
    std::uint64_t m_call = 0;

    friend bool operator==(const cached_part&, const cached_part&) = default;
};

/// Parts in an engine's memory, the least recently used first.
struct engine_cache
{
    std::vector<cached_part> m_parts;

    friend bool operator==(const engine_cache&, const engine_cache&) = default;
};

/// Tokens at the beginning of a prompt that the engine holds: a part counts
/// only if all before it are held whole.
[[nodiscard]] std::uint32_t
cached_prefix_tokens(const engine_cache& memory,
                     const std::vector<prompt_part>& parts);

/// A call was sent there that will read these parts.
/// \param capacity tokens that fit; 0: not told
void expect_parts(engine_cache& memory, const std::vector<prompt_part>& parts,
                  std::uint64_t call, std::uint64_t capacity);

/// The call has ended whole: the engine holds these parts.
void confirm_parts(engine_cache& memory, const std::vector<prompt_part>& parts,
                   std::uint64_t capacity);

/// The call has ended otherwise: what it alone was to read is not there.
void forget_parts(engine_cache& memory, std::uint64_t call);

} // namespace pepperturn
