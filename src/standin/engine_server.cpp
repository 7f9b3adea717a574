// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/standin/faults.hpp"
#include "pepperturn/standin/servers.hpp"

#include "pepperturn/base/hash.hpp"

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace pepperturn::standin {

namespace {

using nlohmann::json;

constexpr std::uint32_t default_output = 16;
constexpr std::size_t kept_events = 1024;

struct stream_row
{
    engine_request m_request;
    std::shared_ptr<http_responder> m_out;
    std::string m_greeting;
    bool m_streamed = true;
    std::uint32_t m_cached = 0;
    std::uint32_t m_sent = 0;
    instant m_first{};
    bool m_begun = false;
    std::string m_text;
};

std::string token_text(const stream_row& row, std::uint32_t index)
{
    if (index == 0)
        return row.m_greeting;
    return " w" + std::to_string(index);
}

std::uint32_t count_tokens(const json& messages)
{
    std::size_t bytes = 0;
    for (const auto& entry : messages)
        bytes += entry.value("content", std::string{}).size();
    constexpr std::size_t bytes_per_token = 4;
    constexpr std::size_t overhead = 4;
    return bytes / bytes_per_token + overhead * messages.size();
}

/// Shows the tests which history the engine saw.
std::string greeting_for(const json& messages)
{
    std::string all;
    for (const auto& entry : messages)
        all += entry.value("role", "") + ":" +
               entry.value("content", std::string{}) + "\n";
    return "seen=" + std::to_string(messages.size()) +
           " digest=" + std::to_string(hash64(all) % 1000000);
}

json chunk_of(const stream_row& row, const std::string& text, bool last)
{
    json choice{{"index", 0},
                {"delta", {{"content", text}}},
                {"finish_reason", nullptr}};
    json out{{"id", row.m_request.m_id},
             {"object", "chat.completion.chunk"},
             {"choices", json::array({choice})}};
    if (!last)
        return out;
    out["choices"][0]["delta"] = json::object();
    out["choices"][0]["finish_reason"] = "stop";
    out["usage"] = {
        {"prompt_tokens", row.m_request.m_prompt_tokens},
        {"completion_tokens", row.m_request.m_output_tokens},
        {"prompt_tokens_details", {{"cached_tokens", row.m_cached}}}};
    return out;
}

class engine_server final : public stand_in
{
public:
    engine_server(std::uint32_t port, const engine_limits& limits,
                  std::string& reason)
        : m_model(limits)
    {
        http_server_options options;
        options.m_port = port;
        options.m_max_body_bytes = 64U << 20U;
        m_server = open_http_server(
            options,
            [this](const http_call& call,
                   const std::shared_ptr<http_responder>& out) {
                handle(call, out);
            },
            reason);
        m_worker = std::thread([this] { run(); });
    }

    ~engine_server() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_all();
        m_worker.join();
    }

    [[nodiscard]] std::uint32_t port() const override
    {
        return m_server == nullptr ? 0 : m_server->port();
    }

private:
    void handle(const http_call& call,
                const std::shared_ptr<http_responder>& out)
    {
        if (m_faults.handle(call, out))
            return;
        const auto body = json::parse(call.m_body, nullptr, false);
        if (call.m_path == "/v1/chat/completions" && body.is_object())
            chat(body, out);
        else if (call.m_path == "/v1/cache/release" && body.is_object())
            release(body, out);
        else if (call.m_path == "/v1/load")
            report_load(out);
        else if (call.m_path == "/v1/cache/events")
            report_events(call, out);
        else if (call.m_path.starts_with("/v1/requests/") &&
                 call.m_method == "DELETE")
            cancel(call.m_path.substr(std::string("/v1/requests/").size()),
                   out);
        else if (call.m_path == "/standin/cache")
            report_cache(out);
        else
            out->reply(404, {}, "{\"error\":\"no such path\"}");
    }

    void chat(const json& body, const std::shared_ptr<http_responder>& out)
    {
        if (m_faults.take_one("refuse") > 0)
        {
            out->reply(503, {}, "{\"error\":\"overloaded\"}");
            return;
        }
        stream_row row;
        row.m_out = out;
        const auto& messages = body["messages"];
        row.m_request.m_id = body.value("request_id", std::string{});
        row.m_request.m_cache_key = body.value("cache_key", std::string{});
        row.m_request.m_prompt_tokens = count_tokens(messages);
        row.m_request.m_output_tokens = std::min<std::uint32_t>(
            body.value("max_tokens", default_output),
            m_faults.get("output_tokens") > 0 ? m_faults.get("output_tokens")
                                              : default_output);
        row.m_request.m_priority = body.value("priority", std::int64_t{0});
        row.m_streamed = body.value("stream", false);
        row.m_greeting = greeting_for(messages);
        const std::lock_guard lock(m_mutex);
        if (row.m_request.m_id.empty() ||
            m_streams.contains(row.m_request.m_id))
            row.m_request.m_id += "#" + std::to_string(m_next_id++);
        const auto request = row.m_request;
        m_streams[request.m_id] = std::move(row);
        m_model.submit(request, m_clock.now());
        m_wake.notify_all();
    }

    void cancel(const std::string& id,
                const std::shared_ptr<http_responder>& out)
    {
        const std::lock_guard lock(m_mutex);
        const bool found = m_model.cancel(id, m_clock.now());
        const auto row = m_streams.find(id);
        if (row != m_streams.end())
        {
            row->second.m_out->break_off();
            m_streams.erase(row);
        }
        m_wake.notify_all();
        out->reply(found ? 200 : 404, {}, "{}");
    }

    void release(const json& body, const std::shared_ptr<http_responder>& out)
    {
        const auto prefix = body.value("cache_key_prefix", std::string{});
        const auto fence = body.value("fence", std::uint64_t{0});
        const std::lock_guard lock(m_mutex);
        auto& newest = m_fences[prefix];
        if (m_faults.get("ignore_fence") == 0 && fence < newest)
        {
            out->reply(409, {}, "{\"error\":\"older fencing number\"}");
            return;
        }
        newest = std::max(newest, fence);
        if (m_faults.take_one("lose_release") > 0)
        {
            out->reply(503, {}, "{}");
            return;
        }
        const auto released = m_model.release(prefix);
        out->reply(200, {}, json{{"released", released}}.dump());
    }

    void report_load(const std::shared_ptr<http_responder>& out)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = m_clock.now();
        const milliseconds lag(m_faults.get("load_lag_ms"));
        m_loads.emplace_back(now, m_model.load());
        while (m_loads.size() > 1 && m_loads[1].first <= now - lag)
            m_loads.pop_front();
        const auto& [at, load] = m_loads.front();
        out->reply(
            200, {},
            json{{"running", load.m_running},
                 {"queued", load.m_queued},
                 {"queued_tokens", load.m_queued_tokens},
                 {"age_ms",
                  std::chrono::duration_cast<milliseconds>(now - at).count()}}
                .dump());
    }

    void report_events(const http_call& call,
                       const std::shared_ptr<http_responder>& out)
    {
        const auto since =
            call.m_query.contains("since")
                ? std::strtoull(call.m_query.at("since").c_str(), nullptr, 10)
                : 0;
        const std::lock_guard lock(m_mutex);
        json events = json::array();
        for (const auto& [seq, key] : m_evictions)
        {
            if (seq > since)
                events.push_back(
                    {{"seq", seq}, {"type", "evicted"}, {"cache_key", key}});
        }
        out->reply(200, {},
                   json{{"events", events}, {"newest", m_eviction_seq}}.dump());
    }

    void report_cache(const std::shared_ptr<http_responder>& out)
    {
        const std::lock_guard lock(m_mutex);
        out->reply(200, {},
                   json{{"cached_tokens", m_model.cached_tokens()}}.dump());
    }

    /// Sends what has been decoded by \p now; erases what is complete.
    void pump(instant now)
    {
        for (const auto& event : m_model.advance(now))
        {
            if (event.m_kind == engine_event_kind::evicted)
            {
                m_eviction_seq += 1;
                if (m_faults.take_one("lose_events") == 0)
                    m_evictions.emplace_back(m_eviction_seq, event.m_id);
                if (m_evictions.size() > kept_events)
                    m_evictions.pop_front();
                continue;
            }
            const auto row = m_streams.find(event.m_id);
            if (row == m_streams.end())
                continue;
            row->second.m_cached = event.m_cached_tokens;
            if (event.m_kind == engine_event_kind::first_token)
            {
                row->second.m_first = event.m_at;
                row->second.m_begun = true;
                if (row->second.m_streamed)
                    row->second.m_out->begin(
                        200, {{"Content-Type", "text/event-stream"}});
                continue;
            }
            send_tokens(row->second, row->second.m_request.m_output_tokens);
            finish(row->second);
            m_streams.erase(row);
        }
        send_due(now);
    }

    void send_due(instant now)
    {
        std::vector<std::string> cut;
        for (auto& [id, row] : m_streams)
        {
            if (!row.m_begun)
                continue;
            const double elapsed = to_seconds(now - row.m_first);
            const auto due =
                1 + static_cast<std::uint32_t>(
                        elapsed * m_model.limits().m_decode_rate + 1e-6);
            send_tokens(row, std::min(due, row.m_request.m_output_tokens));
            const long cut_after = m_faults.get("cut_after_tokens");
            if (cut_after > 0 && row.m_sent >= cut_after &&
                m_faults.take_one("cut_streams") > 0)
                cut.push_back(id);
        }
        for (const auto& id : cut)
        {
            m_streams.at(id).m_out->end();
            m_streams.erase(id);
            m_model.cancel(id, now);
        }
    }

    static void send_tokens(stream_row& row, std::uint32_t upto)
    {
        for (; row.m_sent < upto; ++row.m_sent)
        {
            const auto text = token_text(row, row.m_sent);
            row.m_text += text;
            if (row.m_streamed)
                row.m_out->write("data: " + chunk_of(row, text, false).dump() +
                                 "\n\n");
        }
    }

    static void finish(stream_row& row)
    {
        auto last = chunk_of(row, {}, true);
        if (row.m_streamed)
        {
            row.m_out->write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
            row.m_out->end();
            return;
        }
        last["object"] = "chat.completion";
        last["choices"][0].erase("delta");
        last["choices"][0]["message"] = {{"role", "assistant"},
                                         {"content", row.m_text}};
        row.m_out->reply(200, {}, last.dump());
    }

    [[nodiscard]] std::optional<instant> next_wake() const
    {
        auto next = m_model.next_event();
        for (const auto& [id, row] : m_streams)
        {
            if (!row.m_begun)
                continue;
            const auto at =
                row.m_first +
                from_seconds(row.m_sent / m_model.limits().m_decode_rate);
            if (!next || at < *next)
                next = at;
        }
        return next;
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping)
        {
            const auto next = next_wake();
            if (!next)
                m_wake.wait(lock);
            else if (*next > m_clock.now())
                m_wake.wait_until(lock, *next);
            if (m_faults.get("hang") == 0)
                pump(m_clock.now());
            else
                m_wake.wait_for(lock, milliseconds(20));
        }
    }

    fault_switches m_faults;
    system_clock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    engine_model m_model;
    std::map<std::string, stream_row> m_streams;
    std::map<std::string, std::uint64_t> m_fences;
    std::deque<std::pair<instant, engine_load>> m_loads;
    std::deque<std::pair<std::uint64_t, std::string>> m_evictions;
    std::uint64_t m_eviction_seq = 0;
    std::uint64_t m_next_id = 0;
    bool m_stopping = false;
    std::unique_ptr<http_server> m_server;
    std::thread m_worker;
};

} // namespace

std::unique_ptr<stand_in> open_engine(std::uint32_t port,
                                      const engine_limits& limits,
                                      std::string& reason)
{
    auto out = std::make_unique<engine_server>(port, limits, reason);
    if (out->port() == 0)
        return nullptr;
    return out;
}

} // namespace pepperturn::standin
