// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/caller_connection.hpp"

#include "pepperturn/scheduling/retry_after.hpp"

#include <array>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <glog/logging.h>
#include <sys/socket.h>

namespace pepperturn {

namespace {

constexpr std::size_t read_bytes = 8192;
/// Write time-out for responses to requests without a known deadline, which
/// are short.
constexpr milliseconds default_write_timeout{10000};
/// The kernel treats a caller as dead that leaves bytes unacknowledged, or its
/// receive window closed, for this long. Longer than usual deadlines, so that a
/// caller that resumes reading in time gets its response.
constexpr milliseconds unresponsive_timeout{10000};
/// How often the deadline of a write is checked once the machine's clock has
/// reached it and the clock in use has not.
constexpr milliseconds deadline_recheck{20};
/// How long the rest of a refused request is read.
constexpr milliseconds discard_timeout{500};
/// A body of the maximum size arrives in this time over a slow link.
constexpr milliseconds body_timeout{10000};
/// The parser reads at most this many bytes at once.
constexpr std::size_t max_read_bytes = 64U << 10U;
constexpr std::string_view head_end = "\r\n\r\n";

std::string_view view_of(const boost::beast::flat_buffer& buffer)
{
    return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

read_result refusal(unsigned status, std::string reason)
{
    read_result out;
    out.m_outcome = read_outcome::refused;
    out.m_status = status;
    out.m_reason = std::move(reason);
    return out;
}

read_result closed(const error_code& ec, bool timed_out, std::size_t bytes)
{
    read_result out;
    out.m_end = read_end_of(ec, timed_out);
    out.m_partial_bytes = bytes;
    return out;
}

std::string head_text(const upstream_response& response, bool keep_alive)
{
    const auto reason =
        http::obsolete_reason(http::int_to_status(response.m_status));
    const auto connection = response.m_fields[http::field::connection];
    std::string out = "HTTP/1.1 " + std::to_string(response.m_status) + ' ';
    out.append(reason.data(), reason.size());
    out += "\r\n";
    for (const auto& row : response.m_fields)
    {
        const std::string_view name(row.name_string().data(),
                                    row.name_string().size());
        if (row.name() == http::field::content_length ||
            is_hop_by_hop(name, {connection.data(), connection.size()}))
            continue;
        out += name;
        out += ": ";
        out.append(row.value().data(), row.value().size());
        out += "\r\n";
    }
    if (!keep_alive)
        out += "Connection: close\r\n";
    return out;
}

} // namespace

upstream_response text_response(unsigned status, const std::string& text)
{
    upstream_response out;
    out.m_status = status;
    out.m_fields.set(http::field::content_type, "text/plain");
    out.m_body = text;
    return out;
}

caller_connection::caller_connection(asio::io_context& io, const clock& time,
                                     memory_guard& memory, tcp::socket socket)
    : m_time(time), m_memory(memory), m_stream(std::move(socket)),
      m_read_timer(io), m_write_timer(io),
      m_buffered(std::make_shared<buffer_account>(memory.budget()))
{
    tune_socket(m_stream.socket(), unresponsive_timeout);
    // Writes are tried at once and wait only if the caller does not read.
    error_code ignored;
    m_stream.socket().non_blocking(true, ignored);
}

std::string caller_connection::address() const
{
    error_code ec;
    const auto endpoint = m_stream.socket().remote_endpoint(ec);
    return ec ? std::string{} : endpoint.address().to_string();
}

task<read_result> caller_connection::read_request(caller_limits limits)
{
    m_idle = m_buffer.size() == 0;
    m_buffered = std::make_shared<buffer_account>(m_memory.budget());
    m_write_deadline.reset();
    m_streaming = false;
    m_side = caller_side::open;
    m_answer_bytes = 0;
    std::size_t searched = 0;
    std::size_t head_bytes = 0;
    // Not the stream's own expiry, which closes the socket: a slow caller
    // receives a response with the reason.
    set_read_timeout(m_idle ? limits.m_idle_timeout : limits.m_header_timeout);
    while (true)
    {
        const auto text = view_of(m_buffer);
        const auto end = text.find(head_end, searched);
        if (end != std::string_view::npos)
        {
            head_bytes = end + head_end.size();
            break;
        }
        searched = text.size() < head_end.size()
                       ? 0
                       : text.size() - head_end.size() + 1;
        if (text.size() > limits.m_max_header_bytes)
            co_return refusal(431, "request head exceeds the limit");
        error_code ec;
        const auto count = co_await m_stream.async_read_some(
            m_buffer.prepare(read_bytes), into(ec));
        if (ec && m_read_timed_out && !m_idle)
            co_return refusal(408, "request head timed out");
        if (ec)
            co_return closed(ec, m_read_timed_out, m_buffer.size());
        m_buffer.commit(count);
        if (std::exchange(m_idle, false))
            set_read_timeout(limits.m_header_timeout);
    }
    set_read_timeout(body_timeout);
    if (head_bytes > limits.m_max_header_bytes)
        co_return refusal(431, "request head exceeds the limit");
    if (const auto* fault =
            find_ambiguity(view_of(m_buffer).substr(0, head_bytes)))
        co_return refusal(400, fault);

    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.m_max_header_bytes));
    parser.body_limit(limits.m_max_body_bytes);
    error_code ec;
    co_await http::async_read_header(m_stream, m_buffer, parser, into(ec));
    if (ec)
        co_return refusal(ec == http::error::body_limit ? 413 : 400,
                          ec.message());
    const auto no_memory = [&parser] {
        auto out = refusal(503, "not enough memory for the request body");
        out.m_retry_after = retry_after_no_reply;
        out.m_request.base() = parser.get().base();
        return out;
    };
    const auto length = parser.content_length();
    // The whole body is accounted for before any of it is read.
    if (!m_memory.may_read_body(length.value_or(0)) ||
        !m_buffered->set(buffer_kind::request, length.value_or(0)))
        co_return no_memory();
    if (parser.get()[http::field::expect] == "100-continue")
    {
        const bool sent =
            co_await write_all("HTTP/1.1 100 Continue\r\n\r\n", {}, 0);
        if (!sent)
            co_return closed(asio::error::connection_reset, false, head_bytes);
        m_answer_bytes = 0;
    }
    while (!parser.is_done() && !ec)
    {
        const auto most =
            m_buffer.size() + boost::beast::read_size(m_buffer, max_read_bytes);
        if (!length && !m_buffered->set(buffer_kind::request,
                                        parser.get().body().size() + most))
            co_return no_memory();
        co_await http::async_read_some(m_stream, m_buffer, parser, into(ec));
        const auto size = parser.get().body().size();
        // Aborting a request that has not run loses the least work.
        if (!ec && !parser.is_done() &&
            m_memory.level() == pressure_level::cutting &&
            !m_memory.may_read_body(size))
            co_return no_memory();
    }
    if (ec == http::error::body_limit)
        co_return refusal(413, "request body exceeds the limit");
    if (ec && m_read_timed_out)
        co_return refusal(408, "request body timed out");
    if (ec &&
        ec.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream && ec != http::error::partial_message)
        co_return refusal(400, ec.message());
    if (ec)
        co_return closed(ec, false, head_bytes + parser.get().body().size());
    m_read_timer.cancel();
    read_result out;
    out.m_outcome = read_outcome::request;
    out.m_request = parser.release();
    // Never refused: it is no more than was accounted above.
    (void)m_buffered->set(buffer_kind::request, out.m_request.body().size());
    co_return out;
}

void caller_connection::set_read_timeout(milliseconds timeout)
{
    m_read_timed_out = false;
    m_read_timer.expires_after(timeout);
    m_read_timer.async_wait([weak = weak_from_this()](error_code ec) {
        const auto self = weak.lock();
        if (ec || !self)
            return;
        self->m_read_timed_out = true;
        error_code ignored;
        self->m_stream.socket().cancel(ignored);
    });
}

task<> caller_connection::discard_rest_of_request()
{
    error_code ec;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    m_buffer.clear();
    set_read_timeout(discard_timeout);
    std::array<char, read_bytes> chunk;
    while (!ec)
        co_await m_stream.async_read_some(asio::buffer(chunk), into(ec));
    m_read_timer.cancel();
}

task<bool> caller_connection::write_all(std::string_view head,
                                        std::string_view body,
                                        std::size_t charged)
{
    auto& socket = m_stream.socket();
    error_code ec;
    bool waits = false;
    // What the caller may leave unread: the copies here and in the kernel.
    const auto reserved =
        charged +
        std::min<std::size_t>(send_buffer_bytes, head.size() + body.size());
    m_memory_available =
        m_memory.budget()->fits(buffer_kind::undelivered, reserved);
    if (!m_memory_available)
        m_memory_available = co_await m_memory.wait_for_delivery_capacity(
            reserved, write_deadline());
    if (!m_memory_available)
    {
        LOG(INFO) << "event=answer_undelivered held=" << m_buffered->total()
                  << " asked=" << reserved << " cause=no_room held_by_all="
                  << m_memory.budget()->total();
        abort_connection();
    }
    while (!ec && !m_write_aborted && head.size() + body.size() > 0)
    {
        const std::array<asio::const_buffer, 2> rest{
            asio::buffer(head.data(), head.size()),
            asio::buffer(body.data(), body.size())};
        const auto count = socket.write_some(rest, ec);
        if (ec == asio::error::would_block)
        {
            if (!std::exchange(waits, true))
                begin_write_wait(charged, reserved);
            co_await socket.async_wait(tcp::socket::wait_write, into(ec));
            continue;
        }
        m_answer_bytes += count;
        const auto of_head = std::min(count, head.size());
        head.remove_prefix(of_head);
        body.remove_prefix(count - of_head);
        if (waits)
            m_buffered->record_read(count, m_time.now());
    }
    if (waits)
        end_write_wait();
    m_write_error = m_write_aborted ? error_code{} : ec;
    co_return !ec && !m_write_aborted;
}

instant caller_connection::write_deadline() const
{
    return m_write_deadline.value_or(m_time.now() + default_write_timeout);
}

void caller_connection::begin_write_wait(std::size_t charged,
                                         std::size_t reserved)
{
    // The kernel's buffer is full, possibly with earlier responses; no memory
    // was reserved for those, so they are accounted only as far as it fits.
    if (!m_buffered->set(buffer_kind::undelivered, charged + send_buffer_bytes))
        (void)m_buffered->set(buffer_kind::undelivered, reserved);
    if (m_streaming)
        m_buffered->use_reservation(buffer_kind::receive_buffer);
    m_buffered->begin_reader_wait(m_time.now(), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->abort_connection();
    });
    const auto deadline = write_deadline();
    watch_write_deadline(deadline, deadline - m_time.now());
}

void caller_connection::watch_write_deadline(instant deadline,
                                             microseconds wait)
{
    m_write_timer.expires_after(wait);
    m_write_timer.async_wait([weak = weak_from_this(), account = m_buffered,
                              deadline](error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || !account->waits_for_reader())
            return;
        const auto now = self->m_time.now();
        if (now < deadline)
        {
            self->watch_write_deadline(deadline, deadline_recheck);
            return;
        }
        const auto unread = account->unread(now);
        LOG(INFO) << "event=reader_cut held=" << unread.m_buffered
                  << " taken=" << unread.m_consumed
                  << " waited_ms=" << unread.m_waited.count() << " cause=time";
        account->disconnect();
    });
}

void caller_connection::end_write_wait()
{
    m_write_timer.cancel();
    m_buffered->end_reader_wait(m_time.now());
    m_buffered->release(buffer_kind::undelivered, UINT64_MAX);
    if (m_streaming)
        m_buffered->release(buffer_kind::receive_buffer, UINT64_MAX);
}

void caller_connection::abort_connection()
{
    m_write_aborted = true;
    // After a usual close the kernel would keep the unread bytes.
    error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
}

task<bool> caller_connection::write_response(const upstream_response& response,
                                             bool keep_alive)
{
    std::string text = head_text(response, keep_alive);
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    if (response.m_status != no_content && response.m_status != not_modified)
        text += "Content-Length: " + std::to_string(response.m_body.size()) +
                "\r\n";
    text += "\r\n";
    // The body is accounted already, as a buffered response.
    co_return co_await write_all(text, response.m_body, text.size());
}

task<bool> caller_connection::begin_stream(const upstream_response& head,
                                           bool keep_alive)
{
    m_streaming = true;
    auto text = head_text(head, keep_alive);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await write_all(text, {}, text.size());
}

task<bool> caller_connection::write_chunk(std::string_view bytes)
{
    constexpr std::size_t max_digits = 16;
    std::array<char, max_digits + 3> size{};
    const int count =
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(count));
    text += bytes;
    text += "\r\n";
    co_return co_await write_all(text, {}, text.size());
}

task<bool> caller_connection::end_stream()
{
    co_return co_await write_all("0\r\n\r\n", {}, 0);
}

void caller_connection::watch_for_close(
    const std::shared_ptr<abort_signal>& aborter)
{
    const auto watch = ++m_watch_generation;
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), aborter, watch](error_code ec) {
            if (ec || self->m_watch_generation != watch)
                return;
            char byte = 0;
            const auto count = recv(self->m_stream.socket().native_handle(),
                                    &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            // Bytes belong to the next request, which is read later.
            const bool gone = count == 0 || (count < 0 && errno != EAGAIN &&
                                             errno != EWOULDBLOCK);
            if (!gone)
                return;
            // What comes after another cause is no longer what ended it.
            if (aborter->cause() == abort_cause::none)
                self->m_side =
                    count == 0 ? caller_side::closed : caller_side::reset;
            aborter->abort(abort_cause::caller_left);
        });
}

void caller_connection::stop_watching()
{
    ++m_watch_generation;
    error_code ignored;
    m_stream.socket().cancel(ignored);
}

void caller_connection::close_if_idle()
{
    if (m_idle)
        m_stream.cancel();
}

void caller_connection::close()
{
    error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.close();
}

} // namespace pepperturn
