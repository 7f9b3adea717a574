// SPDX-License-Identifier: BSL-1.0
/// \file
/// Decides which change of the view a storage VM requests, from what it
/// observes.
#pragma once

#include "pepperturn/cluster/view.hpp"

#include <optional>
#include <set>

namespace pepperturn {

/// What one storage VM knows when it decides.
struct membership_facts
{
    member m_self;
    /// The whole system starts for the first time.
    bool m_bootstrap = false;
    /// The platform's store was read: it returned the view, or that there is
    /// none.
    bool m_view_known = false;
    /// The operator has requested the retirement of this VM.
    bool m_retire = false;
    /// Epoch in which this VM held a copy of everything; 0: never.
    std::uint64_t m_caught_up_at = 0;
    /// Members that have copied everything from this one in this epoch.
    std::set<std::string> m_copied_by;
    /// Members that have been unresponsive long enough to be dropped.
    std::set<std::string> m_unresponsive;
    /// Those of them that have been so for so long that they are not expected
    /// to return.
    std::set<std::string> m_gone;
    /// What was acknowledged before the gap of the view has expired.
    bool m_gap_over = false;
    /// Members that this VM cannot reach at the moment.
    std::set<std::string> m_unreachable;
    std::uint32_t m_disk_losses = 1;
};

/// The view to request in place of \p view; empty: no change is needed.
[[nodiscard]] std::optional<cluster_view>
desired_view(const cluster_view& view, const membership_facts& facts);

/// True if this VM is out of the view and all its data is held by others.
[[nodiscard]] bool is_emptied(const cluster_view& view,
                              const membership_facts& facts);

/// True if this VM should copy data from others: it is joining, another member
/// is leaving, or lost members are to be removed.
[[nodiscard]] bool should_copy(const cluster_view& view,
                               const std::string& self,
                               std::uint64_t caught_up_at,
                               std::uint32_t disk_losses);

/// The members that a VM copies from, and how many complete copies it needs.
struct copy_plan
{
    /// All of these are needed.
    std::vector<std::string> m_required = {};
    /// Any m_any_needed of these are needed.
    std::vector<std::string> m_any = {};
    std::uint32_t m_any_needed = 0;
    /// The required members must first have gathered the data of all others.
    bool m_gathered = false;
    /// More disks have been lost than are tolerated: the required members hold
    /// everything that is left, and acknowledged writes may be missing.
    bool m_leaves_gap = false;

    friend bool operator==(const copy_plan&, const copy_plan&) = default;
};

[[nodiscard]] copy_plan plan_copy(const cluster_view& view,
                                  const std::string& self,
                                  std::uint32_t disk_losses);

} // namespace pepperturn
