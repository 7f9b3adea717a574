// SPDX-License-Identifier: BSL-1.0
/// \file
/// One attempt: sends a request to one runner and reads its response.
#pragma once

#include "pepperturn/forward/buffer_budget.hpp"
#include "pepperturn/forward/request_head.hpp"
#include "pepperturn/forward/response_body.hpp"
#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

#include <boost/beast/http/fields.hpp>
#include <functional>

namespace pepperturn {

/// Why a request is aborted from outside the attempt.
enum class abort_cause : std::uint8_t
{
    none,
    caller_left,
    timeout,
    /// The caller did not read the response in time.
    not_read
};

[[nodiscard]] const char* to_string(abort_cause cause);

/// Lets other code abort a request while an attempt is in progress.
class abort_signal
{
public:
    void abort(abort_cause cause);
    [[nodiscard]] abort_cause cause() const
    {
        return m_cause;
    }
    /// Sets what \ref abort runs at once; empty: nothing.
    void on_abort(std::function<void()> action);

private:
    abort_cause m_cause = abort_cause::none;
    std::function<void()> m_action;
};

/// What is known of an attempt after its end.
enum class attempt_outcome : std::uint8_t
{
    /// A complete response, or a stream that ended completely.
    answered,
    /// Certain: the runner has not run the request and will not run it.
    not_run,
    /// The request may have run; there is no complete response.
    unknown,
    /// Aborted through the \ref abort_signal after it was sent.
    aborted
};

[[nodiscard]] const char* to_string(attempt_outcome outcome);

struct upstream_response
{
    unsigned m_status = 0;
    http::fields m_fields;
    std::string m_body;
};

struct attempt_result
{
    attempt_outcome m_outcome = attempt_outcome::unknown;
    upstream_response m_response;
    /// From sending to the first byte of the response; empty: none arrived.
    std::optional<milliseconds> m_first_byte;
    /// From the start of the attempt to its end, including a connect.
    milliseconds m_duration{0};
    /// No first byte arrived within its time-out.
    bool m_first_byte_timed_out = false;
    /// Not sent: this VM lacks the memory to buffer the response.
    bool m_out_of_memory = false;
    /// The runner sent no complete response, and was not aborted.
    bool m_broken_off = false;
    /// The response was forwarded to the caller as a stream.
    bool m_streamed = false;
    body_framing m_framing = body_framing::unknown;
    /// Events of a stream that were received whole.
    std::uint32_t m_complete_events = 0;
    /// The last bytes of a stream belong to an event whose end is missing.
    bool m_ended_inside_event = false;
    /// From a runner that refused the request: when it expects to have free
    /// capacity.
    std::optional<milliseconds> m_retry_after;
    std::string m_reason;
};

/// Receives a stream as it arrives.
struct stream_sink
{
    /// \returns false if the caller has disconnected
    std::function<task<bool>(const upstream_response& head)> m_begin;
    std::function<task<sink_result>(std::string_view bytes)> m_data;
    /// Called when the run has ended; \returns whether the stream has too
    std::function<sink_result()> m_end;
};

struct attempt_request
{
    const caller_request& m_request;
    /// Body that is sent to the runner.
    std::string_view m_body;
    std::string m_request_id;
    /// Name of the route.
    std::string m_route;
    /// Responses with status 200 are passed to the sink as they arrive.
    bool m_streaming = false;
    instant m_deadline{};
    /// When the attempt is abandoned for another runner, if no complete
    /// response has arrived.
    std::optional<instant> m_attempt_deadline;
    std::optional<std::uint32_t> m_urgency;
    /// Id of the last event that the caller has received, for a run that
    /// resumes after it.
    std::optional<std::uint64_t> m_last_event;
    /// Time-outs for the first byte, and for the gap between pieces of the
    /// body; empty: only the deadlines above apply.
    std::optional<milliseconds> m_first_byte_timeout;
    std::optional<milliseconds> m_gap_timeout;
    /// See \ref attempt_head.
    bool m_strip_credentials = false;
    std::string m_workspace = {};
    /// Checked immediately before anything is sent; empty: always true.
    std::function<bool()> m_may_send = {};
    /// Keeps \ref m_body alive, which may still be being sent when the attempt
    /// has ended.
    std::shared_ptr<const void> m_body_owner = {};
    /// Accounts for the bytes that are buffered for it; null: not accounted.
    std::shared_ptr<buffer_account> m_buffered = {};
    /// Waits until this VM can buffer so many more bytes of a response, and
    /// returns false if it cannot. Empty: always possible.
    std::function<task<bool>(std::uint64_t)> m_wait_for_memory = {};
};

/// Runs one attempt at \p runner.
[[nodiscard]] task<attempt_result>
run_attempt(asio::io_context& io, const clock& time, upstream_pool& pool,
            runner_table& runners, const wire_names& names, runner_info runner,
            attempt_request request, stream_sink sink,
            std::shared_ptr<abort_signal> aborter);

} // namespace pepperturn
