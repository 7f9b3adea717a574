// SPDX-License-Identifier: BSL-1.0
/// \file
/// How often a member that does not answer is tried again.
///
/// Load pattern: all VMs start within tenths of a second of each other, and
/// whoever dials first finds nobody. A pause that grows with each failure is
/// longest just when the others are there. So pauses stay short while all are
/// likely to be starting, and grow only after that.
#pragma once

#include "pepperturn/base/time.hpp"

namespace pepperturn {

struct dial_facts
{
    /// Since this VM's start, or since it lost the last member that it was
    /// connected to, whichever came later; others may be connected by now.
    milliseconds m_since_isolated{0};
    /// Tries of this member that failed, one after the other.
    unsigned m_failures = 0;

    friend bool operator==(const dial_facts&, const dial_facts&) = default;
};

struct dial_times
{
    /// Before the next try.
    milliseconds m_pause{0};
    /// How long a try may take.
    milliseconds m_timeout{0};

    friend bool operator==(const dial_times&, const dial_times&) = default;
};

[[nodiscard]] dial_times choose_dial_times(const dial_facts& facts);

} // namespace pepperturn
