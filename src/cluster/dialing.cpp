// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/dialing.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// VMs that lost power together start within some tenths of a second of each
/// other, and the slowest takes as long again until it listens.
constexpr milliseconds common_start{2500};
/// A VM in the same region answers a connect within milliseconds; one without
/// power says nothing, and the next try may meet it up.
constexpr milliseconds start_patience{60};
constexpr milliseconds start_pause{25};
/// One whose listener is full drops the first packet, and the next is tried
/// soon.
constexpr milliseconds usual_patience{120};
constexpr milliseconds first_pause{50};
constexpr milliseconds longest_pause{400};
/// More doublings than it takes from the first pause to the longest.
constexpr unsigned most_doublings = 8;

} // namespace

dial_times choose_dial_times(const dial_facts& facts)
{
    if (facts.m_since_isolated < common_start)
        return {start_pause, start_patience};
    const auto doublings =
        std::min(std::max(facts.m_failures, 1U) - 1, most_doublings);
    return {std::min(first_pause * (1 << doublings), longest_pause),
            usual_patience};
}

} // namespace pepperturn
