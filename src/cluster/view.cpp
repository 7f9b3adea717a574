// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/view.hpp"

#include <algorithm>
#include <iterator>

namespace pepperturn {

namespace {

auto locate(auto& members, const std::string& name)
{
    return std::find_if(members.begin(), members.end(),
                        [&](const member& row) { return row.m_name == name; });
}

std::uint32_t count_in(const cluster_view& view, member_state state)
{
    return static_cast<std::uint32_t>(
        std::count_if(view.m_members.begin(), view.m_members.end(),
                      [&](const member& row) { return row.m_state == state; }));
}

std::uint32_t write_quorum(std::uint32_t voters, std::uint32_t disk_losses)
{
    return std::max(disk_losses + 1, voters / 2 + 1);
}

/// Any set of this many full members overlaps with every set that acknowledged
/// a write.
std::uint32_t read_quorum(std::uint32_t voters, std::uint32_t full,
                          std::uint32_t disk_losses)
{
    const auto write = write_quorum(voters, disk_losses);
    // With fewer voters than copies no write is acknowledged, and a joining
    // member copies from every full one.
    return write > voters ? std::max(full, 1U) : voters - write + 1;
}

} // namespace

cluster_view append_step(const cluster_view& before, cluster_view next)
{
    const auto old_names = writers_of(before);
    const auto new_names = writers_of(next);
    view_step step{before.m_epoch};
    std::set_symmetric_difference(old_names.begin(), old_names.end(),
                                  new_names.begin(), new_names.end(),
                                  std::back_inserter(step.m_toggled));
    next.m_steps = before.m_steps;
    next.m_steps.push_back(std::move(step));
    if (next.m_steps.size() > max_view_steps)
        next.m_steps.erase(next.m_steps.begin());
    return next;
}

member_names writers_of(const cluster_view& view)
{
    member_names out;
    for (const auto& row : view.m_members)
    {
        if (takes_writes(row.m_state))
            out.push_back(row.m_name);
    }
    std::sort(out.begin(), out.end());
    return out;
}

std::vector<earlier_view> earlier_views(const cluster_view& view)
{
    std::vector<earlier_view> out;
    auto names = writers_of(view);
    for (auto step = view.m_steps.rbegin(); step != view.m_steps.rend(); ++step)
    {
        member_names before;
        std::set_symmetric_difference(
            names.begin(), names.end(), step->m_toggled.begin(),
            step->m_toggled.end(), std::back_inserter(before));
        names = before;
        out.push_back({step->m_epoch, std::move(before)});
    }
    return out;
}

std::optional<std::vector<member_names>>
writers_between(const cluster_view& known, const cluster_view& next)
{
    std::vector<member_names> out;
    if (next.m_epoch == known.m_epoch)
        return out;
    for (auto& earlier : earlier_views(next))
    {
        if (earlier.m_epoch == known.m_epoch)
            return out;
        out.push_back(std::move(earlier.m_writers));
    }
    return std::nullopt;
}

const member* find_member(const cluster_view& view, const std::string& name)
{
    const auto found = locate(view.m_members, name);
    return found == view.m_members.end() ? nullptr : &*found;
}

quorum_sizes quorums_of(const cluster_view& view, std::uint32_t disk_losses)
{
    const auto voters = count_in(view, member_state::joining) +
                        count_in(view, member_state::full);
    const auto all = static_cast<std::uint32_t>(view.m_members.size());
    // A lost member does not reduce the number of copies that a write needs: it
    // may only be down, and the next disk to be lost may hold the only copy of
    // what a VM acknowledged alone. With fewer voters than copies the set
    // accepts no writes until a member returns or another one joins.
    const auto lost = count_in(view, member_state::lost);
    quorum_sizes out;
    out.m_write = write_quorum(voters, disk_losses);
    const auto full = count_in(view, member_state::full);
    // Lost members may have counted until a moment ago.
    out.m_read = std::max(read_quorum(voters, full, disk_losses),
                          read_quorum(voters + lost, full, disk_losses));
    const auto leaving = count_in(view, member_state::leaving);
    out.m_read_all =
        std::max(out.m_read, read_quorum(all, full + leaving, disk_losses));
    return out;
}

bool is_read_quorum(const cluster_view& view, const quorum_sizes& quorums,
                    const std::function<bool(const std::string&)>& has_replied)
{
    std::uint32_t full = 0;
    std::uint32_t leaving = 0;
    for (const auto& row : view.m_members)
    {
        if (!has_replied(row.m_name))
            continue;
        full += row.m_state == member_state::full ? 1 : 0;
        leaving += row.m_state == member_state::leaving ? 1 : 0;
    }
    return full >= quorums.m_read && full + leaving >= quorums.m_read_all;
}

cluster_view with_joining(cluster_view view, member self)
{
    self.m_state =
        view.m_members.empty() ? member_state::full : member_state::joining;
    const auto found = locate(view.m_members, self.m_name);
    self.m_intact = found == view.m_members.end() && !view.m_members.empty();
    if (found == view.m_members.end())
        view.m_members.push_back(std::move(self));
    else
        *found = std::move(self);
    return view;
}

cluster_view with_state(cluster_view view, const std::string& name,
                        member_state state)
{
    const auto found = locate(view.m_members, name);
    if (found != view.m_members.end())
    {
        const bool held_all = found->m_state == member_state::full ||
                              found->m_state == member_state::leaving ||
                              found->m_intact;
        found->m_state = state;
        // A member that is lost before it has its copies still lacks them when
        // it returns.
        found->m_intact = held_all && !takes_writes(state);
    }
    return view;
}

cluster_view with_lost_disk(cluster_view view, const std::string& name)
{
    const auto found = locate(view.m_members, name);
    if (found != view.m_members.end())
    {
        found->m_state = member_state::lost;
        found->m_intact = false;
        found->m_disk = 0;
    }
    return view;
}

cluster_view with_return(cluster_view view, const std::string& name)
{
    const auto found = locate(view.m_members, name);
    if (found != view.m_members.end())
        found->m_state = member_state::joining;
    return view;
}

cluster_view without(cluster_view view, const std::string& name)
{
    const auto found = locate(view.m_members, name);
    if (found != view.m_members.end())
        view.m_members.erase(found);
    return view;
}

bool may_evict(const cluster_view& view, const std::string& name,
               std::uint32_t disk_losses)
{
    const auto* row = find_member(view, name);
    if (row == nullptr || count_in(view, member_state::leaving) > 0 ||
        count_in(view, member_state::lost) > 0)
        return false;
    const auto after = without(view, name);
    const auto full = count_in(after, member_state::full);
    if (full < disk_losses + 2 || count_in(after, member_state::joining) > 0)
        return false;
    // A write may have been acknowledged by the evicted member and one fewer
    // than a quorum of the others; the smaller read quorum must still include
    // one of these. It does whenever the write quorum shrinks as well, that is,
    // from an even number of members.
    const auto before = static_cast<std::uint32_t>(view.m_members.size());
    return write_quorum(full, disk_losses) < write_quorum(before, disk_losses);
}

bool may_mark_lost(const cluster_view& view, const std::string& name,
                   std::uint32_t disk_losses)
{
    const auto* row = find_member(view, name);
    return row != nullptr && row->m_state != member_state::lost &&
           count_in(view, member_state::lost) < disk_losses;
}

const member* collector_of(const cluster_view& view, std::uint32_t disk_losses)
{
    // At the first loss: turns that the lost member held have a copy less than
    // promised until the others have copied them.
    if (count_in(view, member_state::lost) == 0 ||
        count_in(view, member_state::full) < disk_losses + 1)
        return nullptr;
    const member* first = nullptr;
    for (const auto& row : view.m_members)
    {
        if (row.m_state == member_state::full &&
            (first == nullptr || row.m_name < first->m_name))
            first = &row;
    }
    return first;
}

cluster_view without_lost(cluster_view view)
{
    std::erase_if(view.m_members, [](const member& row) {
        return row.m_state == member_state::lost;
    });
    return view;
}

} // namespace pepperturn
