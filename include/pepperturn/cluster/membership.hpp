// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which change of the view a storage VM asks for, decided from what it sees.
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
    /// The platform's store has said what the view is, or that there is none.
    bool m_view_known = false;
    /// The operator wants this VM emptied.
    bool m_retire = false;
    /// Epoch at which this VM held a copy of everything; 0: never.
    std::uint64_t m_caught_up_at = 0;
    /// Members that have copied everything from this one in this epoch.
    std::set<std::string> m_copied_by;
    /// Members that have been silent for too long.
    std::set<std::string> m_unresponsive;
    /// Members that this VM does not hear now.
    std::set<std::string> m_unreachable;
    std::uint32_t m_disk_losses = 1;
};

/// The view to ask for, in place of \p view; empty: it may stay.
[[nodiscard]] std::optional<cluster_view>
desired_view(const cluster_view& view, const membership_facts& facts);

/// True if this VM is out of the view and all it held is elsewhere.
[[nodiscard]] bool is_emptied(const cluster_view& view,
                              const membership_facts& facts);

/// True if this VM should copy what others hold: it is joining, another one is
/// leaving, or lost ones are to be dropped.
[[nodiscard]] bool should_copy(const cluster_view& view,
                               const std::string& self,
                               std::uint64_t caught_up_at,
                               std::uint32_t disk_losses);

/// Whom a VM copies from, and of how many it needs everything.
struct copy_plan
{
    /// All of these.
    std::vector<std::string> m_required = {};
    /// As many of these as m_enough says.
    std::vector<std::string> m_any = {};
    std::uint32_t m_any_needed = 0;
    /// The required ones must have gathered what others hold before.
    bool m_gathered = false;

    friend bool operator==(const copy_plan&, const copy_plan&) = default;
};

[[nodiscard]] copy_plan plan_copy(const cluster_view& view,
                                  const std::string& self,
                                  std::uint32_t disk_losses);

} // namespace pepperturn
