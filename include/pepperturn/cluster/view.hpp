// SPDX-License-Identifier: BSL-1.0
/// \file
/// The members of one replica set, that is, storage VMs that store the turns
/// and budgets of some programs, and the quorums that follow from them. A view
/// is one value in the platform's store, changed by compare-and-swap; its
/// revision there is the epoch of every request to the set.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

enum class member_state : std::uint8_t
{
    /// Takes writes, but does not hold all earlier ones yet.
    joining,
    full,
    /// Takes no new writes; others copy its data.
    leaving,
    /// Unresponsive for so long that it is treated as one of the tolerated
    /// losses. It takes no writes, and nobody waits for it.
    lost
};

/// True if copies stored by a member in this state count towards a write
/// quorum.
[[nodiscard]] constexpr bool takes_writes(member_state state)
{
    return state == member_state::joining || state == member_state::full;
}

struct member
{
    std::string m_name;
    /// IP:PORT of its frame listener.
    std::string m_address;
    std::string m_availability_zone;
    /// Random value chosen when the disk was first used; a different value
    /// means an empty disk. 0: the member is lost and its disk with it, so that
    /// nobody waits for what was on it.
    std::uint64_t m_disk = 0;
    member_state m_state = member_state::joining;
    /// Of a member that is not full: none of its copies that counted was lost
    /// with a disk. It was in no view before, or it still has the disk that it
    /// had when it was full.
    bool m_intact = false;

    friend bool operator==(const member&, const member&) = default;
};

/// Number of changes recorded in a view: more than occur while a VM can
/// be unreachable and still be of use afterwards.
constexpr std::size_t max_view_steps = 8;

/// One change of a view. A VM that missed some changes reconstructs the views
/// in between from these.
struct view_step
{
    /// Epoch of the view that was replaced.
    std::uint64_t m_epoch = 0;
    /// Members that started or stopped taking writes with this change.
    std::vector<std::string> m_toggled = {};

    friend bool operator==(const view_step&, const view_step&) = default;
};

struct cluster_view
{
    /// Revision of the key in the platform's store; 0: none known.
    std::uint64_t m_epoch = 0;
    std::vector<member> m_members = {};
    /// Index of the replica set, from 0.
    std::uint32_t m_set = 0;
    /// Number of replica sets of the fleet. It never changes: programs are
    /// hashed by it.
    std::uint32_t m_set_count = 1;
    /// The latest changes that led to this view, oldest first.
    std::vector<view_step> m_steps = {};
    /// Epoch in which a member became full although more disks had been lost
    /// than are tolerated; 0: none. Until what was acknowledged by then has
    /// expired, a turn that no member stores may be one that was lost.
    std::uint64_t m_gap_epoch = 0;

    friend bool operator==(const cluster_view&, const cluster_view&) = default;
};

/// \p next with the step from \p before to it appended.
[[nodiscard]] cluster_view append_step(const cluster_view& before,
                                       cluster_view next);

/// Names of the members that take writes, sorted.
using member_names = std::vector<std::string>;
[[nodiscard]] member_names writers_of(const cluster_view& view);

/// A view that was replaced by a later one.
struct earlier_view
{
    std::uint64_t m_epoch = 0;
    member_names m_writers;

    friend bool operator==(const earlier_view&, const earlier_view&) = default;
};

/// The predecessors of \p view, as far as its steps describe them, latest
/// first.
[[nodiscard]] std::vector<earlier_view> earlier_views(const cluster_view& view);

/// Members that took writes in each view between \p known and \p next, latest
/// first; empty: the steps of \p next do not reach back to \p known.
[[nodiscard]] std::optional<std::vector<member_names>>
writers_between(const cluster_view& known, const cluster_view& next);

[[nodiscard]] const member* find_member(const cluster_view& view,
                                        const std::string& name);

/// How many members must reply, within one view.
struct quorum_sizes
{
    /// Members that must have synced a write; joining ones count.
    std::uint32_t m_write = 0;
    /// Full members that together know every write acknowledged without the
    /// leaving ones, even if the disks of all joining members are lost.
    std::uint32_t m_read = 0;
    /// Full and leaving members that together know every write acknowledged
    /// while the leaving ones counted.
    std::uint32_t m_read_all = 0;

    friend bool operator==(const quorum_sizes&, const quorum_sizes&) = default;
};

/// \param disk_losses number of disks that may be lost at once without losing a
/// write
[[nodiscard]] quorum_sizes quorums_of(const cluster_view& view,
                                      std::uint32_t disk_losses);

/// True if the members that have replied know every acknowledged write
/// together, as far as the view has no gap.
[[nodiscard]] bool
is_read_quorum(const cluster_view& view, const quorum_sizes& quorums,
               const std::function<bool(const std::string&)>& has_replied);

/// The view with \p self added or put back as a joining member; the very first
/// member is full at once, since there is nothing to copy.
[[nodiscard]] cluster_view with_joining(cluster_view view, member self);

/// The view with one member's state changed.
[[nodiscard]] cluster_view
with_state(cluster_view view, const std::string& name, member_state state);

/// The view with a member lost whose disk is lost for good.
[[nodiscard]] cluster_view with_lost_disk(cluster_view view,
                                          const std::string& name);

/// The view with a member back in state joining, with the same disk.
[[nodiscard]] cluster_view with_return(cluster_view view,
                                       const std::string& name);

[[nodiscard]] cluster_view without(cluster_view view, const std::string& name);

/// True if \p name can be removed without copying anything first: enough full
/// members remain, and their read quorums still overlap with every acknowledged
/// write.
[[nodiscard]] bool may_evict(const cluster_view& view, const std::string& name,
                             std::uint32_t disk_losses);

/// True if \p name may be marked lost: one more loss is tolerated.
[[nodiscard]] bool may_mark_lost(const cluster_view& view,
                                 const std::string& name,
                                 std::uint32_t disk_losses);

/// The member that gathers the data of all others, so that what lost members
/// held has enough copies again and they can be removed; null: none is lost, or
/// too few members are left to remove any.
[[nodiscard]] const member* collector_of(const cluster_view& view,
                                         std::uint32_t disk_losses);

/// The view without lost members.
[[nodiscard]] cluster_view without_lost(cluster_view view);

} // namespace pepperturn
