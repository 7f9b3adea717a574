// SPDX-License-Identifier: BSL-1.0
/// \file
/// Retry delays that refused requests are given.
///
/// Load pattern: runners that are full for a moment, and VMs that have just
/// started. A refusal is sent as soon as it is known that the request cannot
/// be served now, so that its caller has the most time left for another
/// attempt.
#pragma once

#include "pepperturn/base/time.hpp"

namespace pepperturn {

/// All runners are full: long enough for a slot to become free, a fraction of
/// the usual latency objective.
constexpr milliseconds retry_after_no_slot{60};
/// This VM is connected to no storage VM. The other VMs of its zone may be
/// partitioned with it, and the load balancer needs two failed health checks,
/// one second apart, to remove them. A turn is attempted at least six times in
/// all, so that these delays outlast that.
constexpr milliseconds retry_after_isolated{400};
/// The storage VMs did not reply, or the runner named a later time: requests
/// to them are repeated within tens of milliseconds, and a restarted one is
/// available within tenths of a second.
constexpr milliseconds retry_after_no_reply{250};
/// Runners have ended under the request, and whether it may be sent once more
/// is not known: attempts through other VMs are in progress, or the storage VMs
/// did not reply.
constexpr milliseconds retry_after_crashes{1000};
/// Without any configuration the VM has just started and the platform's store
/// is unavailable, which takes a second or more.
constexpr milliseconds retry_after_unconfigured{1000};

} // namespace pepperturn
