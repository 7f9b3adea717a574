// SPDX-License-Identifier: BSL-1.0
/// \file
/// A caller that reads at a set rate, over a connection with a small receive
/// window, so that unread data stays buffered at the VM.
#pragma once

#include "pepperturn/base/async.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <memory>

namespace pepperturn::test {

class slow_caller : public std::enable_shared_from_this<slow_caller>
{
public:
    explicit slow_caller(asio::io_context& io) : m_io(io), m_socket(io) {}

    /// Connects and sends \p request; reads nothing yet.
    void begin(const tcp::endpoint& at, const std::string& request)
    {
        constexpr int small_window = 4096;
        error_code ec;
        m_socket.open(at.protocol(), ec);
        m_socket.set_option(
            asio::socket_base::receive_buffer_size(small_window), ec);
        spawn(m_io, "slow_caller.send", send(shared_from_this(), at, request));
    }
    /// Reads \p bytes each \p interval from now on.
    void read(std::size_t bytes, milliseconds interval)
    {
        spawn(m_io, "slow_caller.read",
              read_on(shared_from_this(), bytes, interval));
    }
    [[nodiscard]] const std::string& received() const
    {
        return m_received;
    }
    [[nodiscard]] bool ended() const
    {
        return m_ended;
    }
    void close()
    {
        error_code ignored;
        m_socket.close(ignored);
    }

private:
    // Members in name only: coroutines keep what they use.
    static task<> send(std::shared_ptr<slow_caller> self, tcp::endpoint at,
                       std::string request)
    {
        error_code ec;
        co_await self->m_socket.async_connect(at, into(ec));
        co_await asio::async_write(self->m_socket, asio::buffer(request),
                                   into(ec));
    }
    static task<> read_on(std::shared_ptr<slow_caller> self, std::size_t bytes,
                          milliseconds interval)
    {
        std::string chunk(bytes, '\0');
        while (true)
        {
            error_code ec;
            const auto count = co_await self->m_socket.async_read_some(
                asio::buffer(chunk), into(ec));
            self->m_received.append(chunk.data(), count);
            if (ec)
                break;
            if (interval > milliseconds(0))
                co_await sleep_for(self->m_io, interval);
        }
        self->m_ended = true;
    }

    asio::io_context& m_io;
    tcp::socket m_socket;
    std::string m_received;
    bool m_ended = false;
};

} // namespace pepperturn::test
