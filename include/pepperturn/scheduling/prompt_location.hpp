// SPDX-License-Identifier: BSL-1.0
/// \file
/// Finds the runner that has the beginning of a prompt cached.
///
/// Load pattern: programs whose callers send their whole history. Each turn
/// repeats all turns before it and may arrive at any VM, so no VM knows by
/// itself where the last one ran. If prefilled again each time, a program of
/// three turns costs an engine twice the tokens, and prefill is the first
/// bottleneck when many programs arrive at once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// A part of a prompt, as named by the caller.
struct prompt_part
{
    /// Hash of the part's id.
    std::uint64_t m_id = 0;
    std::uint32_t m_tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// The prompt of an attempt and the runner that has prefilled it.
struct prompt_location
{
    /// Hash of the last part's id; 0: unknown.
    std::uint64_t m_part = 0;
    /// Tokens of the whole prompt.
    std::uint32_t m_tokens = 0;
    /// Hash of the runner's id; 0: no runner has prefilled it.
    std::uint64_t m_runner = 0;

    friend bool operator==(const prompt_location&,
                           const prompt_location&) = default;
};

/// The location with the longest cached beginning of a prompt; empty: none is
/// known.
/// \param parts the prompt in order; the last part is the conversation's own
/// \param locations recorded by earlier attempts of the program
[[nodiscard]] std::optional<prompt_location>
find_cached_prompt(const std::vector<prompt_part>& parts,
                   const std::vector<prompt_location>& locations);

} // namespace pepperturn
