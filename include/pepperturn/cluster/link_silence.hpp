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
constexpr milliseconds heard_within{1200};
/// A member that was not heard for this long is asked for a sign of life
/// through a neighbour, soon enough that it never counts as not heard in
/// between.
constexpr milliseconds probe_after{800};
/// A question that waits this long while its member answers none goes through
/// a neighbour, too: many times what an answer usually takes, and a
/// tenth of what a caller waits.
constexpr milliseconds usual_silence{120};
/// A process that slept longer than this between two looks at its questions was
/// itself held up, and has answers to read before it finds others silent.
constexpr milliseconds longest_lag{60};

struct link_facts
{
    /// There is a connection.
    bool m_connected = false;
    /// A question went unanswered, and nothing was heard since.
    bool m_silent = false;
    /// When the member last sent anything.
    instant m_heard{};
    /// When it last answered a question. Beats alone do not tell that
    /// questions get there.
    instant m_answered{};

    friend bool operator==(const link_facts&, const link_facts&) = default;
};

/// The member may be asked on its own link.
[[nodiscard]] inline bool reached(const link_facts& facts, instant now)
{
    return facts.m_connected && !facts.m_silent &&
           now - facts.m_heard < heard_within;
}

/// The member owes a sign of life.
[[nodiscard]] inline bool wants_probe(const link_facts& facts, instant now)
{
    return !reached(facts, now) || now - facts.m_heard >= probe_after;
}

/// How long a question waits for a sign of life.
/// \param patience of the asker, who needs time for the other way
[[nodiscard]] inline milliseconds silence_before_detour(milliseconds patience)
{
    return std::min(usual_silence, patience / 2);
}

/// The member has answered nothing since \p asked, for as long as \p silence.
[[nodiscard]] inline bool is_silent(const link_facts& facts, instant asked,
                                    milliseconds silence, instant now)
{
    return facts.m_answered <= asked && now - asked >= silence;
}

} // namespace pepperturn
