// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/exchange.hpp"

#include "pepperturn/forward/response_body.hpp"
#include "pepperturn/http/response_reader.hpp"

#include <boost/asio/write.hpp>

namespace pepperturn {

namespace {

/// A connect takes one round trip; a runner beyond a network partition never
/// replies.
constexpr milliseconds connect_timeout{250};
/// Bodies up to this size in bytes fit into the send buffer, so that writing
/// them cannot block on the runner's reads.
constexpr std::size_t inline_write_bytes = 8192;
constexpr std::size_t max_response_bytes = 16U << 20U;
/// A long body times out if the runner has not read it within 1/send_share of
/// the remaining time, since too little would be left for its response; below
/// the minimum, the runner may merely be busy.
constexpr int send_share = 2;
constexpr milliseconds min_send_timeout{1000};
/// How long a connection is kept if the runner states no time-out; most
/// servers keep idle connections for five seconds or more.
constexpr milliseconds default_keep_alive{4000};
/// Longer times that a head states are taken for this one.
constexpr seconds max_stated_time{3600};
/// The runner's close may already be in flight this long before its time-out.
constexpr milliseconds keep_alive_margin{500};

/// An attempt that is aborted without a first byte after at least this long is
/// counted against the runner; sooner, it says something of the caller only.
constexpr milliseconds min_unresponsive_time{900};
constexpr unsigned first_server_error = 500;

/// State of one attempt on one connection.
struct attempt_state
{
    std::shared_ptr<upstream_connection> m_connection;
    std::string m_head;
    std::string_view m_async_body;
    /// Keeps the body alive.
    std::shared_ptr<const void> m_owner;
    std::shared_ptr<buffer_account> m_held;
    bool m_written = false;
    /// The connection failed under the request. The system reports such an
    /// error once: a read that comes after it sees an ordinary close.
    bool m_write_failed = false;
    bool m_response_started = false;
    /// Aborted because the runner did not read the request in time.
    bool m_send_timed_out = false;
};

std::string_view field(const http::fields& fields, const std::string& name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

milliseconds keep_alive_time(const http::fields& fields)
{
    const auto value = fields["Keep-Alive"];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return default_keep_alive;
    const auto digits = text.substr(at + key.size());
    const auto seconds_kept =
        parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (!seconds_kept)
        return default_keep_alive;
    constexpr std::uint64_t limit = max_stated_time.count();
    return seconds(std::min(*seconds_kept, limit)) - keep_alive_margin;
}

std::optional<milliseconds> retry_after(const http::fields& fields)
{
    const auto value = fields[http::field::retry_after];
    char* end = nullptr;
    const std::string text(value.data(), value.size());
    const double stated = std::strtod(text.c_str(), &end);
    if (text.empty() || end == text.c_str() || !(stated >= 0))
        return std::nullopt;
    constexpr double limit = max_stated_time.count();
    return milliseconds(
        static_cast<std::int64_t>(std::min(stated, limit) * 1000));
}

/// Writes head and body while the response may already be arriving.
/// \param timeout for a runner that neither reads the body nor responds
task<> write_async(asio::io_context& io, std::shared_ptr<attempt_state> state,
                   milliseconds timeout)
{
    asio::steady_timer timer(io);
    timer.expires_after(timeout);
    timer.async_wait([state](error_code ec) {
        if (ec || state->m_response_started || state->m_written)
            return;
        state->m_send_timed_out = true;
        state->m_connection->m_stream.close();
    });
    error_code ec;
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(state->m_head),
        asio::buffer(state->m_async_body.data(), state->m_async_body.size())};
    co_await asio::async_write(state->m_connection->m_stream.socket(), parts,
                               into(ec));
    timer.cancel();
    if (state->m_held)
        state->m_held->release(buffer_kind::unsent_body,
                               upstream_pool::send_buffer_bytes);
    state->m_owner.reset();
    state->m_held.reset();
    state->m_written = !ec;
    state->m_write_failed = static_cast<bool>(ec);
}

/// Reserves memory for the first piece of a response and for what the kernel
/// buffers of it while it is not read; accounts for what the kernel buffers of
/// a long body.
/// \returns false if there is not enough memory
bool reserve_memory(buffer_account& account, std::size_t body_bytes)
{
    const bool late = body_bytes > inline_write_bytes;
    if (!account.reserve(buffer_kind::receive_buffer,
                         upstream_pool::receive_buffer_bytes))
        return false;
    if (!account.reserve_more(buffer_kind::response, detail::read_bytes))
        return false;
    return !late || account.add(buffer_kind::unsent_body,
                                upstream_pool::send_buffer_bytes);
}

/// Releases what an attempt reserved and did not use.
void release_reservations(buffer_account& account)
{
    account.end_reservation(buffer_kind::receive_buffer);
    account.end_reservation(buffer_kind::response);
    account.clear_blocked();
}

/// Sends the request; large bodies are still being sent after the return.
task<bool> send_request(asio::io_context& io,
                        std::shared_ptr<attempt_state> state,
                        std::string_view body, milliseconds left)
{
    if (body.size() > inline_write_bytes)
    {
        state->m_async_body = body;
        if (!state->m_owner)
        {
            auto own = std::make_shared<std::string>(body);
            state->m_async_body = *own;
            state->m_owner = std::move(own);
        }
        spawn(io, "exchange.write",
              write_async(io, state,
                          std::max(min_send_timeout, left / send_share)));
        co_return true;
    }
    error_code ec;
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(state->m_head), asio::buffer(body.data(), body.size())};
    co_await asio::async_write(state->m_connection->m_stream, parts, into(ec));
    state->m_written = !ec;
    state->m_write_failed = static_cast<bool>(ec);
    co_return !ec;
}

/// Why a head that is not broken is no answer to the request \p id; empty: it
/// is one.
std::string find_fault(const http::response_header<>& head,
                       const wire_names& names, const std::string& id)
{
    if (field(head, names.m_request_id) != id)
        return "answer of another request";
    if (head.count(http::field::content_encoding) > 0)
        return "encoded answer";
    if (head.result_int() / 100 == 2 && field(head, names.m_signature).empty())
        return "unsigned answer";
    return {};
}

/// Whether the status states that the request has not run.
bool claims_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

const char* to_string(abort_cause cause)
{
    switch (cause)
    {
    case abort_cause::none:
        return "none";
    case abort_cause::caller_left:
        return "caller_left";
    case abort_cause::timeout:
        return "timeout";
    case abort_cause::not_read:
        return "not_read";
    }
    return "unknown";
}

const char* to_string(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::answered:
        return "answered";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::unknown:
        return "unknown";
    case attempt_outcome::aborted:
        return "aborted";
    }
    return "unknown";
}

void abort_signal::abort(abort_cause cause)
{
    if (m_cause != abort_cause::none)
        return;
    m_cause = cause;
    if (const auto action = std::exchange(m_action, nullptr))
        action();
}

void abort_signal::on_abort(std::function<void()> action)
{
    m_action = std::move(action);
}

task<attempt_result> run_attempt(asio::io_context& io, const clock& time,
                                 upstream_pool& pool, runner_table& runners,
                                 const wire_names& names, runner_info runner,
                                 attempt_request request, stream_sink sink,
                                 std::shared_ptr<abort_signal> aborter)
{
    attempt_result result;
    const auto state = std::make_shared<attempt_state>();
    state->m_connection = pool.take(runner.m_id);
    if (!state->m_connection)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(
            request.m_deadline - time.now());
        error_code error;
        state->m_connection = co_await pool.connect(
            runner.m_address, std::min(connect_timeout, left), error);
        if (state->m_connection)
            runners.record_alive(runner.m_id, time.now());
        result.m_reason = "connect failed: " + error.message();
    }
    if (!state->m_connection)
    {
        // Nothing was sent, so the request cannot have run.
        result.m_outcome = attempt_outcome::not_run;
        runners.record_failure(runner.m_id, time.now());
        co_return result;
    }
    result.m_reason.clear();
    auto& connection = *state->m_connection;
    const bool may_send = !request.m_may_send || request.m_may_send();
    if (aborter->cause() != abort_cause::none || !may_send)
    {
        result.m_outcome = attempt_outcome::not_run;
        result.m_reason =
            may_send
                ? to_string(aborter->cause())
                : "configuration became too old before the request was sent";
        pool.put_back(runner.m_id, state->m_connection, keep_alive_margin);
        co_return result;
    }
    if (request.m_buffered &&
        !reserve_memory(*request.m_buffered, request.m_body.size()))
    {
        release_reservations(*request.m_buffered);
        result.m_outcome = attempt_outcome::not_run;
        result.m_out_of_memory = true;
        result.m_reason = "not enough memory on this VM to buffer the response";
        pool.put_back(runner.m_id, state->m_connection, keep_alive_margin);
        co_return result;
    }
    aborter->on_abort([kept = state->m_connection] { kept->m_stream.close(); });
    const auto sent_at = time.now();
    const auto left = std::max(
        milliseconds(1),
        std::chrono::duration_cast<milliseconds>(request.m_deadline - sent_at));
    state->m_head =
        upstream_head(request.m_request,
                      {runner.m_id, left, request.m_body.size(),
                       request.m_urgency, request.m_last_event,
                       request.m_strip_credentials, request.m_workspace},
                      names);
    runners.record_request_start(runner.m_id);
    state->m_owner = request.m_body_owner;
    state->m_held = request.m_buffered;
    (void)co_await send_request(io, state, request.m_body, left);

    if (request.m_first_byte_timeout)
        connection.m_stream.expires_after(*request.m_first_byte_timeout);
    else if (request.m_attempt_deadline)
        connection.m_stream.expires_after(*request.m_attempt_deadline -
                                          time.now());
    std::optional<detail::response_parser> reader;
    response_limits limits;
    // Limited below where it is buffered; a stream has no limit.
    limits.m_body_bytes = std::uint64_t{1} << 62U;
    error_code ec;
    const auto broken = co_await read_response_head(
        connection.m_stream, connection.m_buffer, reader, limits, false, ec);
    auto& parser = *reader;
    std::string fault;
    if (broken != head_fault::none)
        fault = log_refused_head({runner.m_id, request.m_request_id, broken,
                                  parser.get().result_int()});
    state->m_response_started = !ec;
    result.m_first_byte_timed_out = ec == boost::beast::error::timeout;
    if (request.m_first_byte_timeout && request.m_attempt_deadline)
        connection.m_stream.expires_after(*request.m_attempt_deadline -
                                          time.now());
    if (!ec)
    {
        result.m_first_byte = elapsed(sent_at, time.now());
        runners.record_alive(runner.m_id, time.now());
    }
    if (!ec && fault.empty())
    {
        runners.record_first_byte(runner.m_id, request.m_route,
                                  *result.m_first_byte);
        fault = find_fault(parser.get().base(), names, request.m_request_id);
    }
    const bool head_good = !ec && fault.empty();
    detail::body_read body;
    if (head_good)
    {
        const auto& head = parser.get();
        result.m_framing = detail::framing_of(parser);
        result.m_response.m_status = head.result_int();
        result.m_response.m_fields = head.base();
        const bool stream = request.m_streaming &&
                            result.m_response.m_status == detail::status_ok;
        detail::body_sink body_out;
        body_out.m_write = [&](std::string_view bytes) -> task<sink_result> {
            result.m_response.m_body += bytes;
            // Within what was reserved for the response.
            if (request.m_buffered)
                (void)request.m_buffered->add(buffer_kind::response,
                                              bytes.size());
            co_return result.m_response.m_body.size() <= max_response_bytes
                ? sink_result::accepted
                : sink_result::too_long;
        };
        body_out.m_reserve = [&]() -> task<bool> {
            if (!request.m_wait_for_memory)
                co_return true;
            co_return co_await request.m_wait_for_memory(detail::read_bytes);
        };
        if (stream)
        {
            result.m_streamed = true;
            body_out = {sink.m_data, {}};
            if (!co_await sink.m_begin(result.m_response))
                body.m_sink_result = sink_result::caller_disconnected;
        }
        event_boundary events;
        auto* tracked =
            detail::has_events(head.base(), stream) ? &events : nullptr;
        // A stated length tells before any of it is read.
        const auto length = parser.content_length();
        if (!stream && length && *length > max_response_bytes)
        {
            body.m_sink_result = sink_result::too_long;
            body.m_reason = to_string(body.m_sink_result);
        }
        if (body.m_sink_result == sink_result::accepted)
            body =
                co_await detail::read_body(state->m_connection, parser, tracked,
                                           request.m_gap_timeout, body_out);
        const auto* missing =
            body.m_complete
                ? detail::find_missing_end(result.m_framing,
                                           state->m_write_failed, tracked)
                : nullptr;
        if (missing == nullptr && body.m_complete && stream)
        {
            body.m_sink_result = sink.m_end();
            if (body.m_sink_result != sink_result::accepted)
                missing = to_string(body.m_sink_result);
        }
        if (missing != nullptr)
        {
            body.m_complete = false;
            body.m_reason = missing;
        }
        result.m_complete_events = events.complete_events();
        result.m_ended_inside_event = events.inside_event();
        if (body.m_sink_result == sink_result::too_long)
            body.m_out_of_memory = true;
    }
    if (request.m_buffered)
        release_reservations(*request.m_buffered);
    aborter->on_abort(nullptr);
    runners.record_request_end(runner.m_id);
    // Those of the head: the parser adds trailers to its own.
    const auto& fields = result.m_response.m_fields;
    const bool surplus = connection.m_buffer.size() > 0;
    const bool reusable = body.m_complete && state->m_written && !surplus &&
                          parser.get().keep_alive() && !parser.get().need_eof();
    if (reusable && keep_alive_time(fields) > milliseconds(0))
        pool.put_back(runner.m_id, state->m_connection,
                      keep_alive_time(fields));
    else
        connection.m_stream.close();

    const bool caller_disconnected =
        body.m_sink_result == sink_result::caller_disconnected;
    if (aborter->cause() != abort_cause::none || caller_disconnected)
    {
        if (aborter->cause() == abort_cause::none)
            aborter->abort(abort_cause::caller_left);
        if (!head_good && time.now() - sent_at >= min_unresponsive_time)
        {
            runners.record_result(runner.m_id, false, time.now());
            // Engines send nothing while they process long prompts.
            if (aborter->cause() == abort_cause::timeout &&
                !request.m_streaming)
                runners.record_failure(runner.m_id, time.now());
        }
        result.m_outcome = attempt_outcome::aborted;
        result.m_reason = to_string(aborter->cause());
        co_return result;
    }
    const unsigned status = result.m_response.m_status;
    // A runner that has begun a stream has run the request, whatever it says.
    const bool refused =
        head_good && !result.m_streamed &&
        (status == 421 || !field(fields, names.m_not_run).empty());
    if (refused)
    {
        result.m_outcome = attempt_outcome::not_run;
        result.m_reason =
            "the runner refused the request: status " + std::to_string(status);
        result.m_retry_after = retry_after(fields);
        runners.record_full(runner.m_id, time.now());
        co_return result;
    }
    const bool good = body.m_out_of_memory ||
                      (body.m_complete && status < first_server_error);
    runners.record_result(runner.m_id, good, time.now());
    if (body.m_complete)
    {
        // A claim of not having run that the runner did not mark with the
        // header is not passed on.
        result.m_outcome = claims_not_run(status) ? attempt_outcome::unknown
                                                  : attempt_outcome::answered;
        result.m_reason = "status " + std::to_string(status);
        co_return result;
    }
    result.m_broken_off = !body.m_out_of_memory;
    result.m_reason =
        !fault.empty() ? fault
        : state->m_send_timed_out
            ? "the runner did not read the request body in time"
        : ec ? "reading the response head failed: " + ec.message()
             : "reading the response body failed: " + body.m_reason;
    if (!body.m_out_of_memory)
        runners.record_failure(runner.m_id, time.now());
    co_return result;
}

} // namespace pepperturn
