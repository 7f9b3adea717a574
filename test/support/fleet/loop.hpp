// SPDX-License-Identifier: BSL-1.0
/// \file
/// Runs an Asio loop until a condition holds, with a limit so that a fault
/// fails the test instead of hanging it.
#pragma once

#include "pepperturn/base/async.hpp"

#include "support/fleet/listener_port.hpp"

#include <functional>
#include <optional>

namespace pepperturn::test {

/// \returns false if \p done was not true within \p limit
inline bool run_until(asio::io_context& io, const std::function<bool()>& done,
                      milliseconds limit = milliseconds(10000))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        io.restart();
        io.run_one_for(milliseconds(20));
    }
    return true;
}

/// Runs \p work to completion; empty if it takes longer than \p limit.
template <class T>
std::optional<T> run_task(asio::io_context& io, task<T> work,
                          milliseconds limit = milliseconds(10000))
{
    std::optional<T> out;
    asio::co_spawn(
        io, std::move(work),
        [&](const std::exception_ptr&, T value) { out = std::move(value); });
    run_until(
        io, [&] { return out.has_value(); }, limit);
    return out;
}

/// A port that was free a moment ago; 0 if none was found.
inline std::uint16_t free_port(asio::io_context& io)
{
    static std::mt19937 random{std::random_device{}()};
    const auto claim = claim_listener_port(io, random);
    return claim ? claim->local_endpoint().port() : 0;
}

/// Passes every connection to \p take until \p acceptor is closed.
inline task<> accept_all(tcp::acceptor& acceptor,
                         std::function<void(tcp::socket)> take)
{
    while (true)
    {
        error_code ec;
        auto socket = co_await acceptor.async_accept(into(ec));
        if (ec)
            co_return;
        take(std::move(socket));
    }
}

} // namespace pepperturn::test
