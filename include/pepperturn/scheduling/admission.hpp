// SPDX-License-Identifier: BSL-1.0
/// \file
/// Limits the calls that a VM has in progress at engines, and orders the calls
/// that wait for admission.
///
/// Load pattern: a burst in which programs begin faster than the engines can
/// finish them. An engine serves its queue in order of arrival, so every
/// program would wait at every turn and all of them would miss their
/// deadlines, including those that were nearly done. Queueing here instead
/// lets programs that have begun go first while new ones wait.
///
/// Each VM derives its own concurrency limit from the time to first byte of
/// its calls: engines answer fast until their batch is full, then the wait
/// grows with the queue. By Little's law the concurrency that goes with a
/// short wait is the current concurrency, times the duration of a call at that
/// short wait, divided by its current duration (a delay gradient, as in
/// adaptive concurrency limits and delay-based congestion control). No state
/// of other VMs is needed.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <limits>
#include <optional>

namespace pepperturn {

/// Latency of the calls of one route.
struct call_latency
{
    /// Smoothed time to first byte; 0: no samples yet.
    double m_first_byte_ms = 0;
    /// Time to first byte while engines have free slots.
    double m_baseline_ms = 0;
    /// Smoothed time from the first byte to the end.
    double m_run_ms = 0;

    friend bool operator==(const call_latency&, const call_latency&) = default;
};

/// Adds the sample of one completed call.
[[nodiscard]] call_latency add_call(call_latency latency, double first_byte_ms,
                                    double run_ms);

/// The longest time to first byte that a full batch explains without a queue.
[[nodiscard]] double max_unqueued_wait_ms(const call_latency& latency);

/// One VM's limit on its concurrent calls at engines.
struct concurrency_limit
{
    double m_limit = std::numeric_limits<double>::infinity();

    friend bool operator==(const concurrency_limit&,
                           const concurrency_limit&) = default;
};

/// The limit after a call has ended.
/// \param under_way calls of this VM in progress at engines
[[nodiscard]] concurrency_limit adjust_limit(concurrency_limit limit,
                                             const call_latency& latency,
                                             std::uint32_t under_way);

/// Admission order of waiting calls.
enum class call_rank : std::uint8_t
{
    /// Its program has begun and can still meet its deadline; refusing it
    /// would waste the work done so far.
    under_way,
    /// The first call of a program.
    first,
    /// Its program has missed its deadline; admitted only when no other call
    /// waits.
    late
};

[[nodiscard]] const char* to_string(call_rank rank);

/// A call that waits for admission.
struct waiting_call
{
    call_rank m_rank = call_rank::first;
    /// Order of arrival.
    std::uint64_t m_sequence = 0;

    friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

/// True if \p left is admitted before \p right: by rank, then in order of
/// arrival.
[[nodiscard]] bool precedes(const waiting_call& left,
                            const waiting_call& right);

/// How long a call may wait for admission. A first call may wait while its
/// program can still meet its deadline: the time that the program needs is
/// unknown, but deployments set deadlines at about one and a half times the
/// duration on idle engines. No call waits for most of its caller's time, so
/// that a refused caller can still try elsewhere.
/// \param program_left time to the program's deadline; empty: unknown
/// \param call_left time until the caller abandons this call
[[nodiscard]] milliseconds
queue_timeout(call_rank rank, std::optional<milliseconds> program_left,
              milliseconds call_left);

/// How fast a queue drains.
struct admission_rate
{
    /// Smoothed time between two admissions; 0: unknown.
    double m_interval_ms = 0;
    instant m_last{};

    friend bool operator==(const admission_rate&,
                           const admission_rate&) = default;
};

/// Records an admission from the queue.
[[nodiscard]] admission_rate add_admission(admission_rate rate, instant now);

/// Expected wait of a call with \p ahead others before it. Grows while no call
/// is admitted.
[[nodiscard]] milliseconds expected_wait(const admission_rate& rate,
                                         std::size_t ahead, instant now);

/// Retry delay of a refused call: the time until the current queue has
/// drained, spread so that callers do not return all at once.
/// \param random value that spreads the callers
[[nodiscard]] milliseconds retry_delay(milliseconds expected,
                                       std::uint64_t random);

} // namespace pepperturn
