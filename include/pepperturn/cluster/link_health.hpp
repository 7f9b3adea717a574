// SPDX-License-Identifier: BSL-1.0
/// \file
/// When the direct link to a member is treated as unresponsive, so that
/// requests go through a relay peer. A partition gives no error, and the
/// connection breaks only when the kernel times out.
#pragma once

#include "pepperturn/base/time.hpp"

#include <algorithm>

namespace pepperturn {

/// A member is reachable if a frame arrived within this time. Members send
/// heartbeats twice a second, so it has missed two otherwise.
constexpr milliseconds liveness_timeout{1200};
/// A member not heard from for this long is probed through a relay peer, soon
/// enough that a successful probe keeps it from being treated as unreachable in
/// between.
constexpr milliseconds probe_after{800};
/// A request that waits this long while its member answers none is relayed as
/// well: many times the usual reply time, and a tenth of what a caller waits.
constexpr milliseconds direct_reply_timeout{120};
/// If the process slept longer than this between two checks of its requests, it
/// was itself delayed and reads pending replies before it treats members as
/// unresponsive.
constexpr milliseconds max_scheduling_lag{60};

struct link_facts
{
    bool m_connected = false;
    /// A request timed out, and nothing has arrived since.
    bool m_unresponsive = false;
    /// When a frame last arrived from the member.
    instant m_last_received{};
    /// When it last replied to a request. Heartbeats alone do not show that
    /// requests arrive.
    instant m_last_reply{};

    friend bool operator==(const link_facts&, const link_facts&) = default;
};

/// True if requests may be sent on the direct link.
[[nodiscard]] inline bool is_reachable(const link_facts& facts, instant now)
{
    return facts.m_connected && !facts.m_unresponsive &&
           now - facts.m_last_received < liveness_timeout;
}

/// True if the member should be probed through a relay peer.
[[nodiscard]] inline bool needs_probe(const link_facts& facts, instant now)
{
    return !is_reachable(facts, now) ||
           now - facts.m_last_received >= probe_after;
}

/// Time to wait for a direct reply before a request is relayed.
/// \param timeout of the requester, who needs a part of it for the relayed
/// path
[[nodiscard]] inline milliseconds direct_timeout_for(milliseconds timeout)
{
    return std::min(direct_reply_timeout, timeout / 2);
}

/// True if the member has replied to nothing since \p sent_at, for at least
/// \p timeout.
[[nodiscard]] inline bool is_unresponsive(const link_facts& facts,
                                          instant sent_at, milliseconds timeout,
                                          instant now)
{
    return facts.m_last_reply <= sent_at && now - sent_at >= timeout;
}

} // namespace pepperturn
