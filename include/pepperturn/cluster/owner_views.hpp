// SPDX-License-Identifier: BSL-1.0
/// \file
/// What one storage VM knows of the owners of limits, from the views of the
/// replica sets.
///
/// Load pattern: VMs that are cut off while views change twice and are back
/// where they were. Taken by their members alone, the views look as if
/// nothing had happened, and two VMs spend one share.
#pragma once

#include "pepperturn/cluster/view.hpp"
#include "pepperturn/tenancy/limit_owners.hpp"

namespace pepperturn {

struct owner_knowledge
{
    owner_history m_history = unknown_history();
    /// That it comes from.
    std::vector<cluster_view> m_views = {};

    friend bool operator==(const owner_knowledge&,
                           const owner_knowledge&) = default;
};

/// Nobody owns anything by an older view than the ones known.
[[nodiscard]] bool is_settled(const owner_knowledge& owners, instant now,
                              milliseconds takeover);

/// What a VM knows that starts with the views that it kept. Owners of views
/// that were replaced shortly before may still grant.
/// \param settled they had been \ref is_settled
[[nodiscard]] owner_knowledge
restore_knowledge(const std::vector<cluster_view>& views, bool settled,
                  instant now, milliseconds takeover);

/// Takes the views of now, and those that were missed as far as they tell.
/// \returns false if some remain unknown: the VM owns nothing for \p takeover
bool apply_views(owner_knowledge& owners,
                 const std::vector<cluster_view>& views, instant now,
                 milliseconds takeover);

} // namespace pepperturn
