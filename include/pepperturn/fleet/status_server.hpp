// SPDX-License-Identifier: BSL-1.0
/// \file
/// Tiny HTTP face of a process: whether it is ready, and its figures under
/// /metrics.
#pragma once

#include "pepperturn/base/async.hpp"

#include <functional>

namespace pepperturn {

class status_server
{
public:
    status_server(asio::io_context& io, std::function<bool()> ready,
                  std::function<std::string()> metrics);

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);
    /// The same for a process that goes on without it: a fault is logged.
    /// \param address IP:PORT; empty: nowhere
    void listen_optional(const std::string& address);

private:
    task<> accept_callers();
    task<> serve(tcp::socket socket);

    asio::io_context& m_io;
    std::function<bool()> m_ready;
    std::function<std::string()> m_metrics;
    tcp::acceptor m_acceptor;
};

} // namespace pepperturn
