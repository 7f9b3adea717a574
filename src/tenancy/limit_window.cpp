// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limit_window.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// If a limit changes more often than this within a window, the newest bounds
/// are merged to their minimum.
constexpr std::size_t max_bounds = 8;
constexpr std::int64_t steps_in_window = slots_in_window / slots_in_step;
/// Tolerance for rounding errors in sums of fractions.
constexpr double rounding_tolerance = 1e-3;

std::size_t index_of(std::int64_t slot)
{
    return static_cast<std::size_t>(slot) % limit_window::ring_size;
}

/// The oldest slot of a window that ends now: slots are counted whole, so it is
/// one slot longer than the nominal window.
std::int64_t oldest_slot(const limit_window& window)
{
    return window.m_current_slot - slots_in_window;
}

/// Prefix sums of grants from the oldest slot on: the sum over any span is one
/// difference.
class prefix_sums
{
public:
    explicit prefix_sums(const limit_window& window)
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

    /// Returns the grants in the slots \p from to \p until, both inclusive.
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

/// Returns whether the span of \p steps that ends with \p end can hold one more
/// grant.
bool span_has_capacity(const limit_window& window, const prefix_sums& sums,
                       std::int64_t end, std::int64_t steps)
{
    const auto begin = end - steps * slots_in_step;
    double max_grants = 0;
    for (auto row = window.m_bounds.rbegin(); row != window.m_bounds.rend();
         ++row)
    {
        max_grants = std::max(max_grants, max_in_span(*row, steps));
        const auto from = std::max(begin, row->m_from_slot);
        if (sums.between(from, end) + 1 > max_grants + rounding_tolerance)
            return false;
        if (row->m_from_slot <= begin)
            break;
    }
    return true;
}

bool slot_has_capacity(const limit_window& window, const prefix_sums& sums,
                       std::int64_t slot)
{
    for (std::int64_t steps = 1; steps <= steps_in_window; ++steps)
    {
        const auto last = std::clamp(window.m_last_granted_slot, slot,
                                     slot + steps * slots_in_step);
        for (auto end = slot; end <= last; ++end)
        {
            if (!span_has_capacity(window, sums, end, steps))
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
    // Slots that leave the window are cleared for reuse by the ring.
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

void set_window_bound(limit_window& window, double max_grants, double at_once)
{
    auto& bounds = window.m_bounds;
    if (bounds.empty())
        bounds.push_back({oldest_slot(window), max_grants, at_once});
    auto& newest = bounds.back();
    if (newest.m_max == max_grants && newest.m_max_at_once == at_once)
        return;
    // Grants before and after a change within one slot cannot be distinguished:
    // all of them count against the new bound.
    if (bounds.size() < max_bounds)
        bounds.push_back({window.m_current_slot, max_grants, at_once});
    else
        newest = {newest.m_from_slot, std::min(newest.m_max, max_grants),
                  std::min(newest.m_max_at_once, at_once)};
}

void scale_window(limit_window& window, double factor)
{
    for (auto slot = oldest_slot(window); slot <= window.m_current_slot; ++slot)
        window.m_counts.at(index_of(slot)) *= static_cast<float>(factor);
    for (auto& row : window.m_bounds)
    {
        row.m_max *= factor;
        row.m_max_at_once *= factor;
    }
}

std::optional<std::int64_t> find_free_slot(const limit_window& window,
                                           std::int64_t from,
                                           std::int64_t until)
{
    const prefix_sums sums(window);
    for (auto slot = from; slot <= until; ++slot)
    {
        if (slot_has_capacity(window, sums, slot))
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
    const prefix_sums sums(window);
    return sums.between(window.m_current_slot - slots,
                        window.m_last_granted_slot);
}

double count_future_grants(const limit_window& window)
{
    const prefix_sums sums(window);
    return sums.between(window.m_current_slot + 1, window.m_last_granted_slot);
}

} // namespace pepperturn
