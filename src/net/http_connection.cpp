// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/http_connection.hpp"

#include "pepperturn/http/response_head.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace pepperturn::detail {

namespace {

constexpr std::chrono::seconds handshake_timeout{10};
constexpr std::chrono::seconds idle_timeout{60};
constexpr std::chrono::seconds head_timeout{10};
/// A body of the maximum size arrives in this time over a slow link.
constexpr std::chrono::seconds body_timeout{60};
/// A client takes a piece of an answer in this time, or is given up.
constexpr std::chrono::seconds piece_timeout{30};
constexpr std::size_t piece_bytes = 64U << 10U;
/// How long the rest of a refused request is read: a close with unread bytes
/// would discard the refusal before the client has read it.
constexpr std::chrono::milliseconds discard_timeout{500};
constexpr unsigned length_required = 411;
constexpr unsigned bad_request = 400;

std::string refusal_text(const request_refusal& why)
{
    const std::string body = R"({"error":{"message":")" + why.m_reason +
                             R"(","type":"invalid_request"}})";
    std::string out;
    append_status_line(out, why.m_status);
    out += "Content-Type: application/json\r\nPepperturn-Outcome: not_run"
           "\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n";
    if (why.m_status == no_memory_status)
        out += "Retry-After: 1\r\n";
    return out + "\r\n" + body;
}

request_limits limits_of(const http_server_options& options)
{
    return {options.m_max_header_bytes, options.m_max_body_bytes,
            options.m_max_header_bytes};
}

} // namespace

http_core::http_core(http_server_options options)
    : m_options(std::move(options)),
      m_budget(std::make_shared<buffer_budget>(m_options.m_max_buffered_bytes)),
      m_table(m_time, m_budget)
{
    m_budget->set_intake_bound(m_options.m_max_buffered_bytes);
    m_table.set_limits(m_options.m_max_connections, 0);
}

http_connection::http_connection(std::shared_ptr<http_core> core,
                                 std::unique_ptr<caller_slot> slot,
                                 tcp::socket socket)
    : m_core(std::move(core)),
      m_intake(m_core->m_table, std::move(slot), m_core->m_budget),
      m_changed(m_core->m_io)
{
    if (m_core->m_tls)
        m_tls.emplace(boost::beast::tcp_stream(std::move(socket)),
                      *m_core->m_tls);
    else
        m_plain.emplace(std::move(socket));
    m_intake.set_actions([this] { close(); }, [this] { lowest().cancel(); });
}

boost::beast::tcp_stream& http_connection::lowest()
{
    return m_tls ? m_tls->next_layer() : *m_plain;
}

void http_connection::close()
{
    lowest().close();
    m_broken = true;
    m_changed.notify();
}

void http_connection::close_if_idle()
{
    if (!m_serving)
        close();
}

task<> http_connection::serve()
{
    const auto self = shared_from_this();
    const bool secure = co_await handshake();
    bool go_on = secure;
    while (go_on && !m_core->m_closing)
    {
        const auto end = co_await read_request();
        if (end == read_end::refused)
            co_await refuse();
        if (end != read_end::complete)
            break;
        go_on = co_await answer_request();
    }
    close();
}

task<bool> http_connection::handshake()
{
    if (!m_tls)
        co_return true;
    error_code ec;
    lowest().expires_after(handshake_timeout);
    co_await m_tls->async_handshake(asio::ssl::stream_base::server, into(ec));
    co_return !ec;
}

task<std::size_t> http_connection::read_some(error_code& ec)
{
    const auto buffer = asio::buffer(m_piece);
    if (m_tls)
        co_return co_await m_tls->async_read_some(buffer, into(ec));
    co_return co_await m_plain->async_read_some(buffer, into(ec));
}

task<http_connection::read_end> http_connection::read_request()
{
    m_intake.begin(limits_of(m_core->m_options));
    bool idle = !m_intake.reader().begun();
    lowest().expires_after(idle ? idle_timeout : head_timeout);
    auto state = m_intake.advance();
    while (state != reader_state::complete && state != reader_state::refused)
    {
        if (state == reader_state::head_complete)
        {
            co_await begin_body();
            state = m_intake.state();
            continue;
        }
        error_code ec;
        const auto count = co_await read_some(ec);
        if (m_intake.state() == reader_state::refused)
            break;
        if (ec)
            co_return read_end::closed;
        if (std::exchange(idle, false))
            lowest().expires_after(head_timeout);
        m_intake.take({m_piece.data(), count});
        state = m_intake.advance();
    }
    co_return m_intake.state() == reader_state::complete ? read_end::complete
                                                         : read_end::refused;
}

task<> http_connection::begin_body()
{
    lowest().expires_after(body_timeout);
    if (m_intake.advance() == reader_state::refused)
        co_return;
    const auto& request = m_intake.reader().request();
    if (request.count(http::field::transfer_encoding) > 0)
    {
        m_intake.refuse({length_required, "Content-Length is required"});
        co_return;
    }
    if (m_intake.state() != reader_state::body_incomplete ||
        request[http::field::expect] != "100-continue")
        co_return;
    const bool sent = co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    if (!sent)
        close();
    lowest().expires_after(body_timeout);
}

task<bool> http_connection::answer_request()
{
    m_serving = true;
    lowest().expires_never();
    auto request = m_intake.serve();
    const bool keep_alive = request.keep_alive();
    const bool chunked = request.version() > 10;
    auto call = decode_call(std::move(request));
    if (!call)
    {
        m_intake.refuse(
            {bad_request, "the target of the request is not valid"});
        co_await refuse();
        co_return false;
    }
    m_finished = false;
    m_broken = false;
    // Kept by the handler alone: its end is the end of the answer.
    m_core->m_handle(std::move(*call),
                     make_responder(m_core, shared_from_this(), ++m_request,
                                    keep_alive, chunked));
    co_await write_queued();
    m_serving = false;
    co_return !m_broken && keep_alive;
}

void http_connection::send(std::uint64_t request, std::string bytes,
                           std::shared_ptr<std::atomic<std::uint64_t>> unread)
{
    if (request != m_request || m_finished)
        return;
    m_queue.push_back({std::move(bytes), std::move(unread)});
    m_changed.notify();
}

void http_connection::finish(std::uint64_t request, bool broken)
{
    if (request != m_request || m_finished)
        return;
    m_finished = true;
    m_broken = m_broken || broken;
    m_changed.notify();
}

task<> http_connection::write_queued()
{
    bool connected = true;
    while (!m_finished || !m_queue.empty())
    {
        if (m_queue.empty())
        {
            co_await m_changed.wait_until(instant::max());
            continue;
        }
        auto piece = std::move(m_queue.front());
        m_queue.pop_front();
        if (connected)
            connected = co_await write(piece.m_bytes);
        if (!piece.m_unread)
            continue;
        *piece.m_unread -= connected ? piece.m_bytes.size() : 0;
        // Counted as unread for ever: the responder then takes no more.
        if (!connected)
            *piece.m_unread = UINT64_MAX / 2;
    }
    m_broken = m_broken || !connected;
}

task<bool> http_connection::write(std::string_view bytes)
{
    error_code ec;
    while (!bytes.empty() && !ec)
    {
        const auto part =
            asio::buffer(bytes.data(), std::min(bytes.size(), piece_bytes));
        lowest().expires_after(piece_timeout);
        std::size_t count = 0;
        if (m_tls)
            count = co_await asio::async_write(*m_tls, part, into(ec));
        else
            count = co_await asio::async_write(*m_plain, part, into(ec));
        bytes.remove_prefix(count);
    }
    lowest().expires_never();
    co_return !ec;
}

task<> http_connection::refuse()
{
    const auto text = refusal_text(m_intake.reader().refusal());
    const bool sent = co_await write(text);
    if (!sent || m_tls)
        co_return;
    error_code ec;
    lowest().socket().shutdown(tcp::socket::shutdown_send, ec);
    lowest().expires_after(discard_timeout);
    while (!ec)
        co_await read_some(ec);
}

} // namespace pepperturn::detail
