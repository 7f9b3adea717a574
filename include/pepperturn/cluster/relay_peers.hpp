// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which edge VMs stand in for the link of another edge VM to a storage VM:
/// a storage VM names a few to each asker, who then tries them one by one.
///
/// Load pattern: a network partition separates some edge VMs from the storage
/// VMs, often a good part of them and at times a whole availability zone,
/// while all others hear both sides. Candidates are drawn so that each asker
/// knows some outside its zone, and that no VM relays for a large part of the
/// fleet.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/turns/messages.hpp"

#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// Neighbours that one VM is told in its own zone: the nearest way.
constexpr std::size_t near_peer_count = 2;
/// Neighbours in other zones. All candidates are out of reach together only if
/// a partition takes six VMs that were drawn independently.
constexpr std::size_t far_peer_count = 4;

/// Draws neighbours for one VM by rendezvous hashing: the same ones as long as
/// they are there, and every VM is drawn by about as many others.
/// \param candidates edge VMs that relay; those of the asker's name and those
/// without an address are passed over, as is a name that came before
[[nodiscard]] std::vector<neighbour>
choose_relay_peers(const std::vector<neighbour>& candidates,
                   const std::string& asker,
                   const std::string& availability_zone);

/// What an asker knows of a neighbour when a question goes out.
struct relay_peer_facts
{
    std::string m_name;
    std::string m_availability_zone;
    /// It was asked this question already.
    bool m_tried = false;
    /// Questions that it has not answered yet.
    std::size_t m_in_flight = 0;
    /// It has failed to connect or to answer, and is left alone until then.
    instant m_backoff_until{};
    /// It does not reach the member in question, by its own word.
    instant m_unreachable_until{};

    friend bool operator==(const relay_peer_facts&,
                           const relay_peer_facts&) = default;
};

/// A neighbour that has this many more questions under way is passed over for a
/// farther one: it answers more slowly, or others ask it, too.
constexpr std::size_t requests_per_load_step = 4;

/// Position of the neighbour to ask next about \p member; empty: none is left.
/// Among those that are about equally busy, the first try stays in the own
/// zone and the second leaves it, since a partition often takes a zone as a
/// whole; members are spread over them.
[[nodiscard]] std::optional<std::size_t>
next_relay_peer(const std::vector<relay_peer_facts>& rows,
                const std::string& member, const std::string& availability_zone,
                instant now);

} // namespace pepperturn
