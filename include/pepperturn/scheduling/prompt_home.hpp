// SPDX-License-Identifier: BSL-1.0
/// \file
/// Where an engine has the beginning of a prompt in memory.
///
/// Load pattern: programs whose callers bring their whole history. Each turn
/// repeats all turns before it and comes in through any VM, so no VM sees by
/// itself where the last one ran. Read anew each time, a program of three
/// turns costs an engine twice the tokens, which is what binds first when
/// many programs come at once.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// A part of a prompt, as its caller names it.
struct prompt_part
{
    /// Hash of the part's id.
    std::uint64_t m_id = 0;
    std::uint32_t m_tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// The prompt of an attempt and the runner that has read it.
struct prompt_location
{
    /// Hash of the last part's id; 0: unknown.
    std::uint64_t m_part = 0;
    /// Tokens of the whole prompt.
    std::uint32_t m_tokens = 0;
    /// Hash of the runner's id; 0: none has read it.
    std::uint64_t m_runner = 0;

    friend bool operator==(const prompt_location&,
                           const prompt_location&) = default;
};

/// The place with the longest beginning of a prompt; empty: none is known.
/// \param parts the prompt in order; the last part is the conversation's own
/// \param places what earlier attempts of the program left behind
[[nodiscard]] std::optional<prompt_location>
find_cached_prompt(const std::vector<prompt_part>& parts,
                   const std::vector<prompt_location>& places);

} // namespace pepperturn
