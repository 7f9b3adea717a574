// SPDX-License-Identifier: BSL-1.0
/// \file
/// How long a request waits at a VM that has just started and cannot serve
/// yet.
///
/// Load pattern: the whole fleet starts at once, callers return within
/// moments, and every other VM is in the same state. A refusal would cost them
/// one of their few attempts while service is some tenths of a second away; so
/// a request waits for as long as its caller can still use a response, and is
/// refused at once where waiting is futile.
#pragma once

#include "pepperturn/base/time.hpp"

#include <optional>

namespace pepperturn {

struct startup_wait_conditions
{
    /// Time from the start of this VM's process to the arrival of the request.
    milliseconds m_uptime{0};
    /// The caller's timeout; empty: not stated.
    std::optional<milliseconds> m_caller_timeout;

    friend bool operator==(const startup_wait_conditions&,
                           const startup_wait_conditions&) = default;
};

/// Longest wait from the request's arrival; zero: it is refused at once.
[[nodiscard]] milliseconds
startup_wait(const startup_wait_conditions& conditions);

} // namespace pepperturn
