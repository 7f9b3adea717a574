// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/membership.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Number of other full members that hold this VM's data; empty: some do not.
std::optional<std::uint32_t> copies_elsewhere(const cluster_view& view,
                                              const membership_facts& facts)
{
    std::uint32_t copies = 0;
    for (const auto& row : view.m_members)
    {
        if (row.m_name == facts.m_self.m_name ||
            row.m_state != member_state::full)
            continue;
        if (!facts.m_copied_by.contains(row.m_name))
            return std::nullopt;
        ++copies;
    }
    return copies;
}

/// True if enough others remain without this VM to keep every write.
bool others_suffice(const cluster_view& view, const membership_facts& facts)
{
    std::uint32_t count = 0;
    for (const auto& row : view.m_members)
    {
        // Members leave one at a time.
        if (row.m_state == member_state::leaving)
            return false;
        if (row.m_name != facts.m_self.m_name &&
            row.m_state == member_state::full &&
            !facts.m_unresponsive.contains(row.m_name))
            ++count;
    }
    return count > facts.m_disk_losses;
}

std::optional<cluster_view> view_for_leaving(const cluster_view& view,
                                             const member& own,
                                             const membership_facts& facts)
{
    if (own.m_state != member_state::leaving)
    {
        if (!others_suffice(view, facts))
            return std::nullopt;
        return with_state(view, own.m_name, member_state::leaving);
    }
    const auto copies = copies_elsewhere(view, facts);
    if (copies && *copies > facts.m_disk_losses)
        return without(view, own.m_name);
    return std::nullopt;
}

/// True if the copies of this member are unreachable or lost.
bool lacks_copies(const member& row)
{
    return row.m_state == member_state::lost ||
           (row.m_state == member_state::joining && !row.m_intact);
}

std::uint32_t count_lacking(const cluster_view& view)
{
    return static_cast<std::uint32_t>(std::count_if(
        view.m_members.begin(), view.m_members.end(), lacks_copies));
}

/// The view in which nobody waits for a member that is gone. Others may still
/// be waited for while they may return, so this is only for sets that need it:
/// they have as many lost members as are tolerated.
std::optional<cluster_view> view_without_gone(const cluster_view& view,
                                              const std::string& name,
                                              std::uint32_t disk_losses)
{
    const auto* row = find_member(view, name);
    if (row == nullptr)
        return std::nullopt;
    if (row->m_state != member_state::lost)
        return with_state(view, name, member_state::lost);
    if (row->m_disk != 0 && count_lacking(view) > disk_losses)
        return with_lost_disk(view, name);
    return std::nullopt;
}

std::optional<cluster_view>
view_without_unresponsive(const cluster_view& view,
                          const membership_facts& facts)
{
    for (const auto& name : facts.m_unresponsive)
    {
        if (may_evict(view, name, facts.m_disk_losses))
            return without(view, name);
        if (may_mark_lost(view, name, facts.m_disk_losses))
            return with_state(view, name, member_state::lost);
    }
    for (const auto& name : facts.m_gone)
    {
        auto next = view_without_gone(view, name, facts.m_disk_losses);
        if (next)
            return next;
    }
    return std::nullopt;
}

/// True if the data of the lost members is on every full member.
bool may_drop_lost(const cluster_view& view, const membership_facts& facts)
{
    const auto* collector = collector_of(view, facts.m_disk_losses);
    if (collector == nullptr || collector->m_name != facts.m_self.m_name ||
        facts.m_caught_up_at != view.m_epoch)
        return false;
    return copies_elsewhere(view, facts).has_value();
}

/// True if some member to copy from is reachable, or there is none to copy
/// from.
bool reaches_any(const cluster_view& view, const membership_facts& facts)
{
    bool any = false;
    for (const auto& row : view.m_members)
    {
        if (row.m_name == facts.m_self.m_name || !takes_writes(row.m_state))
            continue;
        if (!facts.m_unreachable.contains(row.m_name))
            return true;
        any = true;
    }
    return !any;
}

/// True if none of the others that take writes is expected to return: what
/// they alone held is lost, and waiting for them would be for ever.
bool all_others_gone(const cluster_view& view, const membership_facts& facts)
{
    return std::all_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member& row) {
                           return row.m_name == facts.m_self.m_name ||
                                  !takes_writes(row.m_state) ||
                                  facts.m_gone.contains(row.m_name);
                       });
}

/// Members that together hold every acknowledged write, if there are enough:
/// each write was on one more disk than may be lost, and no more members than
/// that lack their copies.
std::optional<std::vector<std::string>>
holders_of_all(const cluster_view& view, const std::string& self,
               std::uint32_t disk_losses)
{
    if (count_lacking(view) > disk_losses)
        return std::nullopt;
    std::vector<std::string> out;
    for (const auto& row : view.m_members)
    {
        if (row.m_name != self && takes_writes(row.m_state) &&
            !lacks_copies(row))
            out.push_back(row.m_name);
    }
    return out;
}

/// All members that may have any copies, if none of the others can return with
/// one: waiting for more would be for ever.
std::optional<std::vector<std::string>>
holders_of_rest(const cluster_view& view, const std::string& self)
{
    std::vector<std::string> out;
    for (const auto& row : view.m_members)
    {
        const bool lost = row.m_state == member_state::lost;
        if (lost && row.m_disk != 0)
            return std::nullopt;
        if (row.m_name != self && !lost)
            out.push_back(row.m_name);
    }
    return out;
}

bool another_joins(const cluster_view& view, const std::string& self)
{
    return std::any_of(
        view.m_members.begin(), view.m_members.end(), [&](const member& row) {
            return row.m_name != self && row.m_state == member_state::joining;
        });
}

/// True if no full member is left that could mark members lost.
bool no_full_responds(const cluster_view& view, const membership_facts& facts)
{
    return std::all_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member& row) {
                           return row.m_state != member_state::full ||
                                  facts.m_unresponsive.contains(row.m_name);
                       });
}

/// The view with this VM full, which has copied what its plan asks for.
cluster_view view_with_full(const cluster_view& view,
                            const membership_facts& facts)
{
    const auto& name = facts.m_self.m_name;
    auto next = with_state(view, name, member_state::full);
    if (plan_copy(view, name, facts.m_disk_losses).m_leaves_gap)
        next.m_gap_epoch = view.m_epoch;
    return next;
}

/// The view for a VM whose disk is not the one that the view knows.
std::optional<cluster_view> view_with_new_disk(const cluster_view& view,
                                               const membership_facts& facts)
{
    const auto& self = facts.m_self;
    // Only the first start of the system may begin with an empty view; at any
    // other time an empty view means that the store was read wrongly.
    if (view.m_members.empty() && !facts.m_bootstrap)
        return std::nullopt;
    // Members join one at a time: while two are joining, the full members alone
    // could miss a write that only the joining ones have acknowledged.
    if (!another_joins(view, self.m_name))
        return with_joining(view, self);
    // The copies on its old disk no longer exist, and nobody should wait for
    // them.
    const auto* own = find_member(view, self.m_name);
    if (own != nullptr && own->m_disk != 0)
        return with_lost_disk(view, self.m_name);
    return view_without_unresponsive(view, facts);
}

} // namespace

std::optional<cluster_view> desired_view(const cluster_view& view,
                                         const membership_facts& facts)
{
    if (!facts.m_view_known)
        return std::nullopt;
    const auto& self = facts.m_self;
    const auto* own = find_member(view, self.m_name);
    const bool same_disk = own != nullptr && own->m_disk == self.m_disk;
    // A joining member has copies that others may count on, and one that was
    // lost lacks some.
    const bool has_all = same_disk && (own->m_state == member_state::full ||
                                       own->m_state == member_state::leaving);
    if (facts.m_retire && has_all)
    {
        auto next = view_for_leaving(view, *own, facts);
        // Until it may leave it has the duties of any member.
        if (next || own->m_state == member_state::leaving)
            return next;
    }
    if (facts.m_retire && own == nullptr)
        return std::nullopt;
    if (!same_disk)
        return view_with_new_disk(view, facts);
    if (own->m_address != self.m_address ||
        own->m_availability_zone != self.m_availability_zone)
    {
        auto moved = self;
        moved.m_state = own->m_state;
        auto next = without(view, self.m_name);
        next.m_members.push_back(moved);
        return next;
    }
    // It took no writes meanwhile, so it copies like a new member.
    if (!takes_writes(own->m_state))
    {
        // While partitioned from the others it could not copy, and they would
        // remove it again at once.
        if (!reaches_any(view, facts) && !all_others_gone(view, facts))
            return std::nullopt;
        return with_return(view, self.m_name);
    }
    if (own->m_state == member_state::joining)
    {
        if (facts.m_caught_up_at == view.m_epoch)
            return view_with_full(view, facts);
        if (no_full_responds(view, facts))
            return view_without_unresponsive(view, facts);
        return std::nullopt;
    }
    if (may_drop_lost(view, facts))
        return without_lost(view);
    if (auto next = view_without_unresponsive(view, facts))
        return next;
    if (view.m_gap_epoch == 0 || !facts.m_gap_over)
        return std::nullopt;
    auto closed = view;
    closed.m_gap_epoch = 0;
    return closed;
}

bool is_emptied(const cluster_view& view, const membership_facts& facts)
{
    return facts.m_retire && facts.m_view_known && !view.m_members.empty() &&
           find_member(view, facts.m_self.m_name) == nullptr;
}

bool should_copy(const cluster_view& view, const std::string& self,
                 std::uint64_t caught_up_at, std::uint32_t disk_losses)
{
    const auto* own = find_member(view, self);
    if (own == nullptr || caught_up_at == view.m_epoch)
        return false;
    if (own->m_state == member_state::joining)
        return true;
    return own->m_state == member_state::full &&
           (collector_of(view, disk_losses) != nullptr ||
            std::any_of(view.m_members.begin(), view.m_members.end(),
                        [](const member& row) {
                            return row.m_state == member_state::leaving;
                        }));
}

copy_plan plan_copy(const cluster_view& view, const std::string& self,
                    std::uint32_t disk_losses)
{
    const auto* own = find_member(view, self);
    const bool joins = own != nullptr && own->m_state == member_state::joining;
    const auto* collector = joins ? nullptr : collector_of(view, disk_losses);
    const bool collects = collector != nullptr && collector->m_name == self;
    copy_plan plan;
    for (const auto& row : view.m_members)
    {
        if (row.m_name == self)
            continue;
        // A leaving member is the source of its own data. A joining one counted
        // for writes, and the lost members may have the other copies of these.
        if (row.m_state == member_state::leaving ||
            (collects && takes_writes(row.m_state)))
            plan.m_required.push_back(row.m_name);
        else if (joins && row.m_state == member_state::full)
            plan.m_any.push_back(row.m_name);
    }
    if (joins)
    {
        // Any read quorum knows every write. Writes since a member joined reach
        // a quorum in which it counts; earlier ones did so without it, or it
        // holds its part of them.
        const auto quorums =
            quorums_of(own->m_intact ? without(view, self) : view, disk_losses);
        const auto leaving = static_cast<std::uint32_t>(plan.m_required.size());
        plan.m_any_needed =
            std::max(quorums.m_read, quorums.m_read_all -
                                         std::min(quorums.m_read_all, leaving));
        // Several members joined at the same time after overlapping losses:
        // there may never be enough full ones.
        const auto holders = plan.m_any_needed > plan.m_any.size()
                                 ? holders_of_all(view, self, disk_losses)
                                 : std::nullopt;
        if (holders)
        {
            plan.m_required.insert(plan.m_required.end(), holders->begin(),
                                   holders->end());
            plan.m_any.clear();
            plan.m_any_needed = 0;
        }
        const auto rest = plan.m_any_needed > plan.m_any.size()
                              ? holders_of_rest(view, self)
                              : std::nullopt;
        if (rest)
            plan = {*rest, {}, 0, false, true};
    }
    if (collector != nullptr && !collects)
    {
        plan.m_required = {collector->m_name};
        plan.m_gathered = true;
    }
    return plan;
}

} // namespace pepperturn
