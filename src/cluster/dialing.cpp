// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/dialing.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// VMs that lost power together start within a few tenths of a second of each
/// other, and the slowest needs as long again until it listens.
constexpr milliseconds startup_window{2500};
/// A VM in the same region accepts a connection within milliseconds; one
/// without power does not reply, and the next attempt may find it running.
constexpr milliseconds startup_timeout{60};
constexpr milliseconds startup_pause{25};
/// A VM whose listen queue is full drops the first packet, and the next one is
/// sent soon.
constexpr milliseconds default_timeout{120};
constexpr milliseconds first_pause{50};
constexpr milliseconds max_pause{400};
/// More doublings than lead from the first pause to the longest.
constexpr unsigned max_doublings = 8;

} // namespace

dial_times choose_dial_times(const dial_facts& facts)
{
    if (facts.m_since_isolated < startup_window)
        return {startup_pause, startup_timeout};
    const auto doublings =
        std::min(std::max(facts.m_failures, 1U) - 1, max_doublings);
    return {std::min(first_pause * (1 << doublings), max_pause),
            default_timeout};
}

} // namespace pepperturn
