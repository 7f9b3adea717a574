// SPDX-License-Identifier: BSL-1.0
/// \file
/// How long a request waits at a VM that has just started and cannot serve yet.
///
/// Load pattern: the whole fleet starts at once, callers come back within
/// moments, and every VM they could turn to is as far as this one. A refusal
/// would cost them one of their few tries while service is some tenths of a
/// second away; so a request is held for as long as its caller still has use
/// of an answer, and refused at once where waiting is in vain.
#pragma once

#include "pepperturn/base/time.hpp"

#include <optional>

namespace pepperturn {

struct startup_wait_conditions
{
    /// Since the start of this VM's process, when the request came.
    milliseconds m_uptime{0};
    /// How long the caller waits; empty: it did not say.
    std::optional<milliseconds> m_caller_timeout;

    friend bool operator==(const startup_wait_conditions&,
                           const startup_wait_conditions&) = default;
};

/// Longest wait from the request's arrival on; zero: it is not held.
[[nodiscard]] milliseconds startup_wait(const startup_wait_conditions& facts);

} // namespace pepperturn
