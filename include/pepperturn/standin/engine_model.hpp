// SPDX-License-Identifier: BSL-1.0
/// \file
/// A model engine reduced to what scheduling sees: continuous batching over
/// a number of slots, one prefill at a time, decoding at a steady rate, and
/// a prefix cache of limited size. Pure and driven by the time it is given,
/// so the HTTP stand-in and the experiments share it.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pepperturn::standin {

struct engine_limits
{
    std::uint32_t m_slots = 8;
    /// Tokens a second.
    double m_prefill_rate = 8000;
    double m_decode_rate = 40;
    std::uint64_t m_cache_tokens = 400000;
};

struct engine_request
{
    std::string m_id;
    std::string m_cache_key;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_output_tokens = 1;
    /// Lower goes first.
    std::int64_t m_priority = 0;
};

enum class engine_event_kind : std::uint8_t
{
    first_token,
    finished,
    evicted
};

struct engine_event
{
    engine_event_kind m_kind = engine_event_kind::finished;
    /// Request, or cache key of what was evicted.
    std::string m_id;
    instant m_at{};
    std::uint32_t m_cached_tokens = 0;
};

struct engine_load
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint64_t m_queued_tokens = 0;
};

class engine_model
{
public:
    explicit engine_model(engine_limits limits);

    void submit(const engine_request& request, instant now);
    /// False if the request is not here any more.
    bool cancel(const std::string& id, instant now);
    /// Drops every prefix whose key starts with \p prefix.
    std::uint32_t release(const std::string& prefix);

    [[nodiscard]] std::optional<instant> next_event() const;
    /// Everything that happened up to \p now, in order.
    [[nodiscard]] std::vector<engine_event> advance(instant now);

    [[nodiscard]] engine_load load() const;
    [[nodiscard]] std::uint64_t cached_tokens() const
    {
        return m_cached_total;
    }
    [[nodiscard]] const engine_limits& limits() const
    {
        return m_limits;
    }

private:
    struct running
    {
        engine_request m_request;
        std::uint32_t m_cached = 0;
        instant m_first_token{};
        instant m_finish{};
        bool m_started = false;
    };
    struct cached
    {
        std::uint32_t m_tokens = 0;
        std::list<std::string>::iterator m_place;
    };

    void admit(instant now);
    [[nodiscard]] std::uint32_t touch(const std::string& key);
    void keep(const std::string& key, std::uint32_t tokens, instant now);
    void drop(const std::string& key);

    engine_limits m_limits;
    std::uint64_t m_arrivals = 0;
    std::map<std::pair<std::int64_t, std::uint64_t>, engine_request> m_waiting;
    std::map<std::string, running> m_running;
    std::map<std::string, cached> m_cache;
    /// Least recently used first.
    std::list<std::string> m_lru;
    std::uint64_t m_cached_total = 0;
    instant m_prefill_free{};
    std::vector<engine_event> m_events;
};

} // namespace pepperturn::standin
