// SPDX-License-Identifier: BSL-1.0
/// \file
/// Determines which storage VMs count the requests of a workspace.
///
/// A fleet-wide limit is divided into equal shares. Each is counted by one
/// storage VM, its owner; the owners are the first few members by rendezvous
/// hash. Membership changes while VMs are partitioned from each other, and no
/// two VMs may grant from the same share. Therefore
///  - an owner grants only while its views are fresh (\ref max_use_age), which
///    ends before
///  - a new owner starts: a VM's share is the smallest that it has in any
///    member list that it has known within the takeover time.
///
/// Each view names its predecessor. A VM that was unreachable while its member
/// list was replaced and restored thus detects the gap, although it finds the
/// list that it knows.
///
/// Losing an owner costs its share: a third of the limit until the views
/// exclude it, and for the takeover time after that.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pepperturn {

/// Number of owners of one workspace's limit, if there are as many members.
/// With three, one may be lost: limits are usually set about half above the
/// normal load. With more, the share of a small workspace would hold less than
/// one program.
constexpr std::size_t target_owner_count = 3;

/// Returns the owners of \p workspace among \p members, in rank order.
/// \param workspace hash of its name
/// \param target number of owners, if there are as many members
[[nodiscard]] std::vector<std::string>
owners_of(const std::vector<std::string>& members, std::uint64_t workspace,
          std::size_t target = target_owner_count);

/// Member lists that one VM has known.
struct owner_history
{
    struct period
    {
        /// Sorted.
        std::vector<std::string> m_members;
        /// When the next list replaced this one; instant::max() for the current
        /// one.
        instant m_replaced_at = instant::max();

        friend bool operator==(const period&, const period&) = default;
    };
    /// Oldest first.
    std::vector<period> m_periods;

    friend bool operator==(const owner_history&,
                           const owner_history&) = default;
};

/// History of a VM that knows no earlier lists: it owns nothing until all
/// previous owners have stopped granting.
[[nodiscard]] owner_history unknown_history();

/// Records that an unknown list was in force: this VM owns nothing until the
/// owners by that list have stopped granting.
void record_missed_members(owner_history& history, instant now,
                           milliseconds takeover);

/// Records the current members and drops lists that no longer have an effect.
void record_members(owner_history& history, std::vector<std::string> members,
                    instant now, milliseconds takeover);

/// Returns the share of the limit that \p self may grant now, from 0 to 1.
[[nodiscard]] double share_of(const owner_history& history,
                              const std::string& self, std::uint64_t workspace,
                              instant now, milliseconds takeover,
                              std::size_t target = target_owner_count);

/// Returns the time since which only \p self has granted its present share, as
/// far as the history reaches; the clock's epoch: always.
/// \param share that it may grant now (\ref share_of)
[[nodiscard]] instant granting_since(const owner_history& history,
                                     const std::string& self,
                                     std::uint64_t workspace, double share,
                                     milliseconds takeover,
                                     std::size_t target = target_owner_count);

} // namespace pepperturn
