// SPDX-License-Identifier: BSL-1.0
/// \file
/// The records of a partition's log. Replaying them rebuilds all durable
/// rows; a snapshot is the shortest list of records that rebuilds the same.
#pragma once

#include "pepperturn/core/types.hpp"

#include <set>

namespace pepperturn {

/// First record of an owner's term; creating it fences all earlier owners.
struct takeover_record
{
    std::string m_vm;
    std::uint64_t m_epoch = 0;
    friend bool operator==(const takeover_record&,
                           const takeover_record&) = default;
};

/// A granted call whose result its entry VM will send to the next owner.
struct in_flight_call
{
    call_id m_call;
    session_key m_session;
    std::uint64_t m_seq = 0;
    std::uint64_t m_digest = 0;
    friend bool operator==(const in_flight_call&,
                           const in_flight_call&) = default;
};

/// Last record of a term that ended in a planned handoff. Unused budget
/// reservations have been released by the records before it.
struct handoff_record
{
    std::string m_vm;
    std::string m_to;
    std::vector<in_flight_call> m_in_flight;
    friend bool operator==(const handoff_record&,
                           const handoff_record&) = default;
};

/// Creates a program with its budget; repeated to extend its reservation and
/// in snapshots. Amounts are cumulative, in tokens.
struct program_record
{
    program_key m_key;
    std::uint64_t m_budget = 0;
    std::uint64_t m_spent = 0;
    /// Calls may be sent only while their total cost stays within this.
    std::uint64_t m_reserved = 0;
    std::uint64_t m_opened_epoch = 0;
    bool m_ended = false;
    /// Runners that cache its prefixes; removed once they acknowledge a
    /// release.
    std::set<std::string> m_holders;
    friend bool operator==(const program_record&,
                           const program_record&) = default;
};

/// An unrepeatable call is about to be sent.
struct started_record
{
    call_id m_call;
    session_key m_session;
    std::uint64_t m_seq = 0;
    std::uint64_t m_digest = 0;
    std::string m_idempotency_key;
    std::string m_runner;
    friend bool operator==(const started_record&,
                           const started_record&) = default;
};

/// A call has ended and its turn is part of the session's history.
struct ended_record
{
    call_id m_call;
    session_key m_session;
    std::uint64_t m_seq = 0;
    std::uint64_t m_digest = 0;
    std::string m_idempotency_key;
    call_kind m_kind = call_kind::chat;
    std::vector<message> m_messages;
    answer m_answer;
    /// Tokens charged to the root program.
    std::uint64_t m_cost = 0;
    /// The root's reservation after this record.
    std::uint64_t m_reserved = 0;
    bool m_repeatable = true;
    friend bool operator==(const ended_record&, const ended_record&) = default;
};

/// An operator or caller has resolved the outcome of an `unknown` call.
struct resolved_record
{
    session_key m_session;
    std::uint64_t m_seq = 0;
    outcome m_outcome = outcome::unknown;
    friend bool operator==(const resolved_record&,
                           const resolved_record&) = default;
};

/// A runner has released the memory of an ended program.
struct released_record
{
    program_key m_key;
    std::string m_runner;
    friend bool operator==(const released_record&,
                           const released_record&) = default;
};

using record = std::variant<takeover_record, handoff_record, program_record,
                            started_record, ended_record, resolved_record,
                            released_record>;

/// One entry of the log.
struct batch
{
    /// Distinguishes a writer's own entry from another's after a lost reply.
    std::uint64_t m_nonce = 0;
    std::uint64_t m_epoch = 0;
    std::vector<record> m_records;
    friend bool operator==(const batch&, const batch&) = default;
};

} // namespace pepperturn
