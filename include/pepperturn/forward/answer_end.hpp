// SPDX-License-Identifier: BSL-1.0
/// \file
/// Why a caller's connection ended without a complete answer, for the log and
/// the metrics.
#pragma once

#include "pepperturn/forward/exchange.hpp"

#include <string>
#include <vector>

namespace pepperturn {

/// How the caller's side of a connection was last seen.
enum class caller_side : std::uint8_t
{
    open,
    /// It ended its connection, or the half of it that it sends on.
    closed,
    reset
};

/// Why a connection ended before a whole request was read from it.
enum class read_end : std::uint8_t
{
    /// A whole request was read.
    none,
    caller_closed,
    caller_reset,
    /// No request came within the idle time-out.
    idle_timeout,
    /// This VM stops.
    stopping
};

[[nodiscard]] const char* to_string(read_end end);
/// \param timed_out the read was cancelled by its time-out
[[nodiscard]] read_end read_end_of(const error_code& ec, bool timed_out);

/// How far a request that was read whole has come.
enum class answer_phase : std::uint8_t
{
    request_read,
    /// It was sent to a runner, which may have run it.
    passed_on,
    /// The caller has been sent a part of the answer.
    answer_begun
};

[[nodiscard]] const char* to_string(answer_phase phase);

/// Why its answer was not sent completely.
enum class answer_loss : std::uint8_t
{
    caller_closed,
    caller_reset,
    /// The caller did not read its answer in time, or too slowly for the
    /// memory that this VM has.
    not_read,
    /// There was no memory to write the answer.
    no_memory,
    /// The connection failed while the answer was written.
    write_failed,
    /// The deadline or the route's time-out.
    timeout,
    /// The runner broke off a stream that may not go on elsewhere.
    runner_broke_off,
    /// A stream was to go on at another runner, and none took it.
    no_further_runner,
    /// The answer came whole, and too few storage VMs stored the turn.
    not_stored
};

[[nodiscard]] const char* to_string(answer_loss loss);

/// What is known of a request when its connection ends.
struct answer_facts
{
    /// An attempt may have run, or is under way.
    bool m_passed_on = false;
    /// Bytes of the answer that were written.
    std::uint64_t m_answer_bytes = 0;
    abort_cause m_abort = abort_cause::none;
    caller_side m_caller = caller_side::open;
    bool m_write_failed = false;
    bool m_memory_available = true;
    bool m_not_stored = false;
    bool m_no_further_runner = false;
};

[[nodiscard]] answer_phase phase_of(const answer_facts& facts);
[[nodiscard]] answer_loss loss_of(const answer_facts& facts);

/// Why no attempt follows, or none was made.
enum class no_runner_cause : std::uint8_t
{
    /// The caller has left, or does not read its answer.
    caller_left,
    timeout,
    /// The configuration in force may be outdated.
    config_outdated,
    too_many_refusals,
    /// The limit of its workspace bears no further run.
    no_retry_quota,
    /// Runners have ended under the request.
    crash_claim,
    /// Of the runners that this VM knows, none may be used.
    none_eligible
};

[[nodiscard]] const char* to_string(no_runner_cause cause);

struct no_runner_facts
{
    abort_cause m_abort = abort_cause::none;
    bool m_deadline_reached = false;
    bool m_config_fresh = true;
    bool m_too_many_refusals = false;
    bool m_retry_denied = false;
    bool m_claim_refused = false;
};

[[nodiscard]] no_runner_cause cause_of(const no_runner_facts& facts);

/// Requests that a VM has not answered when it stops.
struct unfinished_requests
{
    std::size_t m_request_read = 0;
    std::size_t m_passed_on = 0;
    std::size_t m_answer_begun = 0;
    /// Connections on which a part of a request has arrived.
    std::size_t m_being_read = 0;
    /// Of the first of them, at most \ref max_ids.
    std::vector<std::string> m_ids;

    static constexpr std::size_t max_ids = 16;

    void add(answer_phase phase, const std::string& id);

    friend bool operator==(const unfinished_requests&,
                           const unfinished_requests&) = default;
};

/// As `key=value` pairs of a log line.
[[nodiscard]] std::string describe(const unfinished_requests& requests);

} // namespace pepperturn
