// SPDX-License-Identifier: BSL-1.0
/// \file
/// A TCP proxy that simulates network partitions: forwards connections to a
/// port, and holds back the bytes of either direction while it is partitioned.
#pragma once

#include "support/fleet/loop.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>
#include <set>

namespace pepperturn::test {

class partitionable_link
{
public:
    partitionable_link(asio::io_context& io, std::uint16_t target)
        : m_io(io), m_target(target), m_acceptor(io), m_port(free_port(io))
    {
        open();
    }
    ~partitionable_link()
    {
        close();
    }
    partitionable_link(const partitionable_link&) = delete;
    partitionable_link& operator=(const partitionable_link&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    void set_partitioned(bool forth, bool back)
    {
        m_state->m_partitioned = {forth, back};
    }
    /// Closes all connections; none is accepted until \ref open.
    void close()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& socket : std::exchange(m_state->m_sockets, {}))
            socket->close(ignored);
    }
    void open()
    {
        std::string reason;
        const tcp::endpoint at(asio::ip::make_address("127.0.0.1"), m_port);
        if (open_listener(m_acceptor, at, reason))
            spawn(m_io, "partitionable_link.accept",
                  accept_all(m_acceptor, [this](tcp::socket socket) {
                      join(std::move(socket));
                  }));
    }

private:
    /// Outlives the proxy while bytes are in flight.
    struct shared_state
    {
        std::array<bool, 2> m_partitioned{};
        std::set<std::shared_ptr<tcp::socket>> m_sockets;
    };

    void join(tcp::socket accepted)
    {
        const auto near = std::make_shared<tcp::socket>(std::move(accepted));
        const auto far = std::make_shared<tcp::socket>(m_io);
        error_code ec;
        far->connect({asio::ip::make_address("127.0.0.1"), m_target}, ec);
        if (ec)
            return;
        m_state->m_sockets.insert({near, far});
        spawn(m_io, "partitionable_link.forth",
              pump(m_io, m_state, near, far, 0));
        spawn(m_io, "partitionable_link.back",
              pump(m_io, m_state, far, near, 1));
    }
    static task<> pump(asio::io_context& io,
                       std::shared_ptr<shared_state> state,
                       std::shared_ptr<tcp::socket> from,
                       std::shared_ptr<tcp::socket> to, std::size_t way)
    {
        error_code ec;
        std::array<char, 4096> chunk{};
        while (!ec)
        {
            const auto count =
                co_await from->async_read_some(asio::buffer(chunk), into(ec));
            while (!ec && state->m_partitioned[way])
                co_await sleep_for(io, milliseconds(5));
            if (!ec)
                co_await asio::async_write(*to, asio::buffer(chunk, count),
                                           into(ec));
        }
        error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    asio::io_context& m_io;
    std::uint16_t m_target;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

} // namespace pepperturn::test
