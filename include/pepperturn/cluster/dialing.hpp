// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connect timeouts and retry intervals for members that do not answer.
///
/// Load pattern: all VMs start within tenths of a second of each other, and the
/// first to connect finds nobody listening. An exponential back-off would be
/// longest just when the others come up. So intervals remain short while VMs
/// are likely to be starting, and grow only after that.
#pragma once

#include "pepperturn/base/time.hpp"

namespace pepperturn {

struct dial_facts
{
    /// Time since this VM started or since it lost its last connection to a
    /// member, whichever is later; other members may be connected by now.
    milliseconds m_since_isolated{0};
    /// Consecutive failed attempts to connect to this member.
    unsigned m_failures = 0;

    friend bool operator==(const dial_facts&, const dial_facts&) = default;
};

struct dial_times
{
    /// Pause before the next attempt.
    milliseconds m_pause{0};
    /// Connect timeout of an attempt.
    milliseconds m_timeout{0};

    friend bool operator==(const dial_times&, const dial_times&) = default;
};

[[nodiscard]] dial_times choose_dial_times(const dial_facts& facts);

} // namespace pepperturn
