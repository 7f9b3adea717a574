// SPDX-License-Identifier: BSL-1.0
/// \file
/// What an edge VM passes on for others, and how much of it: a VM that helps
/// has callers of its own, and most of its processor, link and memory is
/// theirs.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/turns/messages.hpp"

namespace pepperturn {

/// Largest question that is passed on, in bytes: a turn's input and output
/// several times over.
constexpr std::size_t max_relayed_request_bytes = 1U << 20U;
/// Largest answer, in bytes: a chain of 100 turns of 31 KB with room to spare.
constexpr std::size_t max_relayed_reply_bytes = 4U << 20U;
/// Bytes of a frame around what it passes on.
constexpr std::size_t relay_frame_overhead = 4096;

/// True for questions that one caller's request needs and that may come twice:
/// a member that sees the same turn, reservation, report or place again keeps
/// one of it, reads have no effect, and a limit that counts a request twice
/// lets through less, not more. A grant that is given back is not among them:
/// given back twice, it would let through more.
[[nodiscard]] bool may_be_relayed(const frame_body& body);

struct relay_limits
{
    /// Questions a second. A VM asks about a hundred at its usual pace, and
    /// several VMs may have drawn the same neighbour.
    double m_requests_per_s = 500;
    /// Questions at once: members of all replica sets by a burst of callers.
    double m_request_burst = 250;
    /// Bytes a second, questions and answers: well below a slow link.
    double m_bytes_per_s = 2.0 * (1U << 20U);
    /// Bytes at once: one answer of the largest kind.
    double m_byte_burst = max_relayed_reply_bytes;
    /// Questions under way: what a storage VM that stalls can hold up here.
    std::size_t m_max_in_flight = 256;

    friend bool operator==(const relay_limits&, const relay_limits&) = default;
};

/// Two token buckets, full at first: questions and their bytes. An answer's
/// size is not known before it comes, so bytes may be overdrawn once; the debt
/// is paid off before the next question.
struct relay_budget
{
    double m_requests = 0;
    double m_bytes = 0;
    /// The epoch of the clock: not used yet.
    instant m_last_refill{};

    friend bool operator==(const relay_budget&, const relay_budget&) = default;
};

/// Takes one question of \p bytes; false: there is no room for it now.
[[nodiscard]] bool admit_relayed_request(relay_budget& budget,
                                         const relay_limits& limits,
                                         std::size_t bytes, instant now);
/// Counts the answer to a question that was taken.
void charge_reply(relay_budget& budget, std::size_t bytes);

} // namespace pepperturn
