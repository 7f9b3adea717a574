// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/start_hold.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// A fleet that lost power serves again within a second of its start. Whoever
/// cannot by then is cut off from the others, and the balancer, which asks once
/// a second, has left it out after two misses.
constexpr milliseconds start_span{2000};
/// Of the caller's time; the rest is for serving the request, or for one try
/// elsewhere.
constexpr int cached_part = 3;
constexpr int parts = 4;
/// For callers that do not say how long they wait: most are people.
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
