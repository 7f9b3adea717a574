// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/status_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

namespace http = boost::beast::http;

constexpr milliseconds idle_timeout{30000};
constexpr const char* metrics_path = "/metrics";

} // namespace

status_server::status_server(asio::io_context& io, std::function<bool()> ready,
                             std::function<std::string()> metrics)
    : m_io(io), m_ready(std::move(ready)), m_metrics(std::move(metrics)),
      m_acceptor(io)
{}

bool status_server::listen(const tcp::endpoint& at, std::string& reason)
{
    if (!open_listener(m_acceptor, at, reason))
        return false;
    spawn(m_io, "status_server.accept", accept_callers());
    return true;
}

void status_server::listen_optional(const std::string& address)
{
    if (address.empty())
        return;
    std::string reason;
    error_code ec;
    const auto endpoint = parse_endpoint(address, ec);
    if (ec)
        reason = ec.message();
    else if (listen(endpoint, reason))
        return;
    LOG(WARNING) << "event=metrics_unavailable address=" << address
                 << " reason=\"" << reason << '"';
}

task<> status_server::accept_callers()
{
    while (true)
    {
        error_code ec;
        auto socket = co_await m_acceptor.async_accept(into(ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (!ec)
            spawn(m_io, "status_server.serve", serve(std::move(socket)));
    }
}

task<> status_server::serve(tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    bool keep_open = true;
    while (keep_open)
    {
        error_code ec;
        http::request<http::string_body> request;
        stream.expires_after(idle_timeout);
        co_await http::async_read(stream, buffer, request, into(ec));
        if (ec)
            break;
        http::response<http::string_body> response;
        response.version(request.version());
        if (request.target() == metrics_path)
            response.body() = m_metrics();
        else
            response.result(m_ready() ? http::status::ok
                                      : http::status::service_unavailable);
        keep_open = request.keep_alive();
        response.keep_alive(keep_open);
        response.prepare_payload();
        co_await http::async_write(stream, response, into(ec));
        keep_open = keep_open && !ec;
    }
    stream.close();
}

} // namespace pepperturn
