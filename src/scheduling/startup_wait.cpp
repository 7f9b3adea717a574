// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/startup_wait.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// After a power loss the fleet serves again within a second of its start. A
/// VM that cannot by then is partitioned from the others, and the load
/// balancer, which checks once a second, has removed it after two failed
/// checks.
constexpr milliseconds startup_span{2000};
/// Share of the caller's timeout, three quarters; the rest is for serving the
/// request, or for one attempt elsewhere.
constexpr int wait_parts = 3;
constexpr int total_parts = 4;
/// For callers that state no timeout: most are people.
constexpr milliseconds default_caller_timeout{1000};

} // namespace

milliseconds startup_wait(const startup_wait_conditions& conditions)
{
    const auto until_startup_end =
        std::max(startup_span - conditions.m_uptime, milliseconds(0));
    const auto useful_wait =
        conditions.m_caller_timeout.value_or(default_caller_timeout) *
        wait_parts / total_parts;
    return std::min(until_startup_end, useful_wait);
}

} // namespace pepperturn
