// SPDX-License-Identifier: BSL-1.0
/// \file
/// Frames exchanged by edge and storage VMs, and their Cap'n Proto encoding.
#pragma once

#include "pepperturn/cluster/state.hpp"
#include "pepperturn/cluster/suspects.hpp"
#include "pepperturn/scheduling/engine_placements.hpp"
#include "pepperturn/tenancy/freshness.hpp"
#include "pepperturn/tenancy/limiter.hpp"
#include "pepperturn/turns/records.hpp"

#include <optional>
#include <string_view>

namespace pepperturn {

enum class frame_status : std::uint8_t
{
    ok,
    /// The views of sender and receiver have different epochs.
    stale,
    /// The receiver's disk is not in the view, or takes no writes there.
    not_member,
    /// The receiver cannot serve the request: its disk is not loaded or cannot
    /// be written, or it has not gathered what the request needs.
    failed
};

[[nodiscard]] const char* to_string(frame_status status);

/// First frame on a connection; sent again when the subscription changes.
struct hello_message
{
    std::string m_name;
    /// Requests the full cluster state, then every change, on this connection.
    bool m_subscribes = true;
    /// IP:PORT where the sender relays requests of other VMs; empty: it does
    /// not.
    std::string m_relay_address = {};
    std::string m_availability_zone = {};
    /// The sender has all runners up to this revision; 0: none.
    std::uint64_t m_known_runners = 0;
    /// The sender knows no members yet and is looking for them.
    bool m_seeks_members = false;
    /// The sender accepts a list of runners in parts, see \ref runner_range.
    bool m_accepts_parts = false;
    friend bool operator==(const hello_message&,
                           const hello_message&) = default;
};

/// Version of heartbeat_message::m_frame_version since which a storage VM tells
/// retentions. Older ones close a link on frames that they do not know.
constexpr std::uint16_t retention_version = 1;
constexpr std::uint16_t own_frame_version = retention_version;

/// Heartbeat of a storage VM.
struct heartbeat_message
{
    /// Milliseconds since the platform's store last reported, to the sender or
    /// to a VM that sends it updates.
    std::uint32_t m_store_age_ms = 0;
    /// The sender watches the store itself.
    bool m_watches = true;
    /// Newest frames that the sender understands.
    std::uint16_t m_frame_version = 0;
    friend bool operator==(const heartbeat_message&,
                           const heartbeat_message&) = default;
};

/// Reserves tokens and looks up the parent turn.
struct begin_message
{
    reservation m_reservation;
    std::uint32_t m_retention_ms = 0;
    /// Empty: the first turn of its history.
    std::string m_parent;
    /// Requests the records of the history, not only whether the parent exists.
    bool m_want_history = false;
    /// Only asks for the ledger: nothing is reserved. A member of a version
    /// that does not know this stores the reservation.
    bool m_read_only = false;
    friend bool operator==(const begin_message&,
                           const begin_message&) = default;
};

/// Reply to a begin_message.
struct begun_message
{
    /// Every reservation of the program that the member stores.
    std::vector<reservation> m_ledger;
    bool m_parent_found = false;
    /// Newest first, as far back as this member stores it.
    std::vector<turn_record> m_history;
    friend bool operator==(const begun_message&,
                           const begun_message&) = default;
};

/// Appends an entry to the log.
struct append_message
{
    log_entry m_entry;
    friend bool operator==(const append_message&,
                           const append_message&) = default;
};

/// Reply without content; an entry that was sent is synced.
struct appended_message
{
    friend bool operator==(const appended_message&,
                           const appended_message&) = default;
};

/// Requests a turn and its ancestors.
struct fetch_message
{
    std::string m_turn;
    /// Their retention is extended to this long from now.
    std::uint32_t m_retention_ms = 0;
    friend bool operator==(const fetch_message&,
                           const fetch_message&) = default;
};

/// Reply to a fetch_message.
struct fetched_message
{
    /// Newest first; empty: the member does not store the turn.
    std::vector<turn_record> m_history;
    friend bool operator==(const fetched_message&,
                           const fetched_message&) = default;
};

/// Requests a listing of what a member stores, page by page, newest first.
struct list_message
{
    /// First row of the page; 0 begins a new listing.
    std::uint64_t m_from = 0;
    /// Fails unless the member has gathered what all others store.
    bool m_gathered = false;
    /// The listing that the page belongs to; 0: a new one, or the sender's
    /// version knows no identities.
    std::uint64_t m_listing = 0;
    friend bool operator==(const list_message&, const list_message&) = default;
};

/// Reply to a list_message.
struct listed_message
{
    std::uint64_t m_next = 0;
    bool m_more = false;
    std::vector<located_turn> m_turns;
    std::vector<kept_reservation> m_reservations;
    /// Identity of the listing; 0: the sender's version gives none, and reads
    /// turns by their positions only.
    std::uint64_t m_listing = 0;
    /// Turns in the whole listing, and the bytes of their entries.
    std::uint32_t m_turn_count = 0;
    std::uint64_t m_turn_bytes = 0;
    friend bool operator==(const listed_message&,
                           const listed_message&) = default;
};

/// Requests log entries by their packed positions; the reply has some of them.
struct read_message
{
    std::vector<std::uint64_t> m_positions;
    friend bool operator==(const read_message&, const read_message&) = default;
};

/// Reply to a read_message.
struct entries_message
{
    /// Encoded as in the log: the first ones of those that were requested, up
    /// to what one reply may hold or to an unreadable one.
    std::vector<std::string> m_entries;
    friend bool operator==(const entries_message&,
                           const entries_message&) = default;
};

/// Requests turns by their keys, wherever the log has them now; the reply has
/// some of them.
struct read_turns_message
{
    std::vector<id_key> m_keys;
    friend bool operator==(const read_turns_message&,
                           const read_turns_message&) = default;
};

/// Reply to a read_turns_message.
struct turn_entries_message
{
    /// Of the first turns that were requested, up to what one reply may hold.
    std::vector<turn_entry> m_entries;
    friend bool operator==(const turn_entries_message&,
                           const turn_entries_message&) = default;
};

/// Reports that the sender has synced everything that the receiver listed.
struct copied_message
{
    friend bool operator==(const copied_message&,
                           const copied_message&) = default;
};

/// Requests the complete configuration; the reply is a cluster_state.
struct config_request_message
{
    friend bool operator==(const config_request_message&,
                           const config_request_message&) = default;
};

/// Requests the age of the receiver's cluster state; the reply is a
/// freshness_message.
struct freshness_request_message
{
    friend bool operator==(const freshness_request_message&,
                           const freshness_request_message&) = default;
};

/// Requests, of a storage VM, edge VMs that are connected to it; the reply is a
/// relay_peers_message.
struct relay_peers_request_message
{
    friend bool operator==(const relay_peers_request_message&,
                           const relay_peers_request_message&) = default;
};

/// An edge VM that relays requests of other edge VMs.
struct relay_peer
{
    std::string m_name;
    /// IP:PORT.
    std::string m_address;
    std::string m_availability_zone;
    friend bool operator==(const relay_peer&, const relay_peer&) = default;
};

struct relay_peers_message
{
    std::vector<relay_peer> m_relay_peers;
    friend bool operator==(const relay_peers_message&,
                           const relay_peers_message&) = default;
};

/// A request to a storage VM that is relayed by another edge VM, or its reply.
struct relayed_message
{
    /// Name of the storage VM.
    std::string m_member;
    /// The relayed frame, without its length prefix.
    std::string m_frame;
    friend bool operator==(const relayed_message&,
                           const relayed_message&) = default;
};

/// Requests under which runners have ended: a report to a storage VM, or a
/// storage VM's notification to its subscribers.
struct suspects_message
{
    std::vector<suspect> m_rows;
    friend bool operator==(const suspects_message&,
                           const suspects_message&) = default;
};

using frame_body =
    std::variant<hello_message, cluster_state, heartbeat_message, begin_message,
                 begun_message, append_message, appended_message, fetch_message,
                 fetched_message, list_message, listed_message, read_message,
                 entries_message, copied_message, config_request_message,
                 freshness_request_message, freshness_message, quota_request,
                 quota_reply, relay_peers_request_message, relay_peers_message,
                 relayed_message, placement_request, placement_reply,
                 placement_report, suspects_message, retained_keys,
                 remaining_retention, read_turns_message, turn_entries_message>;

struct frame
{
    /// Matches a reply with its request; 0: a notification.
    std::uint64_t m_call = 0;
    /// Epoch of the sender's view.
    std::uint64_t m_epoch = 0;
    frame_status m_status = frame_status::ok;
    frame_body m_body;

    friend bool operator==(const frame&, const frame&) = default;
};

/// Largest frame that is accepted, in bytes. What is longer than one turn is
/// sent in pages, so that only a turn itself may come near it.
constexpr std::size_t max_frame_bytes = 16U << 20U;

/// The frame, prefixed with its length in 4 bytes, little-endian.
[[nodiscard]] std::string encode_frame(const frame& value);
/// As encode_frame, but a frame that the receiver would not accept is replaced
/// by one of status failed with the same call, so that this exchange ends alone
/// and not the link that others share.
/// \param reason set if it was replaced
[[nodiscard]] std::string encode_accepted_frame(const frame& value,
                                                std::string& reason);
/// \param bytes the frame without its length prefix
[[nodiscard]] std::optional<frame> decode_frame(std::string_view bytes,
                                                std::string& reason);
/// For a frame that decode_frame does not understand, say of a newer VM: a
/// frame of status failed with its call; empty if that cannot be read either.
[[nodiscard]] std::optional<frame> decode_failed_frame(std::string_view bytes);

[[nodiscard]] std::string encode_entry(const log_entry& value);
[[nodiscard]] std::optional<log_entry> decode_entry(std::string_view bytes,
                                                    std::string& reason);

} // namespace pepperturn
