// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/membership.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Every full member other than \p self has copied what \p self holds, and
/// there are enough of them.
bool copied_everywhere(const cluster_view& view, const membership_facts& facts)
{
    std::uint32_t copies = 0;
    for (const auto& row : view.m_members)
    {
        if (row.m_name == facts.m_self.m_name ||
            row.m_state != member_state::full)
            continue;
        if (!facts.m_copied_by.contains(row.m_name))
            return false;
        ++copies;
    }
    return copies > facts.m_disk_losses;
}

std::optional<cluster_view> view_for_leaving(const cluster_view& view,
                                             const member& own,
                                             const membership_facts& facts)
{
    if (own.m_state != member_state::leaving)
        return with_state(view, own.m_name, member_state::leaving);
    if (copied_everywhere(view, facts))
        return without(view, own.m_name);
    return std::nullopt;
}

std::optional<cluster_view> view_without_silent(const cluster_view& view,
                                                const membership_facts& facts)
{
    for (const auto& name : facts.m_silent)
    {
        if (may_evict(view, name, facts.m_disk_losses))
            return without(view, name);
    }
    return std::nullopt;
}

bool another_joins(const cluster_view& view, const std::string& self)
{
    return std::any_of(
        view.m_members.begin(), view.m_members.end(), [&](const member& row) {
            return row.m_name != self && row.m_state == member_state::joining;
        });
}

} // namespace

std::optional<cluster_view> wanted_view(const cluster_view& view,
                                        const membership_facts& facts)
{
    if (!facts.m_view_known)
        return std::nullopt;
    const auto& self = facts.m_self;
    const auto* own = find_member(view, self.m_name);
    const bool same_disk = own != nullptr && own->m_disk == self.m_disk;
    if (facts.m_retire)
        return same_disk ? view_for_leaving(view, *own, facts) : std::nullopt;
    if (!same_disk)
    {
        // Only a first start may begin with nothing; else an empty view
        // means that the store was read wrongly.
        if (view.m_members.empty() && !facts.m_bootstrap)
            return std::nullopt;
        // One after the other: while two join, the full members alone could
        // miss a write that only the joining ones have acknowledged.
        if (another_joins(view, self.m_name))
            return view_without_silent(view, facts);
        return with_joining(view, self);
    }
    if (own->m_address != self.m_address ||
        own->m_availability_zone != self.m_availability_zone)
    {
        auto moved = self;
        moved.m_state = own->m_state;
        auto next = without(view, self.m_name);
        next.m_members.push_back(moved);
        return next;
    }
    // It took no writes meanwhile, so it copies like a new one.
    if (own->m_state == member_state::leaving)
        return with_state(view, self.m_name, member_state::joining);
    if (own->m_state == member_state::joining)
    {
        if (facts.m_caught_up_at != view.m_epoch)
            return std::nullopt;
        return with_state(view, self.m_name, member_state::full);
    }
    return view_without_silent(view, facts);
}

bool is_emptied(const cluster_view& view, const membership_facts& facts)
{
    return facts.m_retire && facts.m_view_known && !view.m_members.empty() &&
           find_member(view, facts.m_self.m_name) == nullptr;
}

bool should_copy(const cluster_view& view, const std::string& self,
                 std::uint64_t caught_up_at)
{
    const auto* own = find_member(view, self);
    if (own == nullptr || caught_up_at == view.m_epoch)
        return false;
    if (own->m_state == member_state::joining)
        return true;
    return own->m_state == member_state::full &&
           std::any_of(view.m_members.begin(), view.m_members.end(),
                       [](const member& row) {
                           return row.m_state == member_state::leaving;
                       });
}

} // namespace pepperturn
