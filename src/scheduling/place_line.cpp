// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/place_line.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Work a workspace may have in one turn: less than a usual call, so that
/// long calls cost several turns.
constexpr double turn_ms = 50;
/// A call that has waited this much longer goes before one of the next
/// better rank or priority, so that nobody starves. A rank outweighs the
/// usual patience.
constexpr milliseconds rank_head_start{2000};
constexpr milliseconds priority_head_start{100};
/// Priorities beyond count alike: all of them stay less than a rank.
constexpr std::uint32_t lowest_priority = 16;
/// Rates of a few calls swing: a call is turned away for them only if they
/// make it wait twice as long as it may.
constexpr double rate_share = 0.5;
/// Least and most work that a call counts for, against absurd figures.
constexpr double least_work_ms = 1;
constexpr double most_work_ms = 60'000;

/// Calls go in the order of this time.
instant order_time(const line_entry& entry)
{
    return entry.m_since + static_cast<int>(entry.m_rank) * rank_head_start +
           std::min(entry.m_priority, lowest_priority) * priority_head_start;
}

double work_of(const line_entry& entry)
{
    // Not a number compares false.
    if (!(entry.m_work_ms >= least_work_ms))
        return least_work_ms;
    return std::min(entry.m_work_ms, most_work_ms);
}

const workspace_line* find_line(const place_line& line, std::uint64_t workspace)
{
    const auto row =
        std::find_if(line.m_workspaces.begin(), line.m_workspaces.end(),
                     [workspace](const workspace_line& each) {
                         return each.m_workspace == workspace;
                     });
    return row == line.m_workspaces.end() ? nullptr : &*row;
}

void drop_empty(place_line& line)
{
    std::erase_if(line.m_workspaces, [](const workspace_line& row) {
        return row.m_entries.empty();
    });
}

} // namespace

bool is_begun(const line_entry& entry)
{
    return entry.m_rank != call_rank::first;
}

bool goes_before(const line_entry& left, const line_entry& right)
{
    return order_time(left) < order_time(right);
}

void add_waiting(place_line& line, const line_entry& entry)
{
    auto row = std::find_if(line.m_workspaces.begin(), line.m_workspaces.end(),
                            [&entry](const workspace_line& each) {
                                return each.m_workspace == entry.m_workspace;
                            });
    if (row == line.m_workspaces.end())
        row = line.m_workspaces.insert(
            row, {entry.m_workspace, 0, {.m_last = entry.m_since}, {}});
    const auto at =
        std::upper_bound(row->m_entries.begin(), row->m_entries.end(), entry,
                         [](const line_entry& left, const line_entry& right) {
                             return goes_before(left, right);
                         });
    row->m_entries.insert(at, entry);
    ++line.m_size;
}

bool remove_waiting(place_line& line, std::uint64_t call)
{
    for (auto& row : line.m_workspaces)
    {
        const auto found =
            std::erase_if(row.m_entries, [call](const line_entry& entry) {
                return entry.m_call == call;
            });
        if (found == 0)
            continue;
        line.m_size -= found;
        drop_empty(line);
        return true;
    }
    return false;
}

const line_entry* next_waiting(place_line& line)
{
    if (line.m_workspaces.empty())
        return nullptr;
    while (true)
    {
        auto& row = line.m_workspaces.front();
        if (row.m_credit_ms >= work_of(row.m_entries.front()))
            return &row.m_entries.front();
        // Its turn is over; what it has left counts in the next.
        row.m_credit_ms += turn_ms;
        std::rotate(line.m_workspaces.begin(), line.m_workspaces.begin() + 1,
                    line.m_workspaces.end());
    }
}

void drop_next(place_line& line, instant now)
{
    if (next_waiting(line) == nullptr)
        return;
    auto& row = line.m_workspaces.front();
    row.m_credit_ms -= work_of(row.m_entries.front());
    if (!is_begun(row.m_entries.front()))
        row.m_opening = add_admission(row.m_opening, now);
    row.m_entries.erase(row.m_entries.begin());
    --line.m_size;
    drop_empty(line);
}

std::vector<line_entry> take_expired(place_line& line, instant now)
{
    std::vector<line_entry> expired;
    for (auto& row : line.m_workspaces)
    {
        for (const auto& entry : row.m_entries)
        {
            if (entry.m_until <= now)
                expired.push_back(entry);
        }
        std::erase_if(row.m_entries, [now](const line_entry& entry) {
            return entry.m_until <= now;
        });
    }
    line.m_size -= expired.size();
    drop_empty(line);
    return expired;
}

double work_before(const place_line& line, const line_entry& entry,
                   bool begun_only)
{
    const auto counts = [begun_only](const line_entry& row) {
        return !begun_only || is_begun(row);
    };
    double own = work_of(entry);
    if (const auto* row = find_line(line, entry.m_workspace))
    {
        for (const auto& before : row->m_entries)
        {
            if (counts(before) && !goes_before(entry, before))
                own += work_of(before);
        }
    }
    // Each other workspace has as much in the meantime, if it asks for it.
    double all = own;
    for (const auto& row : line.m_workspaces)
    {
        if (row.m_workspace == entry.m_workspace)
            continue;
        double others = 0;
        for (const auto& before : row.m_entries)
        {
            if (others >= own)
                break;
            others += counts(before) ? work_of(before) : 0;
        }
        all += std::min(others, own);
    }
    return all - work_of(entry);
}

double expected_line_wait(const place_line& line, const line_entry& entry,
                          double places, instant now)
{
    const bool begun = is_begun(entry);
    const double by_work =
        work_before(line, entry, begun) / std::max(places, 1.0);
    const auto* row = find_line(line, entry.m_workspace);
    if (begun || row == nullptr)
        return by_work;
    const auto ahead = static_cast<std::size_t>(std::count_if(
        row->m_entries.begin(), row->m_entries.end(),
        [&entry](const line_entry& before) {
            return !is_begun(before) && !goes_before(entry, before);
        }));
    const auto by_rate = expected_wait(row->m_opening, ahead, now);
    return std::max(by_work, rate_share * static_cast<double>(by_rate.count()));
}

} // namespace pepperturn
