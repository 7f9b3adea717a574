// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/status_server.hpp"

#include <array>
#include <boost/beast/http.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr milliseconds idle_timeout{30000};
constexpr milliseconds accept_retry{100};
/// The platform and an operator use one or two.
constexpr std::size_t max_connections = 32;
constexpr std::size_t read_bytes = 1024;
/// Questions have short heads and no body.
constexpr request_limits limits{8192, 4096, 4096};
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
        if (ec)
        {
            co_await sleep_for(m_io, accept_retry);
            continue;
        }
        if (m_connections.size() >= max_connections)
            m_connections.front()->m_stream.close();
        const auto caller = std::make_shared<connection>(std::move(socket));
        m_connections.push_back(caller);
        spawn(m_io, "status_server.serve", serve(caller));
    }
}

task<bool> status_server::read_request(std::shared_ptr<connection> caller)
{
    auto& reader = caller->m_reader;
    reader.begin(limits);
    auto state = reader.advance();
    std::array<char, read_bytes> piece;
    while (state != reader_state::complete && state != reader_state::refused)
    {
        if (state != reader_state::head_complete)
        {
            error_code ec;
            const auto count = co_await caller->m_stream.async_read_some(
                asio::buffer(piece), into(ec));
            if (ec)
                co_return false;
            reader.feed({piece.data(), count});
        }
        state = reader.advance();
    }
    co_return true;
}

task<> status_server::serve(std::shared_ptr<connection> caller)
{
    bool keep_open = true;
    while (keep_open)
    {
        // Also bounds how slowly a request may come, and an answer be read.
        caller->m_stream.expires_after(idle_timeout);
        const bool arrived = co_await read_request(caller);
        if (!arrived)
            break;
        auto answer = answer_to(caller->m_reader);
        keep_open = answer.keep_alive();
        error_code ec;
        co_await http::async_write(caller->m_stream, answer, into(ec));
        keep_open = keep_open && !ec;
        // The connection that was used last is closed last.
        m_connections.remove(caller);
        m_connections.push_back(caller);
    }
    caller->m_stream.close();
    m_connections.remove(caller);
}

http::response<http::string_body>
status_server::answer_to(request_reader& reader) const
{
    http::response<http::string_body> out;
    if (reader.state() == reader_state::refused)
    {
        out.result(reader.refusal().m_status);
        out.body() = reader.refusal().m_reason;
        out.keep_alive(false);
        out.prepare_payload();
        return out;
    }
    const auto request = reader.release();
    out.version(request.version());
    if (request.target() == metrics_path)
        out.body() = m_metrics();
    else
        out.result(m_ready() ? http::status::ok
                             : http::status::service_unavailable);
    out.keep_alive(request.keep_alive());
    out.prepare_payload();
    return out;
}

} // namespace pepperturn
