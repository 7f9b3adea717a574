// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/caller_connection.hpp"

#include "pepperturn/http/response_head.hpp"
#include "pepperturn/scheduling/retry_after.hpp"

#include <array>
#include <glog/logging.h>
#include <sys/socket.h>

namespace pepperturn {

namespace {

constexpr std::size_t discard_bytes = 8192;
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
request_limits limits_of(const caller_limits& limits)
{
    return {limits.m_max_header_bytes, limits.m_max_body_bytes,
            limits.m_max_header_bytes};
}

std::string head_text(const upstream_response& response, bool keep_alive)
{
    const auto connection = response.m_fields[http::field::connection];
    const hop_by_hop_names hop_by_hop({connection.data(), connection.size()});
    std::string out;
    append_status_line(out, response.m_status);
    for (const auto& row : response.m_fields)
    {
        const std::string_view name(row.name_string().data(),
                                    row.name_string().size());
        if (row.name() == http::field::content_length ||
            hop_by_hop.contains(name))
            continue;
        append_field(out, name, {row.value().data(), row.value().size()});
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
                                     memory_guard& memory, caller_table& table,
                                     std::unique_ptr<caller_slot> slot,
                                     tcp::socket socket)
    : m_time(time), m_memory(memory), m_stream(std::move(socket)),
      m_read_timer(io), m_write_timer(io),
      m_intake(table, std::move(slot), memory.budget())
{
    tune_socket(m_stream.socket(), unresponsive_timeout);
    // Writes are tried at once and wait only if the caller does not read.
    error_code ignored;
    m_stream.socket().non_blocking(true, ignored);
    m_intake.set_actions([this] { m_stream.close(); },
                         [this] {
                             error_code nothing;
                             m_stream.socket().cancel(nothing);
                         });
}

std::string caller_connection::address() const
{
    error_code ec;
    const auto endpoint = m_stream.socket().remote_endpoint(ec);
    return ec ? std::string{} : endpoint.address().to_string();
}

task<read_result> caller_connection::read_request(caller_limits limits)
{
    m_intake.begin(limits_of(limits));
    m_idle = !m_intake.reader().begun();
    m_write_deadline.reset();
    m_streaming = false;
    m_side = caller_side::open;
    m_answer_bytes = 0;
    // Not the stream's own expiry, which closes the socket: a slow caller
    // receives a response with the reason.
    set_read_timeout(m_idle ? limits.m_idle_timeout : limits.m_header_timeout);
    auto state = m_intake.advance();
    while (state != reader_state::complete && state != reader_state::refused)
    {
        if (state == reader_state::head_complete)
        {
            set_read_timeout(body_timeout);
            const bool connected = co_await begin_body();
            if (!connected)
                co_return closed(asio::error::connection_reset, false);
            state = m_intake.state();
            continue;
        }
        error_code ec;
        const auto bytes = co_await read_piece(ec);
        if (m_intake.state() == reader_state::refused)
            break;
        if (ec)
            co_return read_failed(ec);
        if (std::exchange(m_idle, false))
            set_read_timeout(limits.m_header_timeout);
        m_intake.take(bytes);
        check_pressure();
        state = m_intake.advance();
    }
    m_read_timer.cancel();
    co_return take_request();
}

read_result caller_connection::take_request()
{
    read_result out;
    if (m_intake.state() == reader_state::complete)
    {
        out.m_outcome = read_outcome::request;
        out.m_request = m_intake.serve();
        return out;
    }
    const auto& why = m_intake.reader().refusal();
    out.m_outcome = read_outcome::refused;
    out.m_status = why.m_status;
    out.m_reason = why.m_reason;
    if (out.m_status == no_memory_status)
        out.m_retry_after = retry_after_no_reply;
    out.m_request.base() = m_intake.reader().request().base();
    return out;
}

read_result caller_connection::read_failed(const error_code& ec)
{
    constexpr unsigned timed_out = 408;
    if (!m_read_timed_out || m_idle)
        return closed(ec, m_read_timed_out);
    m_intake.refuse(
        {timed_out, m_intake.state() == reader_state::body_incomplete
                        ? "request body timed out"
                        : "request head timed out"});
    return take_request();
}

read_result caller_connection::closed(const error_code& ec,
                                      bool timed_out) const
{
    read_result out;
    out.m_end = read_end_of(ec, timed_out);
    out.m_partial_bytes = m_intake.reader().received_bytes();
    return out;
}

void caller_connection::check_pressure()
{
    // Aborting a request that has not run loses the least work.
    if (m_intake.state() == reader_state::body_incomplete &&
        m_memory.level() == pressure_level::cutting &&
        !m_memory.may_read_body(m_intake.reader().request().body().size()))
        m_intake.refuse_for_memory();
}

task<bool> caller_connection::begin_body()
{
    if (m_intake.advance() != reader_state::body_incomplete)
        co_return true;
    if (!m_memory.may_read_body(m_intake.reader().announced_bytes()))
    {
        m_intake.refuse_for_memory();
        co_return true;
    }
    if (m_intake.reader().request()[http::field::expect] != "100-continue")
        co_return true;
    const bool sent =
        co_await write_all("HTTP/1.1 100 Continue\r\n\r\n", {}, 0);
    m_answer_bytes = 0;
    co_return sent;
}

task<std::string_view> caller_connection::read_piece(error_code& ec)
{
    // Shared by all connections: one that waits holds no buffer. Nothing else
    // runs before the caller of this has used the bytes.
    static thread_local std::array<char, request_reader::max_piece_bytes> piece;
    auto& socket = m_stream.socket();
    ec = asio::error::would_block;
    std::size_t count = 0;
    // What is idle has most likely sent nothing yet.
    if (!m_idle)
        count = socket.read_some(asio::buffer(piece), ec);
    while (ec == asio::error::would_block)
    {
        co_await socket.async_wait(tcp::socket::wait_read, into(ec));
        if (!ec)
            count = socket.read_some(asio::buffer(piece), ec);
    }
    co_return std::string_view(piece.data(), count);
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
    set_read_timeout(discard_timeout);
    std::array<char, discard_bytes> chunk;
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
        LOG(INFO) << "event=answer_undelivered held=" << buffered()->total()
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
            buffered()->record_read(count, m_time.now());
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
    if (!buffered()->set(buffer_kind::undelivered, charged + send_buffer_bytes))
        (void)buffered()->set(buffer_kind::undelivered, reserved);
    if (m_streaming)
        buffered()->use_reservation(buffer_kind::receive_buffer);
    buffered()->begin_reader_wait(m_time.now(), [weak = weak_from_this()] {
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
    m_write_timer.async_wait([weak = weak_from_this(), account = buffered(),
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
    buffered()->end_reader_wait(m_time.now());
    buffered()->release(buffer_kind::undelivered, UINT64_MAX);
    if (m_streaming)
        buffered()->release(buffer_kind::receive_buffer, UINT64_MAX);
}

void caller_connection::abort_connection()
{
    m_write_aborted = true;
    // After a usual close the kernel would keep the unread bytes.
    error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
}

task<bool> caller_connection::write_response(const upstream_response& answer,
                                             bool keep_alive)
{
    // Whatever gave it, its body is no answer either.
    const bool valid = is_final_status(answer.m_status);
    if (!valid)
        LOG(ERROR) << "event=response_status_replaced status="
                   << answer.m_status;
    const auto replaced =
        valid ? upstream_response{}
              : text_response(bad_gateway_status, "broken response status\n");
    const auto& response = valid ? answer : replaced;
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
