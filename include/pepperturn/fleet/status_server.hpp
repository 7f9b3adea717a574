// SPDX-License-Identifier: BSL-1.0
/// \file
/// HTTP endpoint of a process: readiness (200 or 503), and its metrics under
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
    /// Listens if it can; a failure is logged, and the process goes on without.
    /// \param address IP:PORT; empty: does not listen
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
