// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_memory.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn {

namespace {

const cached_part* find(const engine_cache& memory, std::uint64_t id)
{
    // Requested parts were mostly used recently.
    const auto row =
        std::find_if(memory.m_parts.rbegin(), memory.m_parts.rend(),
                     [id](const cached_part& held) { return held.m_id == id; });
    return row == memory.m_parts.rend() ? nullptr : &*row;
}

/// Moves a part to the most recently used end.
void use(engine_cache& memory, const cached_part& part)
{
    std::erase_if(memory.m_parts, [&part](const cached_part& held) {
        return held.m_id == part.m_id;
    });
    memory.m_parts.push_back(part);
}

void drop_oldest(engine_cache& memory, std::uint64_t capacity)
{
    std::uint64_t tokens = 0;
    std::size_t kept = 0;
    for (auto row = memory.m_parts.rbegin(); row != memory.m_parts.rend();
         ++row)
    {
        tokens += row->m_tokens;
        if (kept == max_cached_parts || (capacity != 0 && tokens > capacity))
            break;
        ++kept;
    }
    memory.m_parts.erase(memory.m_parts.begin(),
                         memory.m_parts.end() -
                             static_cast<std::ptrdiff_t>(kept));
}

} // namespace

std::uint32_t cached_prefix_tokens(const engine_cache& memory,
                                   const std::vector<prompt_part>& parts)
{
    // Reported token counts may add up to more than 32 bits hold.
    std::uint64_t tokens = 0;
    for (const auto& part : parts)
    {
        const auto* held = find(memory, part.m_id);
        if (held == nullptr)
            break;
        tokens += std::min(held->m_tokens, part.m_tokens);
        if (held->m_tokens < part.m_tokens)
            break;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        tokens, std::numeric_limits<std::uint32_t>::max()));
}

void expect_parts(engine_cache& memory, const std::vector<prompt_part>& parts,
                  std::uint64_t call, std::uint64_t capacity)
{
    // From the last part to the first: the end of a prompt is evicted first,
    // as it is useless without the beginning.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto* held = find(memory, part->m_id);
        if (held != nullptr && held->m_tokens >= part->m_tokens)
            use(memory, cached_part(*held));
        else
            use(memory, {.m_id = part->m_id,
                         .m_tokens = part->m_tokens,
                         .m_unconfirmed = true,
                         .m_call = call});
    }
    drop_oldest(memory, capacity);
}

void confirm_parts(engine_cache& memory, const std::vector<prompt_part>& parts,
                   std::uint64_t capacity)
{
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto* held = find(memory, part->m_id);
        const auto tokens = held == nullptr
                                ? part->m_tokens
                                : std::max(held->m_tokens, part->m_tokens);
        use(memory, {.m_id = part->m_id, .m_tokens = tokens});
    }
    drop_oldest(memory, capacity);
}

void forget_parts(engine_cache& memory, std::uint64_t call)
{
    std::erase_if(memory.m_parts, [call](const cached_part& held) {
        return held.m_unconfirmed && held.m_call == call;
    });
}

} // namespace pepperturn
