// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts grants in a sliding window, exactly as an operator's limit is judged.
///
/// A limit says how many requests may run in any five seconds. A token bucket
/// that keeps this promise refuses requests far below it: what it has not
/// given out by the time it is full is lost, and its rate binds although the
/// window as a whole has room. Here grants are counted in short slots, and a
/// grant is given whenever no window over its instant is full.
///
/// Shorter spans are bounded as well (\ref most_in_span): a VM that restarts
/// has forgotten its grants and must take them to have been the most allowed.
/// If all of a window could be granted at one instant, it could grant nothing
/// for a whole window after; so bounded, room comes back from the first quarter
/// second on.
///
/// Places may be taken in the near future: a request that waits its turn has
/// its place counted where it will run.
#pragma once

#include "pepperturn/base/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// The span over which operators' limits are judged.
constexpr milliseconds limit_span{5000};
/// Grants are told apart by this: a hundredth of the window, so that rounding
/// up costs one in a hundred.
constexpr milliseconds slot_length{50};
constexpr std::int64_t slots_in_window = limit_span / slot_length;
/// Places are taken this far ahead at most: everything that was granted until
/// now is out of the window by then.
constexpr std::int64_t max_slots_ahead = slots_in_window;
/// Spans that are bounded besides the whole window: every quarter second.
constexpr std::int64_t slots_in_step = 5;
/// Number of the slot that \p at lies in.
[[nodiscard]] std::int64_t slot_at(instant at);
[[nodiscard]] instant start_of_slot(std::int64_t slot);

/// What spans may hold from an instant on.
struct window_bound
{
    std::int64_t m_from_slot = 0;
    /// In a whole window.
    double m_max = 0;
    /// Of that, at one instant. The rest comes evenly: with less of it, a VM
    /// that restarts would get less back in each second.
    double m_max_at_once = 0;

    friend bool operator==(const window_bound&, const window_bound&) = default;
};

/// What a span of \p steps quarter seconds may hold.
[[nodiscard]] double max_in_span(const window_bound& bound, std::int64_t steps);

struct limit_window
{
    /// Slots behind and ahead, and some to spare; a power of two.
    static constexpr std::size_t ring_size = 256;

    /// Grants by slot, modulo the ring's size.
    std::array<float, ring_size> m_counts{};
    /// The newest slot that time has come to; the ring holds those from a
    /// window before it on.
    std::int64_t m_current_slot = 0;
    /// The last slot with a place in it.
    std::int64_t m_last_granted_slot = 0;
    /// Bounds of now and of the last window, oldest first. A window that
    /// overlaps several may hold the most that any of them allows, and of
    /// what was granted since a lower one no more than that one.
    std::vector<window_bound> m_bounds;

    friend bool operator==(const limit_window&, const limit_window&) = default;
};

/// Lets time go on; forgets what no window reaches any more.
void advance_window(limit_window& window, std::int64_t now);

/// From now on windows may hold \p most, and \p at_once of it at one instant.
void set_window_bound(limit_window& window, double most, double at_once);

/// From now on this window is only \p part of what it was: so are its bounds
/// and what was granted. Whoever takes the rest counts the rest of these
/// grants.
void scale_window(limit_window& window, double part);

/// The earliest slot from \p from to \p until that has room for one more.
[[nodiscard]] std::optional<std::int64_t>
find_free_slot(const limit_window& window, std::int64_t from,
               std::int64_t until);

/// Counts one grant in \p slot.
void add_grant(limit_window& window, std::int64_t slot);
/// Takes one grant back; nothing, if its window is over.
void remove_grant(limit_window& window, std::int64_t slot);

/// Counts the most that may have been granted up to \p until by someone who
/// kept the newest bound.
void assume_max_granted(limit_window& window, std::int64_t until);

/// Grants in the last \p slots up to now, and places ahead.
[[nodiscard]] double count_recent_grants(const limit_window& window,
                                         std::int64_t slots);
/// Places ahead of now.
[[nodiscard]] double count_future_grants(const limit_window& window);

} // namespace pepperturn
