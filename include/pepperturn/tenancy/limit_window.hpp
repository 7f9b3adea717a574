// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts grants in a sliding window, exactly as an operator's limit is judged.
///
/// A limit states how many requests may run in any five seconds. A token bucket
/// that guarantees this refuses requests far below the limit: tokens that are
/// unused when it is full are lost, and its rate binds although the window as a
/// whole has capacity. Here grants are counted in short slots, and a grant is
/// given whenever no window that contains it is full.
///
/// Shorter spans are bounded as well (\ref max_in_span). A VM that restarts has
/// lost its counts and must assume that the maximum was granted. If a whole
/// window could be granted at one instant, it could then grant nothing for a
/// whole window; with the bounds, capacity becomes free again from the first
/// quarter second on.
///
/// Grants may lie in the near future: a request that waits is counted in the
/// slot in which it will run.
#pragma once

#include "pepperturn/base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// The span over which operators' limits are judged.
constexpr milliseconds limit_span{5000};
/// Resolution of the counts: a hundredth of the window, so that rounding up
/// costs one percent.
constexpr milliseconds slot_length{50};
constexpr std::int64_t slots_in_window = limit_span / slot_length;
/// Grants are given at most this far ahead: everything that was granted until
/// now is out of the window by then.
constexpr std::int64_t max_slots_ahead = slots_in_window;
/// Shorter spans are bounded in steps of this length, a quarter second.
constexpr std::int64_t slots_in_step = 5;
/// Returns the number of the slot that contains \p at.
[[nodiscard]] std::int64_t slot_at(instant at);
[[nodiscard]] instant start_of_slot(std::int64_t slot);

/// Bounds on grants that apply from a slot on.
struct window_bound
{
    std::int64_t m_from_slot = 0;
    /// Maximum grants in a whole window.
    double m_max = 0;
    /// Part of m_max that may be granted at one instant. The rest is spread
    /// evenly: if it were less, a VM that restarts would regain less capacity
    /// each second.
    double m_max_at_once = 0;

    friend bool operator==(const window_bound&, const window_bound&) = default;
};

/// Returns the maximum grants in a span of \p steps quarter seconds.
[[nodiscard]] double max_in_span(const window_bound& bound, std::int64_t steps);

struct limit_window
{
    /// Holds the slots of the past window and of the one ahead; a power of two.
    static constexpr std::size_t ring_size = 256;

    /// Grants by slot number modulo the ring's size.
    std::array<float, ring_size> m_counts{};
    /// The current slot; the ring holds slots from a window before it on.
    std::int64_t m_current_slot = 0;
    /// The last slot that holds a grant, or the current one.
    std::int64_t m_last_granted_slot = 0;
    /// Bounds in force now and during the last window, oldest first. A window
    /// that overlaps several may hold the highest maximum among them, but the
    /// grants since a lower bound took effect may not exceed that bound.
    std::vector<window_bound> m_bounds;

    friend bool operator==(const limit_window&, const limit_window&) = default;
};

/// Advances to slot \p now and clears slots that no window contains any more.
void advance_window(limit_window& window, std::int64_t now);

/// From now on, windows may hold \p max_grants, \p at_once of them at one
/// instant.
void set_window_bound(limit_window& window, double max_grants, double at_once);

/// Scales the bounds and the past grants by \p factor, when this VM's share of
/// the limit shrinks. The VM that takes over the rest counts the rest of the
/// grants.
void scale_window(limit_window& window, double factor);

/// Returns the earliest slot from \p from to \p until that can hold one more
/// grant.
[[nodiscard]] std::optional<std::int64_t>
find_free_slot(const limit_window& window, std::int64_t from,
               std::int64_t until);

/// Counts one grant in \p slot.
void add_grant(limit_window& window, std::int64_t slot);
/// Removes one grant; has no effect if its window is over.
void remove_grant(limit_window& window, std::int64_t slot);

/// Counts the maximum that a VM under the newest bound may have granted up to
/// \p until.
void assume_max_granted(limit_window& window, std::int64_t until);

/// Returns the grants in the last \p slots up to now and in all future slots.
[[nodiscard]] double count_recent_grants(const limit_window& window,
                                         std::int64_t slots);
/// Returns the grants in future slots.
[[nodiscard]] double count_future_grants(const limit_window& window);

} // namespace pepperturn
