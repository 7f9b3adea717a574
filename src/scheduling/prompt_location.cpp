// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/prompt_location.hpp"

#include <algorithm>

namespace pepperturn {

std::optional<prompt_location>
find_cached_prompt(const std::vector<prompt_part>& parts,
                   const std::vector<prompt_location>& locations)
{
    // An earlier part covers less of the prompt: a sub-agent's first turn
    // finds its parent's location, its later ones their own.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        std::optional<prompt_location> best;
        for (const auto& location : locations)
        {
            if (location.m_part != part->m_id || location.m_runner == 0)
                continue;
            if (!best || location.m_tokens > best->m_tokens)
                best = location;
        }
        if (best)
            return best;
    }
    return std::nullopt;
}

} // namespace pepperturn
