// SPDX-License-Identifier: BSL-1.0
/// \file
/// The members of one replica set: storage VMs that keep the turns and budgets
/// of some programs, and the quorums that follow from them. A view is one value
/// in the platform's store, changed by compare-and-swap; its revision there is
/// the epoch of every request to the set.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

enum class member_state : std::uint8_t
{
    /// Takes writes, but does not hold all earlier ones yet.
    joining,
    full,
    /// Takes no new writes; others copy what it holds.
    leaving,
    /// Silent for so long that it counts as one of the losses that may happen
    /// at once. It takes no writes, and nobody waits for it.
    lost
};

/// What a member in this state stores counts.
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
    /// Drawn when the disk was first used; another one is an empty disk.
    std::uint64_t m_disk = 0;
    member_state m_state = member_state::joining;
    /// Of a member that is not full: no copy that counted has been lost with a
    /// disk of it. Its name stood in no view before, or it has the disk that it
    /// had while it was full.
    bool m_intact = false;

    friend bool operator==(const member&, const member&) = default;
};

/// Changes of a view that are told with it: more than come within the time that
/// a VM is out of reach and still of use.
constexpr std::size_t max_view_steps = 8;

/// One change of a view. Whoever has missed some learns from these what stood
/// in between.
struct view_step
{
    /// Epoch of the view that was replaced.
    std::uint64_t m_epoch = 0;
    /// Members that began or ceased to take writes by it.
    std::vector<std::string> m_toggled = {};

    friend bool operator==(const view_step&, const view_step&) = default;
};

struct cluster_view
{
    /// Revision of the key in the platform's store; 0: none known.
    std::uint64_t m_epoch = 0;
    std::vector<member> m_members = {};
    /// Which replica set this is, from 0.
    std::uint32_t m_set = 0;
    /// Replica sets of the fleet. It never changes: programs are hashed by it.
    std::uint32_t m_set_count = 1;
    /// How it came to be, the latest steps, oldest first.
    std::vector<view_step> m_steps = {};

    friend bool operator==(const cluster_view&, const cluster_view&) = default;
};

/// \p next with the step that leads to it from \p before.
[[nodiscard]] cluster_view append_step(const cluster_view& before,
                                       cluster_view next);

/// Names of the members that take writes, sorted.
using member_names = std::vector<std::string>;
[[nodiscard]] member_names writers_of(const cluster_view& view);

/// A view that another one took the place of.
struct earlier_view
{
    std::uint64_t m_epoch = 0;
    member_names m_writers;

    friend bool operator==(const earlier_view&, const earlier_view&) = default;
};

/// Those that \p view came from, as far as it tells, the latest first.
[[nodiscard]] std::vector<earlier_view> earlier_views(const cluster_view& view);

/// Who took writes in each view that stood between \p known and \p next, the
/// latest first; empty: \p known is none that \p next came from, as far as it
/// tells.
[[nodiscard]] std::optional<std::vector<member_names>>
writers_between(const cluster_view& known, const cluster_view& next);

[[nodiscard]] const member* find_member(const cluster_view& view,
                                        const std::string& name);

/// How many members must answer, counted in one view.
struct quorum_sizes
{
    /// Members that must have synced a write (joining ones count).
    std::uint32_t m_write = 0;
    /// Full members that together know of every write that was acknowledged
    /// without the leaving ones, even if the disks of all joining members were
    /// lost.
    std::uint32_t m_read = 0;
    /// Full and leaving members that together know of every write that was
    /// acknowledged while the leaving ones counted.
    std::uint32_t m_read_all = 0;

    friend bool operator==(const quorum_sizes&, const quorum_sizes&) = default;
};

/// \param disk_losses disks that may be lost at once without losing a write
[[nodiscard]] quorum_sizes quorums_of(const cluster_view& view,
                                      std::uint32_t disk_losses);

/// The view with \p self added or put back as a joining member; the first
/// member of all is full at once, since there is nothing to copy.
[[nodiscard]] cluster_view with_joining(cluster_view view, member self);

/// The view with one member's state changed.
[[nodiscard]] cluster_view
with_state(cluster_view view, const std::string& name, member_state state);

/// The view with a member back as a joining one, with the disk that it had.
[[nodiscard]] cluster_view with_return(cluster_view view,
                                       const std::string& name);

[[nodiscard]] cluster_view without(cluster_view view, const std::string& name);

/// True if \p name may be dropped without copying anything first: enough
/// full members stay, and their read quorums still meet every write.
[[nodiscard]] bool may_evict(const cluster_view& view, const std::string& name,
                             std::uint32_t disk_losses);

/// True if \p name may be taken for lost: that many losses are borne.
[[nodiscard]] bool may_mark_lost(const cluster_view& view,
                                 const std::string& name,
                                 std::uint32_t disk_losses);

/// The member that gathers what all others hold, so that lost ones can be
/// dropped; null: another loss would be borne beside them, or too few are left
/// to drop any.
[[nodiscard]] const member* collector_of(const cluster_view& view,
                                         std::uint32_t disk_losses);

/// The view with nobody lost.
[[nodiscard]] cluster_view without_lost(cluster_view view);

} // namespace pepperturn
