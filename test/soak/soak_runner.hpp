// SPDX-License-Identifier: BSL-1.0
/// \file
/// Stand-in runner of the soak, and a loopback proxy in front of it that
/// delays, resets or silences connections.
#pragma once

#include "pepperturn/base/async.hpp"
#include "soak/world.hpp"

#include <set>

namespace pepperturn::soak {

class soak_runner
{
public:
    soak_runner(asio::io_context& io, promises& rules, std::string id,
                std::uint64_t seed);
    [[nodiscard]] const std::string& address() const
    {
        return m_address;
    }
    [[nodiscard]] const std::string& id() const
    {
        return m_id;
    }
    /// Called when a request has ended the runner: its connections are reset,
    /// and nothing listens until \ref start.
    void on_end(std::function<void()> handler)
    {
        m_on_end = std::move(handler);
    }
    void start();

private:
    task<> serve(std::shared_ptr<tcp::socket> socket);
    /// Runs a request that may end the runner.
    /// \returns whether the connection goes on
    task<bool> react(std::shared_ptr<tcp::socket> socket, std::string id,
                     std::string request);
    void end();

    asio::io_context& m_io;
    promises& m_rules;
    std::string m_id;
    std::uint64_t m_draw;
    tcp::acceptor m_acceptor;
    std::string m_address;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
    std::function<void()> m_on_end;
};

enum class proxy_mode : std::uint8_t
{
    pass,
    delay,
    /// Takes connections and says nothing.
    silent,
    /// Lets the caller's bytes through and swallows the answers.
    one_way
};

class fault_proxy
{
public:
    fault_proxy(asio::io_context& io, std::string target);
    [[nodiscard]] const std::string& address() const
    {
        return m_address;
    }
    /// Listens, or refuses connections and resets the open ones.
    void start();
    void end();
    void set_mode(proxy_mode mode)
    {
        m_mode = mode;
    }
    /// Resets every open connection.
    void reset_all();

private:
    task<> join(std::shared_ptr<tcp::socket> near);
    task<> pump(std::shared_ptr<tcp::socket> from,
                std::shared_ptr<tcp::socket> to, bool answers);

    asio::io_context& m_io;
    std::string m_target;
    tcp::acceptor m_acceptor;
    std::string m_address;
    proxy_mode m_mode = proxy_mode::pass;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
};

} // namespace pepperturn::soak
