// SPDX-License-Identifier: BSL-1.0
/// \file
/// What one storage VM knows of the owners of limits, derived from the views of
/// the replica sets.
///
/// Failure prevented: a VM is partitioned while the view changes twice and
/// returns to the same members. Judged by members alone, nothing seems to have
/// happened, and two VMs grant the same share of a limit.
#pragma once

#include "pepperturn/cluster/view.hpp"
#include "pepperturn/tenancy/limit_owners.hpp"

namespace pepperturn {

struct owner_knowledge
{
    owner_history m_history = unknown_history();
    /// The views that the history is derived from.
    std::vector<cluster_view> m_views = {};

    friend bool operator==(const owner_knowledge&,
                           const owner_knowledge&) = default;
};

/// True if no owner by an older view than the known ones may still grant.
[[nodiscard]] bool is_settled(const owner_knowledge& owners, instant now,
                              milliseconds takeover);

/// What a VM knows when it starts with the views that it has stored. Owners by
/// views that were replaced shortly before may still grant.
/// \param settled whether the stored views were \ref is_settled
[[nodiscard]] owner_knowledge
restore_knowledge(const std::vector<cluster_view>& views, bool settled,
                  instant now, milliseconds takeover);

/// Applies the current views, and the missed ones as far as the recorded steps
/// describe them.
/// \returns false if some remain unknown: the VM owns nothing for \p takeover
bool apply_views(owner_knowledge& owners,
                 const std::vector<cluster_view>& views, instant now,
                 milliseconds takeover);

} // namespace pepperturn
