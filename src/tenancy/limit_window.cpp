// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limit_window.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Limits that change more often than this within a window are taken together
/// at their lowest.
constexpr std::size_t most_bounds = 8;
constexpr std::int64_t steps_in_window = slots_in_window / slots_in_step;
/// Sums of fractions come out a little beside whole numbers.
constexpr double rounding = 1e-3;

std::size_t index_of(std::int64_t slot)
{
    return static_cast<std::size_t>(slot) % limit_window::ring_size;
}

/// The oldest slot that a window up to now reaches: slots are counted whole,
/// so one more than the window is long.
std::int64_t oldest_slot(const limit_window& window)
{
    return window.m_current_slot - slots_in_window;
}

/// Sums of grants from the oldest slot on, so that any span is one difference.
class running_sums
{
public:
    explicit running_sums(const limit_window& window)
        : m_first(oldest_slot(window))
    {
        const auto last =
            std::max(window.m_current_slot, window.m_last_granted_slot);
        double sum = 0;
        for (auto slot = m_first; slot <= last; ++slot)
        {
            sum += static_cast<double>(window.m_counts.at(index_of(slot)));
            m_sums.at(static_cast<std::size_t>(slot - m_first)) = sum;
        }
        m_last = last;
    }

    /// Grants in the slots \p from to \p until, both included.
    [[nodiscard]] double between(std::int64_t from, std::int64_t until) const
    {
        return up_to(until) - up_to(from - 1);
    }

private:
    [[nodiscard]] double up_to(std::int64_t slot) const
    {
        if (slot < m_first)
            return 0;
        return m_sums[static_cast<std::size_t>(std::min(slot, m_last) -
                                               m_first)];
    }

    std::int64_t m_first;
    std::int64_t m_last = 0;
    std::array<double, limit_window::ring_size> m_sums{};
};

/// The span of \p steps that ends with \p end may hold one more.
bool has_room(const limit_window& window, const running_sums& sums,
              std::int64_t end, std::int64_t steps)
{
    const auto begin = end - steps * slots_in_step;
    double most = 0;
    for (auto row = window.m_bounds.rbegin(); row != window.m_bounds.rend();
         ++row)
    {
        most = std::max(most, max_in_span(*row, steps));
        const auto from = std::max(begin, row->m_from_slot);
        if (sums.between(from, end) + 1 > most + rounding)
            return false;
        if (row->m_from_slot <= begin)
            break;
    }
    return true;
}

bool has_room_at(const limit_window& window, const running_sums& sums,
                 std::int64_t slot)
{
    for (std::int64_t steps = 1; steps <= steps_in_window; ++steps)
    {
        const auto last = std::clamp(window.m_last_granted_slot, slot,
                                     slot + steps * slots_in_step);
        for (auto end = slot; end <= last; ++end)
        {
            if (!has_room(window, sums, end, steps))
                return false;
        }
    }
    return true;
}

} // namespace

std::int64_t slot_at(instant at)
{
    return at.time_since_epoch() / slot_length;
}

instant start_of_slot(std::int64_t slot)
{
    return instant{} + slot * slot_length;
}

double max_in_span(const window_bound& bound, std::int64_t steps)
{
    return bound.m_max_at_once + (bound.m_max - bound.m_max_at_once) *
                                     static_cast<double>(steps) /
                                     static_cast<double>(steps_in_window);
}

void advance_window(limit_window& window, std::int64_t now)
{
    if (now <= window.m_current_slot)
        return;
    // What leaves the window is cleared, for the ring to be used anew.
    const auto first = oldest_slot(window);
    const auto last =
        std::min(now - slots_in_window,
                 first + static_cast<std::int64_t>(limit_window::ring_size));
    for (auto slot = first; slot < last; ++slot)
        window.m_counts.at(index_of(slot)) = 0;
    window.m_current_slot = now;
    window.m_last_granted_slot = std::max(window.m_last_granted_slot, now);
    auto& bounds = window.m_bounds;
    while (bounds.size() > 1 && bounds[1].m_from_slot <= oldest_slot(window))
        bounds.erase(bounds.begin());
}

void set_window_bound(limit_window& window, double most, double at_once)
{
    auto& bounds = window.m_bounds;
    if (bounds.empty())
        bounds.push_back({oldest_slot(window), most, at_once});
    auto& newest = bounds.back();
    if (newest.m_max == most && newest.m_max_at_once == at_once)
        return;
    // Within one slot grants before and after a change are not told apart: all
    // of them count below the new bound.
    if (bounds.size() < most_bounds)
        bounds.push_back({window.m_current_slot, most, at_once});
    else
        newest = {newest.m_from_slot, std::min(newest.m_max, most),
                  std::min(newest.m_max_at_once, at_once)};
}

void scale_window(limit_window& window, double part)
{
    for (auto slot = oldest_slot(window); slot <= window.m_current_slot; ++slot)
        window.m_counts.at(index_of(slot)) *= static_cast<float>(part);
    for (auto& row : window.m_bounds)
    {
        row.m_max *= part;
        row.m_max_at_once *= part;
    }
}

std::optional<std::int64_t> find_free_slot(const limit_window& window,
                                           std::int64_t from,
                                           std::int64_t until)
{
    const running_sums sums(window);
    for (auto slot = from; slot <= until; ++slot)
    {
        if (has_room_at(window, sums, slot))
            return slot;
    }
    return std::nullopt;
}

void add_grant(limit_window& window, std::int64_t slot)
{
    window.m_counts.at(index_of(slot)) += 1;
    window.m_last_granted_slot = std::max(window.m_last_granted_slot, slot);
}

void remove_grant(limit_window& window, std::int64_t slot)
{
    if (slot < oldest_slot(window) || slot > window.m_last_granted_slot)
        return;
    auto& count = window.m_counts.at(index_of(slot));
    count = std::max(0.0F, count - 1);
    while (window.m_last_granted_slot > window.m_current_slot &&
           window.m_counts.at(index_of(window.m_last_granted_slot)) == 0)
        --window.m_last_granted_slot;
}

void assume_max_granted(limit_window& window, std::int64_t until)
{
    const auto& bound = window.m_bounds.back();
    double counted = 0;
    for (std::int64_t steps = 1; steps <= steps_in_window; ++steps)
    {
        const double next = max_in_span(bound, steps);
        const auto slot = until - (steps - 1) * slots_in_step;
        if (slot >= oldest_slot(window) && slot <= window.m_current_slot)
            window.m_counts.at(index_of(slot)) +=
                static_cast<float>(next - counted);
        counted = next;
    }
}

double count_recent_grants(const limit_window& window, std::int64_t slots)
{
    const running_sums sums(window);
    return sums.between(window.m_current_slot - slots,
                        window.m_last_granted_slot);
}

double count_future_grants(const limit_window& window)
{
    const running_sums sums(window);
    return sums.between(window.m_current_slot + 1, window.m_last_granted_slot);
}

} // namespace pepperturn
