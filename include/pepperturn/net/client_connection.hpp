// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connections of the HTTP client, with or without TLS, and the pool of those
/// that wait for their next request.
#pragma once

#include "pepperturn/base/async.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <tuple>

namespace pepperturn::detail {

/// Where a base URL leads.
struct server_address
{
    bool m_tls = false;
    /// A name or an IP address.
    std::string m_host;
    std::string m_port;
    /// Before the path of each request; empty or begins with a slash.
    std::string m_path_prefix;

    friend bool operator==(const server_address&,
                           const server_address&) = default;
    friend bool operator<(const server_address& a, const server_address& b)
    {
        return std::tie(a.m_tls, a.m_host, a.m_port, a.m_path_prefix) <
               std::tie(b.m_tls, b.m_host, b.m_port, b.m_path_prefix);
    }
};

/// \returns empty if \p url is none of HTTP or HTTPS
[[nodiscard]] std::optional<server_address>
parse_base_url(const std::string& url);

/// A connection to one server. Its operations run on its executor, a strand.
class client_connection
{
public:
    /// \param tls used by connections with TLS; it must outlive this
    client_connection(const asio::any_io_executor& executor,
                      server_address server, asio::ssl::context& tls);

    /// Resolves the name, connects, and performs the TLS handshake.
    /// \param timeout of the connect, and of the handshake
    [[nodiscard]] task<> open(milliseconds timeout, error_code& ec);
    void close();

    /// The stream below TLS, or the only one.
    [[nodiscard]] boost::beast::tcp_stream& lowest();
    [[nodiscard]] bool is_tls() const
    {
        return m_tls.has_value();
    }
    [[nodiscard]] boost::beast::ssl_stream<boost::beast::tcp_stream>&
    tls_stream()
    {
        return *m_tls;
    }
    [[nodiscard]] asio::any_io_executor executor()
    {
        return lowest().get_executor();
    }
    [[nodiscard]] const server_address& server() const
    {
        return m_server;
    }
    /// Whether nothing has arrived that was not read, not even a close.
    [[nodiscard]] bool is_quiet();

    boost::beast::flat_buffer m_buffer{max_unparsed_bytes};
    bool m_reused = false;
    std::chrono::steady_clock::time_point m_idle_since;

private:
    /// Bytes that are kept while the end of a head, of a chunk's size or of
    /// trailers is missing.
    static constexpr std::size_t max_unparsed_bytes = 48U << 10U;

    server_address m_server;
    std::optional<boost::beast::tcp_stream> m_plain;
    std::optional<boost::beast::ssl_stream<boost::beast::tcp_stream>> m_tls;
};

/// Pool of connections that wait for their next request. Thread-safe.
class idle_connections
{
public:
    /// The connection that was used last; null: none is open.
    [[nodiscard]] std::shared_ptr<client_connection>
    take(const server_address& server);
    void put_back(std::shared_ptr<client_connection> connection);

private:
    std::mutex m_mutex;
    std::map<server_address, std::deque<std::shared_ptr<client_connection>>>
        m_idle;
};

} // namespace pepperturn::detail
