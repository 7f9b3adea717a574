// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/standin/engine_model.hpp"

#include <algorithm>

namespace pepperturn::standin {

engine_model::engine_model(engine_limits limits) : m_limits(limits) {}

void engine_model::submit(const engine_request& request, instant now)
{
    m_waiting.emplace(std::pair{request.m_priority, m_arrivals++}, request);
    admit(now);
}

bool engine_model::cancel(const std::string& id, instant now)
{
    const auto waits = std::find_if(
        m_waiting.begin(), m_waiting.end(),
        [&id](const auto& entry) { return entry.second.m_id == id; });
    if (waits != m_waiting.end())
    {
        m_waiting.erase(waits);
        return true;
    }
    if (m_running.erase(id) == 0)
        return false;
    admit(now);
    return true;
}

std::uint32_t engine_model::release(const std::string& prefix)
{
    std::uint32_t released = 0;
    auto entry = m_cache.lower_bound(prefix);
    while (entry != m_cache.end() && entry->first.starts_with(prefix))
    {
        const auto key = entry->first;
        ++entry;
        drop(key);
        released += 1;
    }
    return released;
}

std::optional<instant> engine_model::next_event() const
{
    std::optional<instant> next;
    const auto consider = [&next](instant when) {
        if (!next || when < *next)
            next = when;
    };
    for (const auto& [id, row] : m_running)
        consider(row.m_started ? row.m_finish : row.m_first_token);
    if (!m_waiting.empty() && m_running.size() < m_limits.m_slots)
        consider(m_prefill_free);
    return next;
}

std::vector<engine_event> engine_model::advance(instant now)
{
    for (auto next = next_event(); next && *next <= now; next = next_event())
    {
        std::vector<std::string> finished;
        for (auto& [id, row] : m_running)
        {
            if (!row.m_started && row.m_first_token <= *next)
            {
                row.m_started = true;
                m_events.push_back({engine_event_kind::first_token, id,
                                    row.m_first_token, row.m_cached});
            }
            if (row.m_started && row.m_finish <= *next)
                finished.push_back(id);
        }
        for (const auto& id : finished)
        {
            const auto row = m_running.at(id);
            m_running.erase(id);
            keep(row.m_request.m_cache_key,
                 row.m_request.m_prompt_tokens + row.m_request.m_output_tokens,
                 *next);
            m_events.push_back(
                {engine_event_kind::finished, id, row.m_finish, row.m_cached});
        }
        admit(*next);
    }
    std::vector<engine_event> out;
    out.swap(m_events);
    return out;
}

engine_load engine_model::load() const
{
    engine_load out;
    out.m_running = m_running.size();
    out.m_queued = m_waiting.size();
    for (const auto& [key, request] : m_waiting)
        out.m_queued_tokens += request.m_prompt_tokens;
    return out;
}

void engine_model::admit(instant now)
{
    while (!m_waiting.empty() && m_running.size() < m_limits.m_slots &&
           m_prefill_free <= now)
    {
        running row;
        row.m_request = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        row.m_cached = std::min(touch(row.m_request.m_cache_key),
                                row.m_request.m_prompt_tokens);
        const double prefill = (row.m_request.m_prompt_tokens - row.m_cached) /
                               m_limits.m_prefill_rate;
        const double decode =
            (std::max(1U, row.m_request.m_output_tokens) - 1) /
            m_limits.m_decode_rate;
        m_prefill_free = now + from_seconds(prefill);
        row.m_first_token = m_prefill_free;
        row.m_finish = row.m_first_token + from_seconds(decode);
        m_running[row.m_request.m_id] = row;
    }
}

std::uint32_t engine_model::touch(const std::string& key)
{
    const auto found = m_cache.find(key);
    if (found == m_cache.end())
        return 0;
    m_lru.splice(m_lru.end(), m_lru, found->second.m_place);
    return found->second.m_tokens;
}

void engine_model::keep(const std::string& key, std::uint32_t tokens,
                        instant now)
{
    if (key.empty())
        return;
    drop(key);
    if (tokens > m_limits.m_cache_tokens)
        return;
    while (m_cached_total + tokens > m_limits.m_cache_tokens)
    {
        const auto oldest = m_lru.front();
        m_events.push_back({engine_event_kind::evicted, oldest, now, 0});
        drop(oldest);
    }
    m_lru.push_back(key);
    m_cache[key] = {tokens, std::prev(m_lru.end())};
    m_cached_total += tokens;
}

void engine_model::drop(const std::string& key)
{
    const auto found = m_cache.find(key);
    if (found == m_cache.end())
        return;
    m_cached_total -= found->second.m_tokens;
    m_lru.erase(found->second.m_place);
    m_cache.erase(found);
}

} // namespace pepperturn::standin
