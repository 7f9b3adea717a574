// SPDX-License-Identifier: BSL-1.0
/// \file
/// Coroutines on Asio: the task type, how one is started, and an event that
/// coroutines wait for.
#pragma once

#include <utility>

#include "pepperturn/base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

namespace pepperturn {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

template <class T = void> using task = asio::awaitable<T>;

/// Completes with \p ec set instead of throwing.
[[nodiscard]] inline auto into(error_code& ec)
{
    return asio::redirect_error(asio::use_awaitable, ec);
}

/// Runs \p work on \p io; an exception that escapes it is logged under
/// \p name, since it means that a library reported where it should not.
void spawn(asio::io_context& io, const char* name, task<> work);

/// Waits for \p span.
[[nodiscard]] task<> sleep_for(asio::io_context& io, microseconds span);

/// Wakes whoever waits, once for each notify.
class async_event
{
public:
    explicit async_event(asio::io_context& io) : m_timer(io) {}

    void notify()
    {
        m_timer.cancel();
    }
    /// Returns after the next notify or at \p until, on the steady clock.
    [[nodiscard]] task<> wait_until(instant until);

private:
    asio::steady_timer m_timer;
};

/// IP:PORT as an endpoint; the error is set if it is none.
[[nodiscard]] tcp::endpoint parse_endpoint(const std::string& text,
                                           error_code& ec);
[[nodiscard]] std::string to_text(const tcp::endpoint& endpoint);

/// Opens \p acceptor at \p at; false with \p reason set if that fails.
[[nodiscard]] bool open_listener(tcp::acceptor& acceptor,
                                 const tcp::endpoint& at, std::string& reason);

/// Bounds what the kernel keeps for a connection in each direction, in bytes:
/// it counts as this VM's memory, and left to itself the kernel keeps some
/// megabytes. For a listener it holds for what is accepted there.
template <class Socket>
void bound_buffers(Socket& socket, int send_bytes, int receive_bytes)
{
    // A socket that refuses keeps what the kernel thinks best.
    error_code ignored;
    socket.set_option(asio::socket_base::send_buffer_size(send_bytes), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(receive_bytes),
                      ignored);
}

/// No delay, and a peer that acknowledges nothing for \p silence is given up.
void tune_socket(tcp::socket& socket, milliseconds silence);

} // namespace pepperturn
