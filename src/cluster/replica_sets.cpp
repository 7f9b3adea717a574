// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/replica_sets.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace pepperturn {

namespace {

/// All initial views are written in one transaction, and stores limit its size
/// (32 writes and conditions in etcd-like ones).
constexpr std::size_t max_sets = 30;

/// Even where no disk loss must be tolerated, a restart should not stop a set.
constexpr std::size_t min_set_size = 3;

/// A write needs a majority, and a majority must remain after that many losses.
std::size_t min_members(std::uint32_t disk_losses)
{
    return std::max(2 * std::size_t{disk_losses} + 1, min_set_size);
}

/// Further members make writes more expensive and tolerate no further loss; a
/// set grows to this size while successors of lost members join.
std::size_t max_members(std::uint32_t disk_losses)
{
    return 2 * min_members(disk_losses) - 1;
}

/// Members that take writes and are reachable.
std::vector<member>
reachable_voters(const cluster_view& view,
                 const std::function<bool(const std::string&)>& is_reachable)
{
    std::vector<member> out;
    std::copy_if(view.m_members.begin(), view.m_members.end(),
                 std::back_inserter(out), [&](const member& row) {
                     return takes_writes(row.m_state) &&
                            is_reachable(row.m_name);
                 });
    return out;
}

std::size_t count_in_zone(const std::vector<member>& members,
                          const std::string& zone)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const member& row) {
            return row.m_availability_zone == zone;
        }));
}

} // namespace

std::uint32_t set_count_for(std::size_t vms, std::uint32_t disk_losses)
{
    const auto sets =
        std::clamp<std::size_t>(vms / min_members(disk_losses), 1, max_sets);
    return static_cast<std::uint32_t>(sets);
}

std::uint32_t set_of(std::uint64_t hash, std::uint32_t set_count)
{
    return set_count == 0 ? 0 : static_cast<std::uint32_t>(hash % set_count);
}

std::vector<cluster_view> initial_views(std::vector<member> vms,
                                        std::uint32_t disk_losses)
{
    const auto count = set_count_for(vms.size(), disk_losses);
    std::vector<cluster_view> views(count);
    for (std::uint32_t set = 0; set < count; ++set)
    {
        views[set].m_set = set;
        views[set].m_set_count = count;
    }
    // Distributed in zone order: adjacent VMs go to different sets.
    std::sort(vms.begin(), vms.end(), [](const member& a, const member& b) {
        return std::tie(a.m_availability_zone, a.m_name) <
               std::tie(b.m_availability_zone, b.m_name);
    });
    std::size_t next = 0;
    for (auto& vm : vms)
    {
        vm.m_state = member_state::full;
        vm.m_intact = false;
        views[next++ % count].m_members.push_back(std::move(vm));
    }
    return views;
}

const cluster_view* find_replica_set(const std::vector<cluster_view>& views,
                                     const std::string& vm)
{
    const auto found =
        std::find_if(views.begin(), views.end(), [&](const cluster_view& view) {
            return find_member(view, vm) != nullptr;
        });
    return found == views.end() ? nullptr : &*found;
}

std::vector<member> members_of(const std::vector<cluster_view>& views)
{
    std::vector<member> out;
    for (const auto& view : views)
        out.insert(out.end(), view.m_members.begin(), view.m_members.end());
    return out;
}

std::optional<std::uint32_t>
set_to_join(const std::vector<cluster_view>& views, const member& self,
            std::uint32_t disk_losses,
            const std::function<bool(const std::string&)>& is_reachable)
{
    using rank = std::tuple<std::size_t, std::size_t, std::uint64_t>;
    std::optional<std::uint32_t> best;
    rank best_rank;
    for (const auto& view : views)
    {
        const auto voters = reachable_voters(view, is_reachable);
        // There must be a member to copy from.
        if (voters.empty() || voters.size() >= max_members(disk_losses))
            continue;
        // The hash spreads VMs that arrive at the same time.
        const rank next{voters.size(),
                        count_in_zone(voters, self.m_availability_zone),
                        hash64(self.m_name, view.m_set)};
        if (best && next >= best_rank)
            continue;
        best = view.m_set;
        best_rank = next;
    }
    return best;
}

} // namespace pepperturn
