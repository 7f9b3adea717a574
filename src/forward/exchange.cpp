// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/exchange.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace pepperturn {

namespace {

using answer_parser = http::response_parser<http::buffer_body>;

/// A connect is over in a round trip; a runner behind a cut never answers.
constexpr milliseconds connect_patience{250};
/// Bodies up to this fit into the send window, so that writing them cannot
/// wait for the runner's reader.
constexpr std::size_t inline_write_bytes = 8192;
constexpr std::size_t read_bytes = 8192;
constexpr std::size_t max_answer_bytes = 16U << 20U;
/// A long body that a runner has not taken after this share of the time left
/// leaves too little for its answer; sooner than the least it is only busy.
constexpr int take_share = 2;
constexpr milliseconds least_take_patience{1000};
constexpr std::uint32_t max_answer_head_bytes = 32U << 10U;
/// Kept without a stated time; most servers keep five seconds or more.
constexpr milliseconds default_keep{4000};
/// The runner's close may already be on its way this long before its time.
constexpr milliseconds keep_margin{500};

/// An attempt given up without a first byte after this long says something
/// of the runner, not only of the caller.
constexpr milliseconds telling_silence{900};
constexpr unsigned first_server_error = 500;

/// State of one attempt on one connection.
struct attempt_state
{
    std::shared_ptr<upstream_connection> m_connection;
    std::string m_head;
    std::string_view m_late_body;
    /// Keeps the body.
    std::shared_ptr<const void> m_owner;
    std::shared_ptr<buffer_account> m_held;
    bool m_written = false;
    bool m_answered = false;
    /// Given up because the runner did not take the request.
    bool m_untaken = false;
};

std::string_view field(const http::fields& fields, const std::string& name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

milliseconds keep_time(const http::fields& fields)
{
    const auto value = fields["Keep-Alive"];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return default_keep;
    const auto digits = text.substr(at + key.size());
    const auto seconds_kept =
        parse_number(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (!seconds_kept)
        return default_keep;
    return milliseconds(*seconds_kept * 1000) - keep_margin;
}

std::optional<milliseconds> retry_after(const http::fields& fields)
{
    const auto value = fields[http::field::retry_after];
    char* end = nullptr;
    const std::string text(value.data(), value.size());
    const double seconds_left = std::strtod(text.c_str(), &end);
    if (text.empty() || end == text.c_str() || !(seconds_left >= 0))
        return std::nullopt;
    return milliseconds(static_cast<std::int64_t>(seconds_left * 1000));
}

/// Writes head and body while the answer may already be coming.
/// \param patience for a runner that neither takes the body nor answers
task<> write_late(asio::io_context& io, std::shared_ptr<attempt_state> state,
                  milliseconds patience)
{
    asio::steady_timer timer(io);
    timer.expires_after(patience);
    timer.async_wait([state](error_code ec) {
        if (ec || state->m_answered || state->m_written)
            return;
        state->m_untaken = true;
        state->m_connection->m_stream.close();
    });
    error_code ec;
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(state->m_head),
        asio::buffer(state->m_late_body.data(), state->m_late_body.size())};
    co_await asio::async_write(state->m_connection->m_stream.socket(), parts,
                               into(ec));
    timer.cancel();
    if (state->m_held)
        state->m_held->release(buffer_kind::unsent_body,
                               upstream_pool::send_buffer_bytes);
    state->m_owner.reset();
    state->m_held.reset();
    state->m_written = !ec;
}

/// Reserves room for a first piece of an answer, and for what the kernel has
/// of it while it is not read on; holds what the kernel keeps of a long body.
/// \returns false if there is no room
bool reserve_room(buffer_account& held, std::size_t body_bytes)
{
    const bool late = body_bytes > inline_write_bytes;
    if (!held.reserve(buffer_kind::receive_buffer,
                      upstream_pool::receive_buffer_bytes))
        return false;
    if (!held.reserve_more(buffer_kind::response, read_bytes))
        return false;
    return !late ||
           held.add(buffer_kind::unsent_body, upstream_pool::send_buffer_bytes);
}

/// Gives back what an attempt reserved and did not use.
void end_reserve(buffer_account& held)
{
    held.end_reservation(buffer_kind::receive_buffer);
    held.end_reservation(buffer_kind::response);
    held.clear_blocked();
}

/// Sends the request; large bodies go on being sent after the return.
task<bool> send_request(asio::io_context& io,
                        std::shared_ptr<attempt_state> state,
                        std::string_view body, milliseconds left)
{
    if (body.size() > inline_write_bytes)
    {
        state->m_late_body = body;
        if (!state->m_owner)
        {
            auto own = std::make_shared<std::string>(body);
            state->m_late_body = *own;
            state->m_owner = std::move(own);
        }
        spawn(io, "exchange.write",
              write_late(io, state,
                         std::max(least_take_patience, left / take_share)));
        co_return true;
    }
    error_code ec;
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(state->m_head), asio::buffer(body.data(), body.size())};
    co_await asio::async_write(state->m_connection->m_stream, parts, into(ec));
    state->m_written = !ec;
    co_return !ec;
}

/// Null if the head is this request's own, else what is wrong.
const char* find_fault(const http::response_header<>& head,
                       const wire_names& names, const std::string& id)
{
    if (field(head, names.m_request_id) != id)
        return "answer of another request";
    if (head.count(http::field::content_encoding) > 0)
        return "encoded answer";
    if (head.result_int() / 100 == 2 && field(head, names.m_signature).empty())
        return "unsigned answer";
    return nullptr;
}

/// Statuses that promise that nothing has run.
bool is_promise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

struct body_read
{
    bool m_whole = false;
    bool m_caller_gone = false;
    /// This VM could not hold the answer; that says nothing of the runner.
    bool m_no_room = false;
    std::string m_reason;
};

/// Takes a body as it comes.
struct body_sink
{
    std::function<task<bool>(std::string_view)> m_take;
    /// Asked for room beyond the first piece; empty: nothing is kept.
    std::function<task<bool>()> m_room;
};

/// Passes the body on as it comes.
/// \param gap_patience longest wait for each piece; empty: no limit
task<body_read> read_body(std::shared_ptr<attempt_state> state,
                          answer_parser& parser,
                          std::optional<milliseconds> gap_patience,
                          body_sink sink)
{
    body_read out;
    std::array<char, read_bytes> chunk;
    auto room = chunk.size();
    auto& connection = *state->m_connection;
    while (!parser.is_done())
    {
        if (room == 0)
        {
            out.m_no_room = !co_await sink.m_room();
            room = chunk.size();
        }
        if (out.m_no_room)
        {
            out.m_reason = "longer than this VM can hold";
            co_return out;
        }
        parser.get().body().data = chunk.data();
        parser.get().body().size = room;
        error_code ec;
        if (gap_patience)
            connection.m_stream.expires_after(*gap_patience);
        co_await http::async_read_some(connection.m_stream, connection.m_buffer,
                                       parser, into(ec));
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
        {
            out.m_reason = ec.message();
            co_return out;
        }
        const auto count = room - parser.get().body().size;
        if (sink.m_room)
            room -= count;
        if (count > 0 &&
            !co_await sink.m_take(std::string_view(chunk.data(), count)))
        {
            out.m_caller_gone = true;
            co_return out;
        }
    }
    out.m_whole = true;
    co_return out;
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
        state->m_connection = co_await pool.connect(
            runner.m_address, std::min(connect_patience, left),
            result.m_reason);
    }
    if (!state->m_connection)
    {
        // Nothing was sent, so nothing can have run.
        result.m_outcome = attempt_outcome::not_run;
        result.m_reason = "connect: " + result.m_reason;
        runners.record_failure(runner.m_id, time.now());
        co_return result;
    }
    auto& connection = *state->m_connection;
    const bool may_send = !request.m_may_send || request.m_may_send();
    if (aborter->cause() != abort_cause::none || !may_send)
    {
        result.m_outcome = attempt_outcome::not_run;
        result.m_reason =
            may_send ? to_string(aborter->cause()) : "may not be sent now";
        pool.put_back(runner.m_id, state->m_connection, keep_margin);
        co_return result;
    }
    if (request.m_buffered &&
        !reserve_room(*request.m_buffered, request.m_body.size()))
    {
        end_reserve(*request.m_buffered);
        result.m_outcome = attempt_outcome::not_run;
        result.m_out_of_memory = true;
        result.m_reason = "no memory for its answer";
        pool.put_back(runner.m_id, state->m_connection, keep_margin);
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
        connection.m_stream.expires_at(*request.m_attempt_deadline);
    answer_parser parser;
    parser.header_limit(max_answer_head_bytes);
    // Bounded where it is gathered; a stream has no bound.
    parser.body_limit(std::uint64_t{1} << 62U);
    error_code ec;
    co_await http::async_read_header(connection.m_stream, connection.m_buffer,
                                     parser, into(ec));
    const char* fault = nullptr;
    state->m_answered = !ec;
    result.m_first_byte_timed_out = ec == boost::beast::error::timeout;
    if (request.m_first_byte_timeout && request.m_attempt_deadline)
        connection.m_stream.expires_at(*request.m_attempt_deadline);
    if (!ec)
    {
        result.m_first_byte = elapsed(sent_at, time.now());
        runners.record_first_byte(runner.m_id, request.m_route,
                                  *result.m_first_byte);
        fault = find_fault(parser.get().base(), names, request.m_request_id);
    }
    const bool head_good = !ec && fault == nullptr;
    body_read body;
    if (head_good)
    {
        const auto& head = parser.get();
        result.m_response.m_status = head.result_int();
        result.m_response.m_fields = head.base();
        const bool stream =
            request.m_streaming && result.m_response.m_status == 200;
        body_sink gathered;
        gathered.m_take = [&](std::string_view bytes) -> task<bool> {
            result.m_response.m_body += bytes;
            // Within what was reserved for it.
            if (request.m_buffered)
                (void)request.m_buffered->add(buffer_kind::response,
                                              bytes.size());
            co_return result.m_response.m_body.size() <= max_answer_bytes;
        };
        gathered.m_room = [&]() -> task<bool> {
            if (!request.m_wait_for_memory)
                co_return true;
            co_return co_await request.m_wait_for_memory(read_bytes);
        };
        if (stream)
        {
            result.m_streamed = true;
            gathered = {sink.m_data, {}};
            if (!co_await sink.m_begin(result.m_response))
                body.m_caller_gone = true;
        }
        if (!body.m_caller_gone)
            body = co_await read_body(state, parser, request.m_gap_timeout,
                                      gathered);
        if (!stream && std::exchange(body.m_caller_gone, false))
        {
            body.m_no_room = true;
            body.m_reason = "longer than any answer may be";
        }
    }
    if (request.m_buffered)
        end_reserve(*request.m_buffered);
    aborter->on_abort(nullptr);
    runners.record_request_end(runner.m_id);
    const bool surplus = connection.m_buffer.size() > 0;
    const bool reusable = body.m_whole && state->m_written && !surplus &&
                          parser.get().keep_alive() && !parser.get().need_eof();
    if (reusable && keep_time(parser.get().base()) > milliseconds(0))
        pool.put_back(runner.m_id, state->m_connection,
                      keep_time(parser.get().base()));
    else
        connection.m_stream.close();

    if (aborter->cause() != abort_cause::none || body.m_caller_gone)
    {
        if (aborter->cause() == abort_cause::none)
            aborter->abort(abort_cause::caller_left);
        if (!head_good && time.now() - sent_at >= telling_silence)
        {
            runners.record_result(runner.m_id, false, time.now());
            // Engines are silent while they read long prompts.
            if (aborter->cause() == abort_cause::timeout &&
                !request.m_streaming)
                runners.record_failure(runner.m_id, time.now());
        }
        result.m_outcome = attempt_outcome::aborted;
        result.m_reason = to_string(aborter->cause());
        co_return result;
    }
    const unsigned status = result.m_response.m_status;
    const bool refused =
        head_good &&
        (status == 421 || !field(parser.get().base(), names.m_not_run).empty());
    if (refused)
    {
        result.m_outcome = attempt_outcome::not_run;
        result.m_reason = "refused " + std::to_string(status);
        result.m_retry_after = retry_after(parser.get().base());
        runners.record_full(runner.m_id, time.now());
        co_return result;
    }
    const bool good =
        body.m_no_room || (body.m_whole && status < first_server_error);
    runners.record_result(runner.m_id, good, time.now());
    if (body.m_whole)
    {
        // A promise that the runner did not sign as one is not passed on.
        result.m_outcome = is_promise(status) ? attempt_outcome::unknown
                                              : attempt_outcome::answered;
        result.m_reason = "status " + std::to_string(status);
        co_return result;
    }
    result.m_reason = fault != nullptr   ? fault
                      : state->m_untaken ? "request not taken"
                      : ec               ? "head: " + ec.message()
                                         : "body: " + body.m_reason;
    if (!body.m_no_room)
        runners.record_failure(runner.m_id, time.now());
    co_return result;
}

} // namespace pepperturn
