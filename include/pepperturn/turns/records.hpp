// SPDX-License-Identifier: BSL-1.0
/// \file
/// Records that storage VMs store: immutable turns, and the token reservations
/// of programs.
#pragma once

#include "pepperturn/scheduling/prompt_location.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pepperturn {

/// 128-bit hash of a caller's id, which may be of any length.
struct id_key
{
    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;

    // The linter takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const id_key&, const id_key&) = default;
};

[[nodiscard]] id_key key_of(const std::string& id);

struct id_key_hash
{
    std::size_t operator()(const id_key& key) const
    {
        return key.m_low;
    }
};

/// Tokens reserved for one attempt of a turn or, once settled, delivered by it.
struct reservation
{
    id_key m_program;
    id_key m_attempt;
    std::uint32_t m_tokens = 0;
    bool m_settled = false;
    /// Once settled: the runner whose cache holds the prompt for a turn that
    /// continues from this one.
    prompt_location m_prompt_location = {};

    friend bool operator==(const reservation&, const reservation&) = default;
};

/// One turn whose response was complete. Immutable.
struct turn_record
{
    /// Id of the request.
    std::string m_id;
    /// The turn that it continues from; empty: none.
    std::string m_parent;
    std::string m_input;
    /// Data of each event, each followed by a line feed.
    std::string m_output;
    /// The runner that has its prefix cached.
    std::string m_runner;
    id_key m_program;
    id_key m_attempt;
    /// Tokens delivered; settles the reservation.
    std::uint32_t m_tokens = 0;
    /// The turns that it continues from, its parent first, so that whoever
    /// stores it knows that they are still needed. Empty in replies.
    std::vector<id_key> m_ancestors = {};

    friend bool operator==(const turn_record&, const turn_record&) = default;
};

/// Position of a turn in a storage VM's log.
struct located_turn
{
    id_key m_key;
    /// Packed position in that VM's log.
    std::uint64_t m_position = 0;
    /// How much longer that VM retains it; 0: unknown.
    std::uint32_t m_remaining_ms = 0;
    /// Size of its entry; 0: unknown.
    std::uint32_t m_bytes = 0;

    friend bool operator==(const located_turn&, const located_turn&) = default;
};

enum class turn_entry_state : std::uint8_t
{
    present,
    /// The member stores the turn no longer: its retention has ended.
    gone,
    /// The member stores the turn, but its disk does not return it.
    unreadable
};

/// A turn's log entry, as one VM sends it to another.
struct turn_entry
{
    /// Encoded as in the log; empty unless present.
    std::string m_bytes;
    turn_entry_state m_state = turn_entry_state::present;
    /// How much longer the member retains it, in milliseconds.
    std::uint32_t m_remaining_ms = 0;
    friend bool operator==(const turn_entry&, const turn_entry&) = default;
};

/// A reservation and its retention time, as one VM lists it for another.
struct kept_reservation
{
    std::uint32_t m_retention_ms = 0;
    reservation m_row;
    /// How much longer that VM retains the program; 0: unknown.
    std::uint32_t m_remaining_ms = 0;

    friend bool operator==(const kept_reservation&,
                           const kept_reservation&) = default;
};

/// Turns and programs whose retention has ended on one VM, which asks the other
/// members of its replica set before it removes them.
struct retained_keys
{
    std::vector<id_key> m_turns;
    std::vector<id_key> m_programs;

    [[nodiscard]] bool empty() const
    {
        return m_turns.empty() && m_programs.empty();
    }
    friend bool operator==(const retained_keys&,
                           const retained_keys&) = default;
};

/// Reply to retained_keys, in the same order.
struct remaining_retention
{
    /// Milliseconds for which the sender knows the row to be needed; 0: it
    /// does not, or no longer.
    std::vector<std::uint32_t> m_turns_ms;
    std::vector<std::uint32_t> m_programs_ms;

    friend bool operator==(const remaining_retention&,
                           const remaining_retention&) = default;
};

/// One entry of a storage VM's log.
struct log_entry
{
    /// How long it is needed from its write on. Longer than callers are
    /// promised by the longest run of a turn: what continues it begins within
    /// the promise, and says that it is needed further only when it is stored.
    std::uint32_t m_retention_ms = 0;
    std::variant<turn_record, reservation> m_what;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace pepperturn
