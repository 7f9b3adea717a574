// SPDX-License-Identifier: BSL-1.0
/// \file
/// How many calls a VM has under way at engines, and who waits for a place.
///
/// Load pattern: a burst in which programs begin faster than the engines work
/// them off. An engine serves its queue in the order of arrival, so that
/// every program waits at every turn and all of them miss their aim, also
/// those that were nearly done. Kept here instead, the queue lets programs
/// that have begun go on first and new ones wait.
///
/// Each VM finds its own limit from how long its calls wait for their first
/// byte: engines answer fast until their batch is full, then the wait grows
/// by the queue. By Little's law the calls under way that go with a short
/// wait are those of now, times the time a call takes with that wait over the
/// time it takes now (a delay gradient, as in adaptive concurrency limits and
/// in congestion control by delay). No news of other VMs is needed.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <limits>
#include <optional>

namespace pepperturn {

/// How long calls of one route take, lately and at best.
struct call_latency
{
    /// Smoothed wait for the first byte; 0: none yet.
    double m_first_byte_ms = 0;
    /// What the wait comes down to while engines have room.
    double m_baseline_ms = 0;
    /// Smoothed time from the first byte to the end.
    double m_run_ms = 0;

    friend bool operator==(const call_latency&, const call_latency&) = default;
};

/// Takes one call in.
[[nodiscard]] call_latency add_call(call_latency pace, double wait_ms,
                                    double run_ms);

/// The wait that a full batch explains without a queue.
[[nodiscard]] double max_unqueued_wait_ms(const call_latency& pace);

/// One VM's limit on its calls under way at engines.
struct concurrency_limit
{
    double m_limit = std::numeric_limits<double>::infinity();

    friend bool operator==(const concurrency_limit&,
                           const concurrency_limit&) = default;
};

/// The limit after a call has ended.
/// \param under_way calls of this VM at engines
[[nodiscard]] concurrency_limit adjust_limit(concurrency_limit limit,
                                             const call_latency& pace,
                                             std::uint32_t under_way);

/// Who goes first among calls that wait for a place.
enum class call_rank : std::uint8_t
{
    /// Its program has begun and may still be in time: what it has had so far
    /// would be lost.
    under_way,
    /// The first call of a program.
    first,
    /// Its program's time is over; it goes when nobody else waits.
    late
};

[[nodiscard]] const char* to_string(call_rank rank);

/// A call that waits for a place.
struct waiting_call
{
    call_rank m_rank = call_rank::first;
    /// Order of arrival.
    std::uint64_t m_sequence = 0;

    friend bool operator==(const waiting_call&, const waiting_call&) = default;
};

/// True if \p left goes before \p right: by rank, then in order of arrival.
[[nodiscard]] bool precedes(const waiting_call& left,
                            const waiting_call& right);

/// How long a call may wait for a place. A first call waits for as long as its
/// program can still be in time: how much that needs is unknown, but
/// deployments leave programs about half as long again as they take on idle
/// engines. Nobody is held for most of the time that the caller has: who is
/// not served then could have tried elsewhere.
/// \param program_left until the program should be over; empty: not told
/// \param call_left until the caller gives this call up
[[nodiscard]] milliseconds
queue_timeout(call_rank rank, std::optional<milliseconds> program_left,
              milliseconds call_left);

/// How fast a line gets shorter.
struct admission_rate
{
    /// Smoothed time from one that is let in to the next; 0: unknown.
    double m_interval_ms = 0;
    instant m_last{};

    friend bool operator==(const admission_rate&,
                           const admission_rate&) = default;
};

/// One of the line has been let in.
[[nodiscard]] admission_rate add_admission(admission_rate rate, instant now);

/// How long a call waits with \p ahead others before it. While nobody is let
/// in the expectation grows.
[[nodiscard]] milliseconds expected_wait(const admission_rate& rate,
                                         std::size_t ahead, instant now);

/// When a call that found no room may come back: once the line of now has
/// been worked off, in turns rather than all at once.
/// \param draw spreads the callers
[[nodiscard]] milliseconds retry_delay(milliseconds expected,
                                       std::uint64_t draw);

} // namespace pepperturn
