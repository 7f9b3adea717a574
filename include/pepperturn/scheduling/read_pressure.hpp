// SPDX-License-Identifier: BSL-1.0
/// \file
/// What a VM does when callers and runners do not read.
///
/// Load pattern: callers that take an answer a byte at a time or not at all,
/// and runners that leave long bodies unread. Whatever waits for them is this
/// VM's memory, and a VM of some ten megabytes that goes over its limit is
/// killed with every call that it has under way. So the bytes held are
/// counted, and when they near what the VM bears, the least loss comes first:
/// new connections wait for a moment, large requests are refused before they
/// have run, and at last those that read slowest are cut. A caller that reads
/// at a usual pace is never cut.
///
/// The bound is kept by reserving: what may come is counted before it is read,
/// and what finds no room is not read. Long answers stop first, then new work,
/// and the last of the room is for delivering what is ready, which is what
/// makes room again.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// Bytes that a VM may hold for its callers and runners.
/// \param memory_mb of the VM, for this process; 0: not told
[[nodiscard]] std::uint64_t buffer_limit(std::uint32_t memory_mb);

/// How near the bytes held are to the bound.
enum class pressure_level : std::uint8_t
{
    calm,
    /// New connections are read from a moment later.
    pausing,
    /// Large requests are refused too.
    refusing,
    /// The slowest readers are cut too.
    cutting
};

[[nodiscard]] const char* to_string(pressure_level level);

/// The level at \p held bytes; one that was reached is left only well below
/// where it begins, so that a VM at the edge does not change to and fro.
[[nodiscard]] pressure_level next_level(pressure_level now, std::uint64_t held,
                                        std::uint64_t bound);

/// What room is asked for.
enum class memory_use : std::uint8_t
{
    /// Requests and answers that are still to come.
    work,
    /// What is ready and goes to its caller.
    delivery
};

/// The most that may be held and reserved when room is given, in bytes.
[[nodiscard]] std::uint64_t reservation_limit(memory_use use,
                                              std::uint64_t bound);

/// A long answer may be gathered on. What it leaves free is for requests with
/// usual answers, which are taken beside any crowd that does not read.
/// \param committed bytes that are held or reserved by all
/// \param more bytes of its next piece
/// \param first it is the oldest of those that were held up
[[nodiscard]] bool may_buffer_more(pressure_level level,
                                   std::uint64_t committed, std::uint64_t bound,
                                   std::uint64_t more, bool first);

/// A body may be read.
/// \param body bytes that are still to come, as far as they are known
[[nodiscard]] bool may_read_body(pressure_level level, std::uint64_t held,
                                 std::uint64_t bound, std::uint64_t body);

/// An answer that waits for its caller.
struct unread_response
{
    /// Held for this caller, in bytes.
    std::uint64_t m_buffered = 0;
    /// Taken since the wait began, in bytes.
    std::uint64_t m_consumed = 0;
    /// Since the caller first left something unread.
    milliseconds m_waited{0};
    /// Since it last took anything.
    milliseconds m_idle{0};

    friend bool operator==(const unread_response&,
                           const unread_response&) = default;
};

/// Bytes a second that a caller takes; none once it has stopped.
[[nodiscard]] double read_rate(const unread_response& answer);

/// Slower than any usual caller, for long enough to tell.
[[nodiscard]] bool is_slow_reader(const unread_response& answer);

/// Indices of the answers to cut, the slowest first; as few as make the VM
/// calm again.
[[nodiscard]] std::vector<std::size_t>
choose_aborts(const std::vector<unread_response>& answers, std::uint64_t held,
              std::uint64_t bound);

} // namespace pepperturn
