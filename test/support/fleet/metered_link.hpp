// SPDX-License-Identifier: BSL-1.0
/// \file
/// A TCP proxy that simulates a slow link: what all connections together bring
/// back is passed on only as far as the test allows.
#pragma once

#include "support/fleet/loop.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <memory>

namespace pepperturn::test {

class metered_link
{
public:
    explicit metered_link(asio::io_context& io) : m_io(io) {}
    ~metered_link()
    {
        error_code ignored;
        for (const auto& acceptor : m_acceptors)
            acceptor->close(ignored);
        m_state->m_ended = true;
    }
    metered_link(const metered_link&) = delete;
    metered_link& operator=(const metered_link&) = delete;

    /// Address at which connections to \p target are forwarded.
    [[nodiscard]] std::string address_of(std::uint16_t target)
    {
        const auto port = free_port(m_io);
        auto acceptor = std::make_shared<tcp::acceptor>(m_io);
        std::string reason;
        const tcp::endpoint at(asio::ip::make_address("127.0.0.1"), port);
        if (open_listener(*acceptor, at, reason))
            spawn(m_io, "metered_link.accept",
                  accept_all(*acceptor, [this, target](tcp::socket socket) {
                      join(std::move(socket), target);
                  }));
        m_acceptors.push_back(std::move(acceptor));
        return "127.0.0.1:" + std::to_string(port);
    }
    /// Lets \p bytes more pass.
    void allow(std::size_t bytes)
    {
        m_state->m_allowed += bytes;
    }
    [[nodiscard]] std::size_t allowed() const
    {
        return m_state->m_allowed;
    }

private:
    /// Outlives the proxy while bytes are in flight.
    struct shared_state
    {
        std::size_t m_allowed = 0;
        bool m_ended = false;
    };

    void join(tcp::socket accepted, std::uint16_t target)
    {
        const auto near = std::make_shared<tcp::socket>(std::move(accepted));
        const auto far = std::make_shared<tcp::socket>(m_io);
        error_code ec;
        far->connect({asio::ip::make_address("127.0.0.1"), target}, ec);
        if (ec)
            return;
        spawn(m_io, "metered_link.forth",
              pump(m_io, m_state, near, far, false));
        spawn(m_io, "metered_link.back", pump(m_io, m_state, far, near, true));
    }
    static task<> pump(asio::io_context& io,
                       std::shared_ptr<shared_state> state,
                       std::shared_ptr<tcp::socket> from,
                       std::shared_ptr<tcp::socket> to, bool metered)
    {
        error_code ec;
        std::array<char, 2048> chunk{};
        while (!ec && !state->m_ended)
        {
            while (metered && state->m_allowed == 0 && !state->m_ended)
                co_await sleep_for(io, milliseconds(2));
            const auto most = metered ? std::min(chunk.size(), state->m_allowed)
                                      : chunk.size();
            const auto count = co_await from->async_read_some(
                asio::buffer(chunk.data(), most), into(ec));
            if (metered)
                state->m_allowed -= std::min(count, state->m_allowed);
            if (!ec)
                co_await asio::async_write(
                    *to, asio::buffer(chunk.data(), count), into(ec));
        }
        error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    asio::io_context& m_io;
    std::vector<std::shared_ptr<tcp::acceptor>> m_acceptors;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

} // namespace pepperturn::test
