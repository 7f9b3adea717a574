// SPDX-License-Identifier: BSL-1.0
/// \file
/// Relay peers: edge VMs that relay requests of another edge VM to a storage VM
/// that it cannot reach. A storage VM assigns a few peers to each requester,
/// who then tries them one by one.
///
/// Load pattern: a network partition separates some edge VMs from the storage
/// VMs, often a good part of them and at times a whole availability zone, while
/// all others reach both sides. Peers are chosen so that each requester knows
/// some outside its zone, and no VM relays for a large part of the fleet.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/turns/messages.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// Peers assigned in the own zone: the shortest path.
constexpr std::size_t near_peer_count = 2;
/// Peers assigned in other zones. All peers are unreachable together only if a
/// partition takes six VMs that were chosen independently.
constexpr std::size_t far_peer_count = 4;

/// Chooses the relay peers of one VM by rendezvous hashing: the choice is
/// stable while they are present, and each VM is chosen by about as many
/// others.
/// \param candidates edge VMs that relay; entries with the name of the
/// requester, without an address, or with a name that came before are skipped
[[nodiscard]] std::vector<relay_peer>
choose_relay_peers(const std::vector<relay_peer>& candidates,
                   const std::string& requester,
                   const std::string& availability_zone);

/// What a requester knows of a peer when it sends a request.
struct relay_peer_facts
{
    std::string m_name;
    std::string m_availability_zone;
    /// This request was already sent to it.
    bool m_tried = false;
    /// Requests that it has not answered yet.
    std::size_t m_in_flight = 0;
    /// End of the back-off after it failed to connect or to reply.
    instant m_backoff_until{};
    /// It reported the requested member as unreachable; it is skipped until
    /// then.
    instant m_unreachable_until{};

    friend bool operator==(const relay_peer_facts&,
                           const relay_peer_facts&) = default;
};

/// Difference in pending requests from which a less busy peer is preferred to a
/// nearer one: the busy peer replies more slowly, or relays for others as well.
constexpr std::size_t requests_per_load_step = 4;

/// Index of the peer to send a request for \p member to; empty: none is
/// eligible. Among peers with about the same load the first attempt stays in
/// the own zone and the second leaves it, since a partition often affects a
/// whole zone. Members are spread over the peers by hash.
[[nodiscard]] std::optional<std::size_t>
next_relay_peer(const std::vector<relay_peer_facts>& rows,
                const std::string& member, const std::string& availability_zone,
                instant now);

} // namespace pepperturn
