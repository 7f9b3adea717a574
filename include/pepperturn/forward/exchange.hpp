// SPDX-License-Identifier: BSL-1.0
/// \file
/// One attempt: a request goes to one runner, and its answer comes back.
#pragma once

#include "pepperturn/forward/buffer_budget.hpp"
#include "pepperturn/forward/request_head.hpp"
#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

#include <boost/beast/http/fields.hpp>
#include <functional>

namespace pepperturn {

/// Why a request is being given up from outside the attempt.
enum class abort_cause : std::uint8_t
{
    none,
    caller_left,
    timeout,
    /// The caller did not take what had come.
    not_read
};

[[nodiscard]] const char* to_string(abort_cause cause);

/// Lets others give a request up while an attempt is under way.
class abort_signal
{
public:
    void abort(abort_cause cause);
    [[nodiscard]] abort_cause cause() const
    {
        return m_cause;
    }
    /// What to do at once when the switch is pulled; empty: nothing.
    void on_abort(std::function<void()> action);

private:
    abort_cause m_cause = abort_cause::none;
    std::function<void()> m_action;
};

/// What the evidence says of an attempt.
enum class attempt_outcome : std::uint8_t
{
    /// A whole answer, or a stream that ended whole.
    answered,
    /// Certain: the runner has not run it and will not.
    not_run,
    /// The request may have run; there is no whole answer.
    unknown,
    /// Given up through the abort switch after it was sent.
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
    /// From sending to the first byte of the answer; empty: none came.
    std::optional<milliseconds> m_first_byte;
    /// From its begin to its end, a connect among it.
    milliseconds m_duration{0};
    /// No first byte came in the time that was left for it.
    bool m_first_byte_timed_out = false;
    /// Not sent: this VM has no room for what would come back.
    bool m_out_of_memory = false;
    /// Parts of a stream were passed on.
    bool m_streamed = false;
    /// For a runner that said it is full: when it thinks to have room.
    std::optional<milliseconds> m_retry_after;
    std::string m_reason;
};

/// Takes a stream while it comes. Each returns false if the caller is gone.
struct stream_sink
{
    std::function<task<bool>(const upstream_response& head)> m_begin;
    std::function<task<bool>(std::string_view bytes)> m_data;
};

struct attempt_request
{
    const caller_request& m_request;
    /// What the runner gets as body.
    std::string_view m_body;
    std::string m_request_id;
    /// Name of the route.
    std::string m_route;
    /// Answers with 200 go to the sink as they come.
    bool m_streaming = false;
    instant m_deadline{};
    /// When another runner is tried instead, if no whole answer has come.
    std::optional<instant> m_attempt_deadline;
    std::optional<std::uint32_t> m_urgency;
    /// The last event that the caller has, for a run that goes on from it.
    std::optional<std::uint64_t> m_last_event;
    /// The run is given up after this long without a first byte, then without
    /// a further one; empty: only as above, or at the deadline.
    std::optional<milliseconds> m_first_byte_timeout;
    std::optional<milliseconds> m_gap_timeout;
    /// Whose it is; see \ref attempt_head.
    bool m_strip_credentials = false;
    std::string m_workspace = {};
    /// Asked at the last moment before anything is sent; empty: yes.
    std::function<bool()> m_may_send = {};
    /// Keeps \ref m_body, which a runner may still be taking when the attempt
    /// is over.
    std::shared_ptr<const void> m_body_owner = {};
    /// Where the bytes held for it count; null: nowhere.
    std::shared_ptr<buffer_account> m_buffered = {};
    /// Asked before more of an answer is gathered: this VM can hold so many
    /// bytes more. Empty: yes.
    std::function<task<bool>(std::uint64_t)> m_wait_for_memory = {};
};

/// Runs one attempt at \p runner.
[[nodiscard]] task<attempt_result>
run_attempt(asio::io_context& io, const clock& time, upstream_pool& pool,
            runner_table& runners, const wire_names& names, runner_info runner,
            attempt_request request, stream_sink sink,
            std::shared_ptr<abort_signal> aborter);

} // namespace pepperturn
