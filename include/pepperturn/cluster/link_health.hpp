// SPDX-License-Identifier: BSL-1.0
/// \file
/// When a member's own link counts as silent, so that questions go through a
/// neighbour: a partition says nothing, and the connection breaks only once
/// the kernel gives up on it.
#pragma once

#include "pepperturn/base/time.hpp"

#include <algorithm>

namespace pepperturn {

/// Members send beats twice a second: one that has missed two is not heard.
constexpr milliseconds liveness_timeout{1200};
/// A member that was not heard for this long is asked for a sign of life
/// through a neighbour, soon enough that it never counts as not heard in
/// between.
constexpr milliseconds probe_after{800};
/// A question that waits this long while its member answers none goes through
/// a neighbour, too: many times what an answer usually takes, and a
/// tenth of what a caller waits.
constexpr milliseconds direct_reply_timeout{120};
/// A process that slept longer than this between two looks at its questions was
/// itself held up, and has answers to read before it finds others silent.
constexpr milliseconds max_scheduling_lag{60};

struct link_facts
{
    /// There is a connection.
    bool m_connected = false;
    /// A question went unanswered, and nothing was heard since.
    bool m_unresponsive = false;
    /// When the member last sent anything.
    instant m_last_received{};
    /// When it last answered a question. Beats alone do not tell that
    /// questions get there.
    instant m_last_reply{};

    friend bool operator==(const link_facts&, const link_facts&) = default;
};

/// The member may be asked on its own link.
[[nodiscard]] inline bool is_reachable(const link_facts& facts, instant now)
{
    return facts.m_connected && !facts.m_unresponsive &&
           now - facts.m_last_received < liveness_timeout;
}

/// The member owes a sign of life.
[[nodiscard]] inline bool needs_probe(const link_facts& facts, instant now)
{
    return !is_reachable(facts, now) ||
           now - facts.m_last_received >= probe_after;
}

/// How long a question waits for a sign of life.
/// \param patience of the asker, who needs time for the other way
[[nodiscard]] inline milliseconds direct_timeout_for(milliseconds patience)
{
    return std::min(direct_reply_timeout, patience / 2);
}

/// The member has answered nothing since \p asked, for as long as \p silence.
[[nodiscard]] inline bool is_unresponsive(const link_facts& facts,
                                          instant asked, milliseconds silence,
                                          instant now)
{
    return facts.m_last_reply <= asked && now - asked >= silence;
}

} // namespace pepperturn
