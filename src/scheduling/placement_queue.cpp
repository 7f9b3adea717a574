// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement_queue.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Work per workspace and round: less than a usual call, so that long calls
/// need several rounds.
constexpr double quantum_ms = 50;
/// A call that has waited this much longer goes before one of the next better
/// rank or priority, so that no call starves. A rank outweighs the usual queue
/// timeout.
constexpr milliseconds rank_head_start{2000};
constexpr milliseconds priority_head_start{100};
/// Lower priorities are treated alike, so that all of them together weigh less
/// than a rank.
constexpr std::uint32_t max_priority = 16;
/// Rates measured over a few calls vary: a call is refused because of them
/// only if they predict twice the wait that it accepts.
constexpr double rate_weight = 0.5;
/// Limits on the work of a call, against implausible values.
constexpr double min_work_ms = 1;
constexpr double max_work_ms = 60'000;

/// Calls are placed in the order of this time.
instant order_time(const queued_call& entry)
{
    return entry.m_enqueued + static_cast<int>(entry.m_rank) * rank_head_start +
           std::min(entry.m_priority, max_priority) * priority_head_start;
}

double work_of(const queued_call& entry)
{
    // Also catches NaN, which compares false.
    if (!(entry.m_work_ms >= min_work_ms))
        return min_work_ms;
    return std::min(entry.m_work_ms, max_work_ms);
}

const workspace_queue* find_queue(const placement_queue& queue,
                                  std::uint64_t workspace)
{
    const auto row =
        std::find_if(queue.m_workspaces.begin(), queue.m_workspaces.end(),
                     [workspace](const workspace_queue& each) {
                         return each.m_workspace == workspace;
                     });
    return row == queue.m_workspaces.end() ? nullptr : &*row;
}

void drop_empty(placement_queue& queue)
{
    std::erase_if(queue.m_workspaces, [](const workspace_queue& row) {
        return row.m_calls.empty();
    });
}

} // namespace

bool has_begun_program(const queued_call& entry)
{
    return entry.m_rank != call_rank::first;
}

bool precedes(const queued_call& left, const queued_call& right)
{
    return order_time(left) < order_time(right);
}

void enqueue_call(placement_queue& queue, const queued_call& entry)
{
    auto row =
        std::find_if(queue.m_workspaces.begin(), queue.m_workspaces.end(),
                     [&entry](const workspace_queue& each) {
                         return each.m_workspace == entry.m_workspace;
                     });
    if (row == queue.m_workspaces.end())
        row = queue.m_workspaces.insert(
            row, {entry.m_workspace, 0, {.m_last = entry.m_enqueued}, {}});
    const auto at =
        std::upper_bound(row->m_calls.begin(), row->m_calls.end(), entry,
                         [](const queued_call& left, const queued_call& right) {
                             return precedes(left, right);
                         });
    row->m_calls.insert(at, entry);
    ++queue.m_size;
}

bool remove_queued(placement_queue& queue, std::uint64_t call)
{
    for (auto& row : queue.m_workspaces)
    {
        const auto found =
            std::erase_if(row.m_calls, [call](const queued_call& entry) {
                return entry.m_call == call;
            });
        if (found == 0)
            continue;
        queue.m_size -= found;
        drop_empty(queue);
        return true;
    }
    return false;
}

const queued_call* next_queued(placement_queue& queue)
{
    if (queue.m_workspaces.empty())
        return nullptr;
    while (true)
    {
        auto& row = queue.m_workspaces.front();
        if (row.m_deficit_ms >= work_of(row.m_calls.front()))
            return &row.m_calls.front();
        // Its round is over; the unused credit is carried over.
        row.m_deficit_ms += quantum_ms;
        std::rotate(queue.m_workspaces.begin(), queue.m_workspaces.begin() + 1,
                    queue.m_workspaces.end());
    }
}

void dequeue_next(placement_queue& queue, instant now)
{
    if (next_queued(queue) == nullptr)
        return;
    auto& row = queue.m_workspaces.front();
    row.m_deficit_ms -= work_of(row.m_calls.front());
    if (!has_begun_program(row.m_calls.front()))
        row.m_first_call_rate = add_admission(row.m_first_call_rate, now);
    row.m_calls.erase(row.m_calls.begin());
    --queue.m_size;
    drop_empty(queue);
}

std::vector<queued_call> remove_expired(placement_queue& queue, instant now)
{
    std::vector<queued_call> expired;
    for (auto& row : queue.m_workspaces)
    {
        for (const auto& entry : row.m_calls)
        {
            if (entry.m_deadline <= now)
                expired.push_back(entry);
        }
        std::erase_if(row.m_calls, [now](const queued_call& entry) {
            return entry.m_deadline <= now;
        });
    }
    queue.m_size -= expired.size();
    drop_empty(queue);
    return expired;
}

double work_ahead(const placement_queue& queue, const queued_call& entry,
                  bool begun_only)
{
    const auto counts = [begun_only](const queued_call& row) {
        return !begun_only || has_begun_program(row);
    };
    double own = work_of(entry);
    if (const auto* row = find_queue(queue, entry.m_workspace))
    {
        for (const auto& earlier : row->m_calls)
        {
            if (counts(earlier) && !precedes(entry, earlier))
                own += work_of(earlier);
        }
    }
    // Each other workspace may place as much in the meantime, if it has it
    // queued.
    double all = own;
    for (const auto& row : queue.m_workspaces)
    {
        if (row.m_workspace == entry.m_workspace)
            continue;
        double others = 0;
        for (const auto& earlier : row.m_calls)
        {
            if (others >= own)
                break;
            others += counts(earlier) ? work_of(earlier) : 0;
        }
        all += std::min(others, own);
    }
    return all - work_of(entry);
}

double expected_queue_wait(const placement_queue& queue,
                           const queued_call& entry, double places, instant now)
{
    const bool begun_program = has_begun_program(entry);
    const double by_work =
        work_ahead(queue, entry, begun_program) / std::max(places, 1.0);
    const auto* row = find_queue(queue, entry.m_workspace);
    if (begun_program || row == nullptr)
        return by_work;
    const auto ahead = static_cast<std::size_t>(std::count_if(
        row->m_calls.begin(), row->m_calls.end(),
        [&entry](const queued_call& earlier) {
            return !has_begun_program(earlier) && !precedes(entry, earlier);
        }));
    const auto by_rate = expected_wait(row->m_first_call_rate, ahead, now);
    return std::max(by_work,
                    rate_weight * static_cast<double>(by_rate.count()));
}

} // namespace pepperturn
