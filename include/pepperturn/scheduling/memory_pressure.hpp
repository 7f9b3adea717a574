// SPDX-License-Identifier: BSL-1.0
/// \file
/// Limits the memory that a VM uses for callers and runners that do not read.
///
/// Load pattern: callers that read a response one byte at a time or not at
/// all, and runners that leave long request bodies unread. The data that waits
/// for them occupies this VM's memory, and a VM with some tens of megabytes
/// that exceeds its limit is killed with every call in progress. So buffered
/// bytes are counted, and as they approach the limit, the least harmful
/// measures come first: new connections are delayed for a moment, large
/// requests are refused before they have run, and finally the slowest readers
/// are disconnected. A caller that reads at a usual rate is never
/// disconnected.
///
/// The limit is enforced by reservation: incoming data is counted before it is
/// read, and is not read if it does not fit. Long responses are paused first,
/// then new work, and the last of the memory is for delivering what is ready,
/// since delivery frees memory.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// Bytes that a VM may buffer for its callers and runners.
/// \param memory_mb memory of the VM for this process, in megabytes; 0:
/// unknown
[[nodiscard]] std::uint64_t buffer_limit(std::uint32_t memory_mb);

/// How close the buffered bytes are to the limit.
enum class pressure_level : std::uint8_t
{
    calm,
    /// New connections are read with a short delay.
    pausing,
    /// Large requests are refused as well.
    refusing,
    /// The slowest readers are disconnected as well.
    cutting
};

[[nodiscard]] const char* to_string(pressure_level level);

/// The level at \p buffered bytes. A level is left only well below where
/// it begins (hysteresis), so that the VM does not oscillate.
[[nodiscard]] pressure_level
next_level(pressure_level now, std::uint64_t buffered, std::uint64_t limit);

/// What memory is reserved for.
enum class memory_use : std::uint8_t
{
    /// Requests and responses that are still to arrive.
    work,
    /// Data that is ready to be sent to its caller.
    delivery
};

/// The most bytes that may be buffered and reserved after a grant.
[[nodiscard]] std::uint64_t reservation_limit(memory_use use,
                                              std::uint64_t limit);

/// Whether a long response may be buffered further. What it leaves free is for
/// requests with usual responses, which are served even beside many callers
/// that do not read.
/// \param committed bytes that are buffered or reserved by all
/// \param more bytes of its next piece
/// \param first it is the oldest of the paused responses
[[nodiscard]] bool may_buffer_more(pressure_level level,
                                   std::uint64_t committed, std::uint64_t limit,
                                   std::uint64_t more, bool first);

/// Whether a request body may be read.
/// \param body bytes that are still to arrive, as far as known
[[nodiscard]] bool may_read_body(pressure_level level, std::uint64_t buffered,
                                 std::uint64_t limit, std::uint64_t body);

/// A response that waits for its caller to read.
struct unread_response
{
    /// Bytes buffered for this caller.
    std::uint64_t m_buffered = 0;
    /// Bytes read by the caller since the wait began.
    std::uint64_t m_consumed = 0;
    /// Since the caller first left data unread.
    milliseconds m_waited{0};
    /// Since the caller last read anything.
    milliseconds m_idle{0};

    friend bool operator==(const unread_response&,
                           const unread_response&) = default;
};

/// Rate at which a caller reads, in bytes per second; 0 once it has stopped.
[[nodiscard]] double read_rate(const unread_response& response);

/// True if the caller has been slower than any usual caller for long enough to
/// be sure.
[[nodiscard]] bool is_slow_reader(const unread_response& response);

/// Indices of the responses to abort, the slowest first; as few as bring the
/// VM back to the normal level.
[[nodiscard]] std::vector<std::size_t>
choose_aborts(const std::vector<unread_response>& responses,
              std::uint64_t buffered, std::uint64_t limit);

} // namespace pepperturn
