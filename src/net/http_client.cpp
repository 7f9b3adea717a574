// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_client.hpp"

#include "pepperturn/forward/event_boundary.hpp"
#include "pepperturn/http/response_reader.hpp"
#include "pepperturn/net/client_connection.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cpprest/base_uri.h>
#include <thread>

namespace pepperturn {

namespace {

using detail::client_connection;
using detail::parse_base_url;
using response_parser = http::response_parser<http::buffer_body>;

constexpr unsigned status_ok = 200;
/// Until \ref start_http_threads says otherwise.
constexpr unsigned default_threads = 4;
constexpr std::size_t piece_bytes = 8192;
/// What is buffered of a reply at most, in bytes.
constexpr std::uint64_t max_buffered_bytes = 64U << 20U;

/// Threads, idle connections and certificates, shared by all requests. Never
/// destroyed: requests may be under way when the process ends.
struct client_core
{
    client_core()
    {
        m_tls.set_default_verify_paths();
        m_tls.set_verify_mode(asio::ssl::verify_peer);
    }

    void run(unsigned threads)
    {
        for (unsigned i = 0; i < threads; ++i)
            std::thread([this] { m_io.run(); }).detach();
    }

    asio::io_context m_io;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{
        m_io.get_executor()};
    asio::ssl::context m_tls{asio::ssl::context::tls_client};
    detail::idle_connections m_idle;
    std::once_flag m_started;
};

client_core& core()
{
    static auto* const shared = new client_core;
    return *shared;
}

client_core& running_core()
{
    auto& shared = core();
    std::call_once(shared.m_started, [&] { shared.run(default_threads); });
    return shared;
}

/// One request and what has come of it so far.
struct transfer
{
    http_fetch m_request;
    /// Gets the bytes of a success; empty: they are buffered.
    std::function<void(std::string_view)> m_on_bytes;
    http_done m_done;
    http_result m_result;
    /// A reply of events; what a success's body is looked at for.
    std::optional<event_boundary> m_events;
    bool m_ends_by_close = false;

    [[nodiscard]] bool is_streamed() const
    {
        return m_on_bytes && m_result.m_status == status_ok;
    }
    void finish(transfer_end end, const std::string& reason)
    {
        // A part of a body is none.
        if (end != transfer_end::complete)
            m_result.m_body.clear();
        m_result.m_end = end;
        m_result.m_reason = reason;
        if (const auto done = std::exchange(m_done, nullptr))
            done(m_result);
    }
};

using transfer_ptr = std::shared_ptr<transfer>;

std::string host_header(const detail::server_address& server)
{
    const bool ipv6 = server.m_host.find(':') != std::string::npos;
    const auto host = ipv6 ? '[' + server.m_host + ']' : server.m_host;
    return host + ':' + server.m_port;
}

http::request<http::string_body> make_request(const http_fetch& from,
                                              const detail::server_address& to)
{
    constexpr unsigned http_1_1 = 11;
    http::request<http::string_body> out;
    out.version(http_1_1);
    out.method_string(from.m_method);
    out.target(to.m_path_prefix + from.m_path);
    out.set(http::field::host, host_header(to));
    for (const auto& [name, value] : from.m_headers)
        out.insert(name, value);
    if (!from.m_body.empty())
        out.set(http::field::content_type, from.m_content_type);
    out.body() = from.m_body;
    out.prepare_payload();
    out.keep_alive(!from.m_fresh_connection);
    return out;
}

/// What is no request must not be written: its bytes would become another one.
const char* find_fault(const http_fetch& request)
{
    if (!is_token(request.m_method))
        return "the method is no token";
    if (!request.m_path.starts_with('/') || !web::uri::validate(request.m_path))
        return "the path is not valid";
    for (const auto& [name, value] : request.m_headers)
    {
        if (!is_token(name) || !is_field_value(value))
            return "a header is not valid";
    }
    return nullptr;
}

/// Takes from the head what the body is judged by.
void begin_body(transfer& work, const response_parser& parser)
{
    const auto& head = parser.get();
    work.m_result.m_status = static_cast<int>(head.result_int());
    work.m_ends_by_close = parser.need_eof();
    const auto type = head[http::field::content_type];
    // A failure's text has no events to look for, nor has what is coded in
    // another way.
    if (!work.m_on_bytes && head.result_int() == status_ok &&
        head.count(http::field::content_encoding) == 0 &&
        boost::algorithm::istarts_with(type, "text/event-stream"))
        work.m_events.emplace();
}

/// Why a body whose framing has ended is not complete; null if it is.
const char* find_missing_end(const transfer& work)
{
    if (!work.m_events)
        return nullptr;
    if (work.m_events->inside_event())
        return "the stream ended inside an event";
    if (work.m_ends_by_close && work.m_events->complete_events() == 0)
        return "the connection closed before the first event";
    return nullptr;
}

/// \returns false if the reply is longer than what may be buffered
bool take_piece(transfer& work, std::string_view bytes)
{
    if (work.is_streamed())
    {
        work.m_on_bytes(bytes);
        return true;
    }
    if (work.m_events)
        (void)work.m_events->consume(bytes);
    work.m_result.m_body += bytes;
    return work.m_result.m_body.size() <= max_buffered_bytes;
}

/// Reads the body.
/// \returns why it is not complete; empty if it is
template <class Stream>
task<std::string> read_body(Stream& stream, client_connection& connection,
                            response_parser& parser, transfer& work)
{
    std::array<char, piece_bytes> piece;
    while (!parser.is_done())
    {
        error_code ec;
        connection.lowest().expires_after(work.m_request.m_timeout);
        const auto count = co_await read_body_piece(
            stream, connection.m_buffer, parser, asio::buffer(piece), ec);
        if (count > 0 && !take_piece(work, {piece.data(), count}))
            co_return "the reply is longer than what may be buffered";
        if (ec)
            co_return ec.message();
    }
    const char* missing = find_missing_end(work);
    co_return missing == nullptr ? std::string{} : missing;
}

/// Why there is no head of an answer; one that is broken is reported.
std::string explain_failure(transfer& work, head_fault fault, unsigned status,
                            const error_code& ec)
{
    if (fault == head_fault::none)
        return "no response head was received: " + ec.message();
    const auto& request = work.m_request;
    work.m_result.m_head_broken = true;
    return log_refused_head({request.m_base_url,
                             request.m_method + ' ' + request.m_path, fault,
                             status});
}

bool may_keep(const response_parser& parser, client_connection& connection,
              const transfer& work)
{
    return parser.keep_alive() && !work.m_request.m_fresh_connection &&
           connection.is_quiet();
}

/// Whether the request has no effect that a second sending would double.
bool may_resend(http::verb method)
{
    return method == http::verb::get || method == http::verb::head ||
           method == http::verb::put || method == http::verb::delete_;
}

/// Sends the request on an open connection and reads the reply.
/// \returns false if it is to be sent again: the connection, which had been
/// idle, ended before anything of a reply came
template <class Stream>
task<bool> exchange(Stream& stream,
                    std::shared_ptr<client_connection> connection,
                    transfer_ptr work)
{
    const auto& from = work->m_request;
    const auto request = make_request(from, connection->server());
    error_code ec;
    connection->lowest().expires_after(from.m_timeout);
    co_await http::async_write(stream, request, into(ec));
    std::optional<response_parser> parser;
    response_limits limits;
    limits.m_body_bytes = work->m_on_bytes ? UINT64_MAX : max_buffered_bytes;
    head_fault fault = head_fault::none;
    if (!ec)
    {
        connection->lowest().expires_after(from.m_timeout);
        const bool head_only = request.method() == http::verb::head;
        fault = co_await read_response_head(stream, connection->m_buffer,
                                            parser, limits, head_only, ec);
    }
    const bool nothing_came =
        connection->m_buffer.size() == 0 && (!parser || !parser->got_some());
    const bool timed_out = ec == boost::beast::error::timeout;
    if (ec && connection->m_reused && nothing_came && !timed_out &&
        may_resend(request.method()))
        co_return false;
    if (ec || fault != head_fault::none)
    {
        const auto status = parser ? parser->get().result_int() : 0;
        connection->close();
        work->finish(transfer_end::cut,
                     explain_failure(*work, fault, status, ec));
        co_return true;
    }
    begin_body(*work, *parser);
    const auto missing =
        co_await read_body(stream, *connection, *parser, *work);
    if (missing.empty() && may_keep(*parser, *connection, *work))
        core().m_idle.put_back(connection);
    else
        connection->close();
    work->finish(missing.empty() ? transfer_end::complete : transfer_end::cut,
                 missing);
    co_return true;
}

task<bool> exchange_on(std::shared_ptr<client_connection> connection,
                       transfer_ptr work)
{
    if (connection->is_tls())
        co_return co_await exchange(connection->tls_stream(), connection, work);
    co_return co_await exchange(connection->lowest(), connection, work);
}

task<> run(std::shared_ptr<client_connection> connection, transfer_ptr work)
{
    if (connection->m_reused)
    {
        const bool used = co_await exchange_on(connection, work);
        if (used)
            co_return;
        // It has most likely closed while it was idle.
        connection = std::make_shared<client_connection>(
            connection->executor(), connection->server(), core().m_tls);
    }
    error_code ec;
    co_await connection->open(work->m_request.m_timeout, ec);
    if (ec)
    {
        work->finish(transfer_end::not_sent,
                     "connecting failed: " + ec.message());
        co_return;
    }
    (void)co_await exchange_on(connection, work);
}

void begin(const transfer_ptr& work)
{
    const auto server = parse_base_url(work->m_request.m_base_url);
    const auto* fault = server ? find_fault(work->m_request)
                               : "the address is no URL of HTTP or HTTPS";
    auto& shared = running_core();
    if (fault != nullptr)
    {
        asio::post(shared.m_io, [work, fault] {
            work->finish(transfer_end::not_sent, fault);
        });
        return;
    }
    std::shared_ptr<client_connection> connection;
    if (!work->m_request.m_fresh_connection)
        connection = shared.m_idle.take(*server);
    if (!connection)
        connection = std::make_shared<client_connection>(
            asio::make_strand(shared.m_io), *server, shared.m_tls);
    asio::co_spawn(connection->executor(), run(connection, work),
                   [work](const std::exception_ptr& error) {
                       if (error)
                           work->finish(transfer_end::cut,
                                        "the HTTP client failed");
                   });
}

} // namespace

void fetch(const http_fetch& request, http_done done)
{
    auto work = std::make_shared<transfer>();
    work->m_request = request;
    work->m_done = std::move(done);
    begin(work);
}

void fetch_stream(const http_fetch& request,
                  std::function<void(std::string_view)> on_bytes,
                  http_done done)
{
    auto work = std::make_shared<transfer>();
    work->m_request = request;
    work->m_on_bytes = std::move(on_bytes);
    work->m_done = std::move(done);
    begin(work);
}

void start_http_threads(unsigned count)
{
    auto& shared = core();
    std::call_once(shared.m_started, [&] { shared.run(count); });
}

} // namespace pepperturn
