// SPDX-License-Identifier: BSL-1.0
/// \file
/// What an edge VM knew when it did not grant a turn, or when a turn was
/// stored, for the log.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/cluster/view.hpp"
#include "pepperturn/turns/messages.hpp"

namespace pepperturn {

/// Why a turn is not granted.
enum class begin_fault : std::uint8_t
{
    none,
    over_budget,
    /// No storage VM is connected that was heard lately.
    isolated,
    /// The view of the program's replica set is not known.
    no_view,
    /// Too few members of the program's set have synced the reservation.
    too_few_writers,
    /// Too few have told what they store.
    too_few_readers,
    /// None that replied has the parent; some have not replied.
    parent_uncertain,
    /// Every member of every set that may have the parent replied that it does
    /// not.
    parent_absent,
    /// The program's set lacks the parent, and some members of other sets have
    /// not replied.
    search_incomplete,
    /// An earlier turn: every member that was asked replied that it does not
    /// have it.
    ancestor_absent,
    /// An earlier turn: no member sent it, and some have not replied.
    ancestor_unreached,
    /// Requests that fetch other histories took too long.
    no_page_slot,
    /// The history arrived after the deadline.
    history_late,
    out_of_memory
};

[[nodiscard]] const char* to_string(begin_fault fault);

/// The latest reply of a member to a request.
enum class member_reply : std::uint8_t
{
    not_asked,
    /// It was asked, and nothing has come.
    none,
    /// It is not connected, or its link ended or fell silent meanwhile.
    no_link,
    /// Its view is another one.
    stale,
    /// Its disk is not in its view, or takes no writes there.
    not_member,
    /// Its disk is not loaded or takes no writes, or it has too much to send.
    failed,
    ok,
    /// It has the turn that was asked for.
    found
};

[[nodiscard]] const char* to_string(member_reply reply);
/// Whether a reply served the request; never \ref member_reply::found.
[[nodiscard]] member_reply reply_of(const std::optional<frame>& reply);

/// One member of the program's replica set.
struct member_evidence
{
    std::string m_name;
    member_state m_state = member_state::full;
    member_reply m_reply = member_reply::not_asked;

    friend bool operator==(const member_evidence&,
                           const member_evidence&) = default;
};

/// Replies to a request for one turn.
struct reply_tally
{
    std::uint32_t m_sets = 0;
    std::uint32_t m_asked = 0;
    /// Members that are joining, lost or not connected.
    std::uint32_t m_skipped = 0;
    std::uint32_t m_found = 0;
    std::uint32_t m_absent = 0;
    std::uint32_t m_no_link = 0;
    std::uint32_t m_stale = 0;
    /// \ref member_reply::not_member or \ref member_reply::failed.
    std::uint32_t m_refused = 0;

    /// Counts the reply to a fetch_message.
    void add(const std::optional<frame>& reply);
    /// Members that have not replied.
    [[nodiscard]] std::uint32_t waiting() const
    {
        return m_asked - m_found - m_absent - m_no_link - m_stale - m_refused;
    }

    friend bool operator==(const reply_tally&, const reply_tally&) = default;
};

/// What was known at the decision.
struct begin_evidence
{
    begin_fault m_fault = begin_fault::none;
    /// Empty: the view is not known.
    std::optional<std::uint32_t> m_set = {};
    std::uint64_t m_epoch = 0;
    /// Epoch of the view under which the members were asked; 0: none was.
    std::uint64_t m_asked_epoch = 0;
    /// How long this VM has known the view.
    milliseconds m_view_age{0};
    quorum_sizes m_quorums = {};
    std::vector<member_evidence> m_members = {};
    /// The turn that could not be fetched; empty: the parent is in doubt.
    std::string m_missing = {};
    /// Replies to the last request for it, of the program's set and of others.
    reply_tally m_in_set = {};
    reply_tally m_elsewhere = {};
    /// Sets that this VM knows, of how many.
    std::size_t m_known_sets = 0;
    std::uint32_t m_set_count = 0;
    /// Members of all sets, and how many of them are connected.
    std::size_t m_all_members = 0;
    std::size_t m_linked = 0;
    /// Since any of them was heard; negative: none is known.
    milliseconds m_heard{0};

    friend bool operator==(const begin_evidence&,
                           const begin_evidence&) = default;
};

/// As `key=value` pairs of a log line, bounded.
[[nodiscard]] std::string describe(const begin_evidence& evidence);
/// A turn's id as its caller knows it, bounded.
[[nodiscard]] std::string caller_turn_id(const std::string& turn);

} // namespace pepperturn
