// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which storage VMs count the requests of a workspace.
///
/// A limit over all VMs is divided into equal shares, each counted by one
/// storage VM, its owner: the first few of all members by rendezvous hash.
/// Members change while VMs are cut off from each other, and no two VMs may
/// spend the same share. So
///  - an owner grants only while what it knows of the views is fresh
///    (\ref longest_use), which ends before
///  - a new owner begins: a VM's share is the smallest that it has in any list
///    of members that it has known within the takeover time.
/// A VM that was out of reach while its list was replaced and put back finds
/// the list that it knows: each view names the one before it, so that the gap
/// shows.
///
/// What a lost owner costs is its share: a third of the limit until the views
/// leave it out, and for the takeover after that.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pepperturn {

/// Owners of one workspace's limit, where there are as many members. Three:
/// limits leave about half as much again as is usual, so that one may be lost;
/// with more, the shares of small workspaces hold less than one program.
constexpr std::size_t target_owner_count = 3;

/// The owners of \p workspace among \p members, first one first.
/// \param workspace hash of its name
/// \param wanted owners, where there are as many members
[[nodiscard]] std::vector<std::string>
owners_of(const std::vector<std::string>& members, std::uint64_t workspace,
          std::size_t wanted = target_owner_count);

/// Lists of members that one VM has known.
struct owner_history
{
    struct period
    {
        /// Sorted.
        std::vector<std::string> m_members;
        /// When the next list came; the last one has none.
        instant m_replaced_at = instant::max();

        friend bool operator==(const period&, const period&) = default;
    };
    /// In their order.
    std::vector<period> m_periods;

    friend bool operator==(const owner_history&,
                           const owner_history&) = default;
};

/// A VM that knows nothing of earlier lists: it owns nothing until the owners
/// of before are surely over.
[[nodiscard]] owner_history unknown_history();

/// A list was in force that this VM has not heard of: it owns nothing until the
/// owners by that list are surely over.
void record_missed_members(owner_history& history, instant now,
                           milliseconds takeover);

/// Takes the members of now; forgets lists that have no say any more.
void record_members(owner_history& history, std::vector<std::string> members,
                    instant now, milliseconds takeover);

/// The share of the limit that \p self may grant now, from 0 to 1.
[[nodiscard]] double share_of(const owner_history& history,
                              const std::string& self, std::uint64_t workspace,
                              instant now, milliseconds takeover,
                              std::size_t wanted = target_owner_count);

/// Since when nobody but \p self has granted what it grants now, as far as it
/// remembers; the epoch of the clock: all the time.
/// \param share that it may grant now (\ref share_of)
[[nodiscard]] instant granting_since(const owner_history& history,
                                     const std::string& self,
                                     std::uint64_t workspace, double share,
                                     milliseconds takeover,
                                     std::size_t wanted = target_owner_count);

} // namespace pepperturn
