// SPDX-License-Identifier: BSL-1.0
/// \file
/// When a refused request may come back.
///
/// Load pattern: runners that are full for a moment, and VMs that have just
/// started. A refusal is sent as soon as it is known that the request is not
/// served now, so that its caller has the most time left for another try.
#pragma once

#include "pepperturn/base/time.hpp"

namespace pepperturn {

/// No runner took it: long enough for a slot to free up, a fraction of the
/// usual objective.
constexpr milliseconds retry_after_no_slot{60};
/// This VM hears no storage VM. The other VMs of its zone may be cut off with
/// it, and the balancer takes two misses a second apart to leave them out. A
/// turn is tried six times or more in all, so that these reach past that.
constexpr milliseconds retry_after_isolated{400};
/// The storage VMs did not answer, or the runner named a later time: they are
/// asked again within tens of milliseconds, a restarted one is back within
/// tenths of a second.
constexpr milliseconds retry_after_no_reply{250};
/// Without any configuration the VM has just started and the platform's
/// store is away: that takes a second or more.
constexpr milliseconds retry_after_unconfigured{1000};

} // namespace pepperturn
