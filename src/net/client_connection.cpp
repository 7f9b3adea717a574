// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/client_connection.hpp"

#include <boost/asio/ssl/host_name_verification.hpp>
#include <cpprest/base_uri.h>
#include <sys/socket.h>

namespace pepperturn::detail {

namespace {

/// Engines keep idle connections for five seconds or more.
constexpr std::chrono::seconds max_idle_time{30};
/// For each server; one that many calls used at once keeps no more.
constexpr std::size_t max_idle_connections = 64;

/// An IP address needs no resolver, which serves one name after the other.
task<tcp::resolver::results_type> resolve(asio::any_io_executor executor,
                                          std::string host, std::string port,
                                          error_code& ec)
{
    const auto address = asio::ip::make_address(host, ec);
    if (!ec)
    {
        const auto number = static_cast<std::uint16_t>(std::stoul(port));
        co_return tcp::resolver::results_type::create(
            tcp::endpoint(address, number), host, port);
    }
    tcp::resolver resolver(executor);
    co_return co_await resolver.async_resolve(host, port, into(ec));
}

} // namespace

std::optional<server_address> parse_base_url(const std::string& url)
{
    if (!web::uri::validate(url))
        return std::nullopt;
    const web::uri parsed(url);
    server_address out;
    out.m_tls = parsed.scheme() == "https";
    out.m_host = parsed.host();
    if (out.m_host.starts_with('[') && out.m_host.ends_with(']'))
        out.m_host = out.m_host.substr(1, out.m_host.size() - 2);
    if (out.m_host.empty() || (!out.m_tls && parsed.scheme() != "http"))
        return std::nullopt;
    constexpr int http_port = 80;
    constexpr int https_port = 443;
    const int usual_port = out.m_tls ? https_port : http_port;
    out.m_port =
        std::to_string(parsed.is_port_default() ? usual_port : parsed.port());
    out.m_path_prefix = parsed.path();
    while (out.m_path_prefix.ends_with('/'))
        out.m_path_prefix.pop_back();
    return out;
}

client_connection::client_connection(const asio::any_io_executor& executor,
                                     server_address server,
                                     asio::ssl::context& tls)
    : m_server(std::move(server))
{
    if (m_server.m_tls)
        m_tls.emplace(boost::beast::tcp_stream(executor), tls);
    else
        m_plain.emplace(executor);
}

boost::beast::tcp_stream& client_connection::lowest()
{
    return m_tls ? m_tls->next_layer() : *m_plain;
}

task<> client_connection::open(milliseconds timeout, error_code& ec)
{
    const auto endpoints =
        co_await resolve(executor(), m_server.m_host, m_server.m_port, ec);
    if (ec)
        co_return;
    lowest().expires_after(timeout);
    co_await lowest().async_connect(endpoints, into(ec));
    if (ec)
        co_return;
    error_code ignored;
    lowest().socket().set_option(tcp::no_delay(true), ignored);
    if (!m_tls)
        co_return;
    // The extension names hosts, not addresses (RFC 6066, 3).
    asio::ip::make_address(m_server.m_host, ignored);
    if (ignored)
        SSL_set_tlsext_host_name(m_tls->native_handle(),
                                 m_server.m_host.c_str());
    m_tls->set_verify_callback(
        asio::ssl::host_name_verification(m_server.m_host));
    lowest().expires_after(timeout);
    co_await m_tls->async_handshake(asio::ssl::stream_base::client, into(ec));
}

void client_connection::close()
{
    lowest().close();
}

bool client_connection::is_quiet()
{
    if (m_buffer.size() > 0)
        return false;
    char byte = 0;
    const auto count = recv(lowest().socket().native_handle(), &byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::shared_ptr<client_connection>
idle_connections::take(const server_address& server)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    while (!idle.empty())
    {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection->m_idle_since <= max_idle_time &&
            connection->is_quiet())
        {
            connection->m_reused = true;
            return connection;
        }
    }
    m_idle.erase(found);
    return nullptr;
}

void idle_connections::put_back(std::shared_ptr<client_connection> connection)
{
    const auto now = std::chrono::steady_clock::now();
    connection->m_idle_since = now;
    connection->lowest().expires_never();
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idle[connection->server()];
    idle.push_back(std::move(connection));
    while (idle.size() > max_idle_connections ||
           now - idle.front()->m_idle_since > max_idle_time)
        idle.pop_front();
}

} // namespace pepperturn::detail
