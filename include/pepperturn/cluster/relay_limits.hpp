// SPDX-License-Identifier: BSL-1.0
/// \file
/// What an edge VM relays for others, and how much of it: a relaying VM has
/// callers of its own and needs most of its CPU, bandwidth and memory for them.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/turns/messages.hpp"

namespace pepperturn {

/// Largest request that is relayed, in bytes: several times a turn's input and
/// output.
constexpr std::size_t max_relayed_request_bytes = 1U << 20U;
/// Largest reply that is relayed, in bytes: a turn history of 100 turns of 31
/// KB with space to spare.
constexpr std::size_t max_relayed_reply_bytes = 4U << 20U;
/// Bytes of a frame in addition to the frame it relays.
constexpr std::size_t relay_frame_overhead = 4096;

/// True for requests that a caller's request needs and that are safe to repeat:
/// a member that receives the same turn, reservation, report or placement again
/// keeps one of it, reads have no side effects, and a limit that counts a
/// request twice grants less, not more. Returning a grant is not among them:
/// returned twice, it would allow too much.
[[nodiscard]] bool may_be_relayed(const frame_body& body);

struct relay_limits
{
    /// Requests per second. A VM sends about a hundred at its usual rate, and
    /// several VMs may have chosen the same peer.
    double m_requests_per_s = 500;
    /// Requests in a burst: one to each member of all replica sets for a burst
    /// of callers.
    double m_request_burst = 250;
    /// Bytes per second, requests and replies: well below the rate of a slow
    /// link.
    double m_bytes_per_s = 2.0 * (1U << 20U);
    /// Bytes in a burst: one reply of the largest size.
    double m_byte_burst = max_relayed_reply_bytes;
    /// Pending requests: bounds what an unresponsive storage VM can hold up on
    /// this VM.
    std::size_t m_max_in_flight = 256;

    friend bool operator==(const relay_limits&, const relay_limits&) = default;
};

/// Two token buckets, initially full: requests and bytes. The size of a reply
/// is not known in advance, so the byte bucket may be overdrawn once; the debt
/// is paid off before the next request is admitted.
struct relay_budget
{
    double m_requests = 0;
    double m_bytes = 0;
    /// The epoch of the clock: not used yet.
    instant m_last_refill{};

    friend bool operator==(const relay_budget&, const relay_budget&) = default;
};

/// Admits one request of \p bytes; false: the budget is used up.
[[nodiscard]] bool admit_relayed_request(relay_budget& budget,
                                         const relay_limits& limits,
                                         std::size_t bytes, instant now);
/// Charges the reply to an admitted request.
void charge_reply(relay_budget& budget, std::size_t bytes);

} // namespace pepperturn
