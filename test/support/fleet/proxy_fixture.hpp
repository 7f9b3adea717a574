// SPDX-License-Identifier: BSL-1.0
/// \file
/// A proxy on loopback with two scripted runners and a caller's raw
/// connection.
#pragma once

#include "pepperturn/forward/proxy.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/runner.hpp"
#include "support/fleet/stoppable_clock.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace pepperturn::test {

/// A proxy with two runners of one service and a caller's raw connection.
class proxy_fixture
{
public:
    /// \param told it knows of all suspects, as an edge VM that has run for a
    /// while does; some tests have no storage VM that could tell it
    proxy_fixture(asio::io_context& io, turn_client& turns, bool told = true)
        : m_io(io), m_turns(turns),
          m_proxy(m_io, m_time, wire_names{}, "z", m_turns), m_first(m_io),
          m_second(m_io), m_caller(m_io)
    {
        m_port = free_port(m_io);
        std::string reason;
        REQUIRE(m_proxy.listen(endpoint(), reason));
        if (told)
            m_proxy.crashes().note_told();
        m_proxy.apply_config(config(1));
        // Different zones make the choice among equal runners deterministic.
        m_proxy.set_runners({{"r1", "svc", m_first.address(), "z", 4, false},
                             {"r2", "svc", m_second.address(), "y", 4, false}});
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), m_port};
    }

    static routing_config config(std::uint64_t version)
    {
        routing_config out;
        out.m_version = version;
        const auto add = [&](const char* prefix, route_kind kind,
                             std::uint32_t attempts) {
            route row;
            row.m_name = prefix;
            row.m_host = "h";
            row.m_path_prefix = prefix;
            row.m_kind = kind;
            row.m_timeout = milliseconds(1500);
            row.m_target_latency = milliseconds(200);
            row.m_services = {{"svc", 1.0}};
            row.m_max_attempts = attempts;
            out.m_routes.push_back(row);
        };
        add("/get/", route_kind::idempotent, 2);
        add("/once/", route_kind::unrepeatable, 2);
        add("/stream/", route_kind::stream, 2);
        add("/resume/", route_kind::stream, 2);
        out.m_routes.back().m_resumable = true;
        out.m_services["svc"] = {"svc", "/health", 64, std::nullopt};
        out.m_limits.m_max_header_bytes = 2000;
        out.m_limits.m_max_body_bytes = 100000;
        out.m_limits.m_header_timeout = milliseconds(300);
        return out;
    }

    void connect()
    {
        error_code ec;
        m_caller.close(ec);
        m_caller = tcp::socket(m_io);
        m_caller.connect(endpoint(), ec);
        REQUIRE_FALSE(ec);
        m_caller.non_blocking(true);
        m_received.clear();
        m_ended = false;
    }
    void send(const std::string& bytes)
    {
        asio::co_spawn(
            m_io,
            [this, bytes]() -> task<> {
                error_code ec;
                co_await asio::async_write(m_caller, asio::buffer(bytes),
                                           into(ec));
            },
            [](const std::exception_ptr&) {});
    }
    void poll()
    {
        std::array<char, 4096> chunk{};
        error_code ec;
        const auto count = m_caller.read_some(asio::buffer(chunk), ec);
        if (!ec)
            m_received.append(chunk.data(), count);
        else if (ec != asio::error::would_block)
            m_ended = true;
    }
    bool wait_for(const std::function<bool()>& done,
                  milliseconds limit = milliseconds(5000))
    {
        return run_until(
            m_io,
            [&] {
                poll();
                return done();
            },
            limit);
    }
    /// Sends a request on a new connection and waits for the text \p end.
    std::string ask(const std::string& bytes, const std::string& end)
    {
        connect();
        send(bytes);
        CHECK(wait_for([&] {
            return m_received.find(end) != std::string::npos || m_ended;
        }));
        return m_received;
    }
    static std::string get(const std::string& path,
                           const std::string& more = {})
    {
        return "GET " + path +
               " HTTP/1.1\r\nHost: h\r\nPepperturn-Call: c1\r\n" + more +
               "\r\n";
    }
    static std::string post(const std::string& path, const std::string& body,
                            const std::string& more = {})
    {
        return "POST " + path +
               " HTTP/1.1\r\nHost: h\r\nPepperturn-Call: c1\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    asio::io_context& m_io;
    stoppable_clock m_time;
    turn_client& m_turns;
    proxy m_proxy;
    scripted_runner m_first;
    scripted_runner m_second;
    tcp::socket m_caller;
    std::uint16_t m_port = 0;
    std::string m_received;
    bool m_ended = false;
};

inline bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace pepperturn::test
