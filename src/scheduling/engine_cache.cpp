// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_cache.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn {

namespace {

const cached_part* find(const engine_cache& cache, std::uint64_t id)
{
    // Requested parts were mostly used recently.
    const auto row = std::find_if(
        cache.m_parts.rbegin(), cache.m_parts.rend(),
        [id](const cached_part& cached) { return cached.m_id == id; });
    return row == cache.m_parts.rend() ? nullptr : &*row;
}

/// Moves a part to the most recently used end.
void touch(engine_cache& cache, const cached_part& part)
{
    std::erase_if(cache.m_parts, [&part](const cached_part& cached) {
        return cached.m_id == part.m_id;
    });
    cache.m_parts.push_back(part);
}

void evict_oldest(engine_cache& cache, std::uint64_t capacity)
{
    std::uint64_t tokens = 0;
    std::size_t kept = 0;
    for (auto row = cache.m_parts.rbegin(); row != cache.m_parts.rend(); ++row)
    {
        tokens += row->m_tokens;
        if (kept == max_cached_parts || (capacity != 0 && tokens > capacity))
            break;
        ++kept;
    }
    cache.m_parts.erase(cache.m_parts.begin(),
                        cache.m_parts.end() -
                            static_cast<std::ptrdiff_t>(kept));
}

} // namespace

std::uint32_t cached_prefix_tokens(const engine_cache& cache,
                                   const std::vector<prompt_part>& parts)
{
    // Reported token counts may add up to more than 32 bits hold.
    std::uint64_t tokens = 0;
    for (const auto& part : parts)
    {
        const auto* cached = find(cache, part.m_id);
        if (cached == nullptr)
            break;
        tokens += std::min(cached->m_tokens, part.m_tokens);
        if (cached->m_tokens < part.m_tokens)
            break;
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        tokens, std::numeric_limits<std::uint32_t>::max()));
}

void expect_parts(engine_cache& cache, const std::vector<prompt_part>& parts,
                  std::uint64_t call, std::uint64_t capacity)
{
    // From the last part to the first: the end of a prompt is evicted first,
    // as it is useless without the beginning.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto* cached = find(cache, part->m_id);
        if (cached != nullptr && cached->m_tokens >= part->m_tokens)
            touch(cache, cached_part(*cached));
        else
            touch(cache, {.m_id = part->m_id,
                          .m_tokens = part->m_tokens,
                          .m_unconfirmed = true,
                          .m_call = call});
    }
    evict_oldest(cache, capacity);
}

void confirm_parts(engine_cache& cache, const std::vector<prompt_part>& parts,
                   std::uint64_t capacity)
{
    for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    {
        const auto* cached = find(cache, part->m_id);
        const auto tokens = cached == nullptr
                                ? part->m_tokens
                                : std::max(cached->m_tokens, part->m_tokens);
        touch(cache, {.m_id = part->m_id, .m_tokens = tokens});
    }
    evict_oldest(cache, capacity);
}

void forget_parts(engine_cache& cache, std::uint64_t call)
{
    std::erase_if(cache.m_parts, [call](const cached_part& cached) {
        return cached.m_unconfirmed && cached.m_call == call;
    });
}

} // namespace pepperturn
