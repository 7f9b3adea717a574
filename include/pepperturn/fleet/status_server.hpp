// SPDX-License-Identifier: BSL-1.0
/// \file
/// HTTP endpoint of a process: readiness (200 or 503), and its metrics under
/// /metrics.
///
/// Clients may reach it, too: it holds few connections, and the one that was
/// used longest ago is closed for a new one, so that the platform's questions
/// are answered however many clients hold connections.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/http/request_reader.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <list>

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
    struct connection
    {
        explicit connection(tcp::socket socket)
            : m_stream(std::move(socket)), m_reader(request_limits{})
        {}
        boost::beast::tcp_stream m_stream;
        request_reader m_reader;
    };

    task<> accept_callers();
    task<> serve(std::shared_ptr<connection> caller);
    /// \returns false if the connection ended before a whole request
    static task<bool> read_request(std::shared_ptr<connection> caller);
    /// Of the request that was read, or refused.
    [[nodiscard]] http::response<http::string_body>
    answer_to(request_reader& reader) const;

    asio::io_context& m_io;
    std::function<bool()> m_ready;
    std::function<std::string()> m_metrics;
    tcp::acceptor m_acceptor;
    /// The one that was used longest ago first.
    std::list<std::shared_ptr<connection>> m_connections;
};

} // namespace pepperturn
