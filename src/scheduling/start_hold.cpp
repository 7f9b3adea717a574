// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/start_hold.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// After a power loss the fleet serves again within a second of its start. A
/// VM that cannot by then is partitioned from the others, and the load
/// balancer, which checks once a second, has removed it after two failed
/// checks.
constexpr milliseconds start_span{2000};
/// Share of the caller's timeout, three quarters; the rest is for serving the
/// request, or for one attempt elsewhere.
constexpr int cached_part = 3;
constexpr int parts = 4;
/// For callers that state no timeout: most are people.
constexpr milliseconds unstated_patience{1000};

} // namespace

milliseconds startup_wait(const startup_wait_conditions& facts)
{
    const auto until_given_up =
        std::max(start_span - facts.m_uptime, milliseconds(0));
    const auto of_use = facts.m_caller_timeout.value_or(unstated_patience) *
                        cached_part / parts;
    return std::min(until_given_up, of_use);
}

} // namespace pepperturn
