// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/async.hpp"

#include <charconv>
#include <glog/logging.h>
#include <netinet/tcp.h>

namespace pepperturn {

namespace {

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_count =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// The kernel's shortest: one second idle, then a probe a second.
constexpr int keep_alive_seconds = 1;
constexpr int keep_alive_probes = 2;
/// Waiters look again after this, whatever they wait for.
constexpr std::chrono::hours longest_wait{1};

} // namespace

void spawn(asio::io_context& io, const char* name, task<> work)
{
    asio::co_spawn(io, std::move(work),
                   [name](const std::exception_ptr& error) {
                       if (!error)
                           return;
                       try
                       {
                           std::rethrow_exception(error);
                       }
                       catch (const std::exception& caught)
                       {
                           LOG(ERROR) << "event=task_failed task=" << name
                                      << " reason=\"" << caught.what() << '"';
                       }
                   });
}

task<> sleep_for(asio::io_context& io, microseconds span)
{
    asio::steady_timer timer(io);
    timer.expires_after(span);
    error_code ec;
    co_await timer.async_wait(into(ec));
}

task<> async_event::wait_until(instant until)
{
    // The timer counts nanoseconds, which the largest instants overflow.
    const auto latest = std::chrono::steady_clock::now() + longest_wait;
    if (until < std::chrono::time_point_cast<microseconds>(latest))
        m_timer.expires_at(until);
    else
        m_timer.expires_at(latest);
    error_code ec;
    co_await m_timer.async_wait(into(ec));
}

tcp::endpoint parse_endpoint(const std::string& text, error_code& ec)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos)
    {
        const char* end = text.data() + text.size();
        const auto [rest, error] =
            std::from_chars(text.data() + colon + 1, end, port);
        if (error == std::errc{} && rest == end)
        {
            const auto address =
                asio::ip::make_address(text.substr(0, colon), ec);
            return {address, port};
        }
    }
    ec = asio::error::invalid_argument;
    return {};
}

std::string to_text(const tcp::endpoint& endpoint)
{
    std::string text = endpoint.address().to_string();
    text += ':';
    text += std::to_string(endpoint.port());
    return text;
}

bool open_listener(tcp::acceptor& acceptor, const tcp::endpoint& at,
                   std::string& reason)
{
    error_code ec;
    acceptor.open(at.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(at, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        return true;
    reason = to_text(at) + ": " + ec.message();
    return false;
}

void tune_socket(tcp::socket& socket, milliseconds silence)
{
    // Options that a socket refuses leave it slower to notice a dead peer,
    // not wrong.
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(user_timeout(static_cast<int>(silence.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(keep_idle(keep_alive_seconds), ignored);
    socket.set_option(keep_interval(keep_alive_seconds), ignored);
    socket.set_option(keep_count(keep_alive_probes), ignored);
}

} // namespace pepperturn
