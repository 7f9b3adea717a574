// SPDX-License-Identifier: BSL-1.0
/// \file
/// Frames between edge and storage VMs, and their Cap'n Proto form.
#pragma once

#include "pepperturn/cluster/state.hpp"
#include "pepperturn/scheduling/engine_places.hpp"
#include "pepperturn/tenancy/freshness.hpp"
#include "pepperturn/tenancy/limiter.hpp"
#include "pepperturn/turns/records.hpp"

#include <optional>
#include <string_view>

namespace pepperturn {

enum class frame_status : std::uint8_t
{
    ok,
    /// The sender's view is older than the receiver's, or the reverse.
    stale,
    /// The receiver's disk is not in the view.
    not_member,
    /// The disk cannot be written.
    failed
};

[[nodiscard]] const char* to_string(frame_status status);

/// First frame on a connection, and again if what the sender wants changes.
struct hello_message
{
    std::string m_name;
    /// Every change of the world is to be told on this connection, and all
    /// that is known first.
    bool m_subscribes = true;
    /// IP:PORT where it passes on what others ask; empty: it does not.
    std::string m_relay_address = {};
    std::string m_availability_zone = {};
    /// It knows all runners up to this revision; 0: none.
    std::uint64_t m_known_runners = 0;
    /// It knows no members yet, and looks for them.
    bool m_seeks_members = false;
    friend bool operator==(const hello_message&,
                           const hello_message&) = default;
};

/// Sent now and then by storage VMs.
struct heartbeat_message
{
    /// Milliseconds since the platform's store was last heard, by the sender
    /// or by a VM that tells it.
    std::uint32_t m_store_age_ms = 0;
    /// The sender watches the store itself.
    bool m_watches = true;
    friend bool operator==(const heartbeat_message&,
                           const heartbeat_message&) = default;
};

/// Sets tokens aside and looks a parent up.
struct begin_message
{
    reservation m_reservation;
    std::uint32_t m_retention_ms = 0;
    /// Empty: the first turn of its line.
    std::string m_parent;
    /// The records of the chain are wanted, not only whether it is there.
    bool m_want_history = false;
    friend bool operator==(const begin_message&,
                           const begin_message&) = default;
};

struct begun_message
{
    /// Every reservation of the program that the member knows.
    std::vector<reservation> m_ledger;
    bool m_parent_found = false;
    /// Newest first, as far back as this member knows.
    std::vector<turn_record> m_history;
    friend bool operator==(const begun_message&,
                           const begun_message&) = default;
};

struct append_message
{
    log_entry m_entry;
    friend bool operator==(const append_message&,
                           const append_message&) = default;
};

struct appended_message
{
    friend bool operator==(const appended_message&,
                           const appended_message&) = default;
};

/// Asks for a turn and those before it.
struct fetch_message
{
    std::string m_turn;
    /// They are kept for this much longer.
    std::uint32_t m_retention_ms = 0;
    friend bool operator==(const fetch_message&,
                           const fetch_message&) = default;
};

struct fetched_message
{
    std::vector<turn_record> m_history;
    friend bool operator==(const fetched_message&,
                           const fetched_message&) = default;
};

/// Asks what a member holds, page by page.
struct list_message
{
    /// Row to go on from; 0 begins a new listing.
    std::uint64_t m_from = 0;
    /// Only if the member has gathered what all others hold.
    bool m_gathered = false;
    friend bool operator==(const list_message&, const list_message&) = default;
};

struct listed_message
{
    std::uint64_t m_next = 0;
    bool m_more = false;
    std::vector<located_turn> m_turns;
    std::vector<kept_reservation> m_reservations;
    friend bool operator==(const listed_message&,
                           const listed_message&) = default;
};

/// Asks for log entries by their packed positions.
struct read_message
{
    std::vector<std::uint64_t> m_positions;
    friend bool operator==(const read_message&, const read_message&) = default;
};

struct entries_message
{
    /// As they stand in the log; what cannot be read is left out.
    std::vector<std::string> m_entries;
    friend bool operator==(const entries_message&,
                           const entries_message&) = default;
};

/// Tells a member that the sender has synced all that it listed.
struct copied_message
{
    friend bool operator==(const copied_message&,
                           const copied_message&) = default;
};

/// Asks for the configuration whole; answered with a cluster_state.
struct config_request_message
{
    friend bool operator==(const config_request_message&,
                           const config_request_message&) = default;
};

/// Asks how fresh what the receiver knows is; answered with a
/// freshness_message.
struct freshness_request_message
{
    friend bool operator==(const freshness_request_message&,
                           const freshness_request_message&) = default;
};

/// Asks a storage VM for edge VMs that hear it; answered with a
/// neighbours_message.
struct relay_peers_request_message
{
    friend bool operator==(const relay_peers_request_message&,
                           const relay_peers_request_message&) = default;
};

/// An edge VM that passes on what others ask.
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

/// A question to a storage VM that goes through another edge VM, and the
/// answer to it.
struct relayed_message
{
    /// The storage VM's name.
    std::string m_member;
    /// The frame that is passed on, without its length.
    std::string m_frame;
    friend bool operator==(const relayed_message&,
                           const relayed_message&) = default;
};

using frame_body =
    std::variant<hello_message, cluster_state, heartbeat_message, begin_message,
                 begun_message, append_message, appended_message, fetch_message,
                 fetched_message, list_message, listed_message, read_message,
                 entries_message, copied_message, config_request_message,
                 freshness_request_message, freshness_message, quota_request,
                 quota_reply, relay_peers_request_message, relay_peers_message,
                 relayed_message, placement_request, placement_reply,
                 placement_report>;

struct frame
{
    /// Matches an answer with its question; 0: a notice.
    std::uint64_t m_call = 0;
    /// Epoch of the sender's view.
    std::uint64_t m_epoch = 0;
    frame_status m_status = frame_status::ok;
    frame_body m_body;

    friend bool operator==(const frame&, const frame&) = default;
};

/// Largest frame that is read, in bytes: a chain of 100 turns of 31 KB with
/// room to spare.
constexpr std::size_t max_frame_bytes = 16U << 20U;

/// The frame with its 4-byte little-endian length in front.
[[nodiscard]] std::string encode_frame(const frame& value);
/// \param bytes the frame without its length
[[nodiscard]] std::optional<frame> decode_frame(std::string_view bytes,
                                                std::string& reason);

[[nodiscard]] std::string encode_entry(const log_entry& value);
[[nodiscard]] std::optional<log_entry> decode_entry(std::string_view bytes,
                                                    std::string& reason);

} // namespace pepperturn
