// SPDX-License-Identifier: BSL-1.0
// The stand-ins of the platform's list and of a plain service.
#include "pepperturn/standin/faults.hpp"
#include "pepperturn/standin/servers.hpp"

#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

namespace pepperturn::standin {

namespace {

using nlohmann::json;

class platform_server final : public stand_in
{
public:
    platform_server(std::uint32_t port, std::string& reason)
    {
        http_server_options options;
        options.m_port = port;
        m_server = open_http_server(
            options,
            [this](const http_call& call,
                   const std::shared_ptr<http_responder>& out) {
                handle(call, out);
            },
            reason);
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
        if (call.m_path != "/v1/vms")
        {
            out->reply(404, {}, "{}");
            return;
        }
        const auto now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        if (call.m_method == "PUT")
        {
            const auto list = json::parse(call.m_body, nullptr, false);
            if (!list.is_object())
            {
                out->reply(400, {}, "{\"error\":\"expected an object\"}");
                return;
            }
            m_lists.emplace_back(now, call.m_body);
            out->reply(200, {}, "{}");
            return;
        }
        const milliseconds lag(m_faults.get("lag_ms"));
        while (m_lists.size() > 1 && m_lists[1].first <= now - lag)
            m_lists.pop_front();
        out->reply(200, {}, m_lists.front().second);
    }

    fault_switches m_faults;
    system_clock m_clock;
    std::mutex m_mutex;
    std::deque<std::pair<instant, std::string>> m_lists{
        {instant{}, "{\"vms\":[],\"leaving_runners\":[]}"}};
    std::unique_ptr<http_server> m_server;
};

/// Counts each distinct body, which is how the tests see a doubled effect.
class service_server final : public stand_in
{
public:
    service_server(std::uint32_t port, std::string& reason)
    {
        http_server_options options;
        options.m_port = port;
        m_server = open_http_server(
            options,
            [this](const http_call& call,
                   const std::shared_ptr<http_responder>& out) {
                handle(call, out);
            },
            reason);
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
        if (call.m_path == "/standin/effects")
        {
            const std::lock_guard lock(m_mutex);
            out->reply(200, {}, json(m_effects).dump());
            return;
        }
        std::uint64_t count = 0;
        {
            const std::lock_guard lock(m_mutex);
            count = ++m_effects[call.m_path + " " + call.m_body];
        }
        const long delay = m_faults.get("delay_ms");
        if (delay > 0)
            std::this_thread::sleep_for(milliseconds(delay));
        if (m_faults.take_one("lose_answers") > 0)
        {
            // The status came, the body did not.
            out->begin(500, {});
            out->break_off();
            return;
        }
        out->reply(200, {},
                   json{{"path", call.m_path}, {"count", count}}.dump());
    }

    fault_switches m_faults;
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_effects;
    std::unique_ptr<http_server> m_server;
};

template <class Server>
std::unique_ptr<stand_in> open(std::uint32_t port, std::string& reason)
{
    auto out = std::make_unique<Server>(port, reason);
    if (out->port() == 0)
        return nullptr;
    return out;
}

} // namespace

std::unique_ptr<stand_in> open_platform(std::uint32_t port, std::string& reason)
{
    return open<platform_server>(port, reason);
}

std::unique_ptr<stand_in> open_service(std::uint32_t port, std::string& reason)
{
    return open<service_server>(port, reason);
}

} // namespace pepperturn::standin
