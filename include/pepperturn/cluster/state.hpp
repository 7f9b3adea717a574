// SPDX-License-Identifier: BSL-1.0
/// \file
/// What VMs believe about the world, as they tell each other: the operator's
/// configuration and the runners as opaque texts, the views of the replica
/// sets, and which storage VMs are to be emptied. Each part carries its
/// revision in the platform's store and only moves forward; of the runners,
/// each entry does.
#pragma once

#include "pepperturn/cluster/view.hpp"

namespace pepperturn {

/// One runner's entry, or that it has gone.
struct runner_entry
{
    std::string m_name;
    /// Empty if it has gone.
    std::string m_text;
    /// When it was written, or at the latest when it went.
    std::uint64_t m_revision = 0;
    bool m_gone = false;

    friend bool operator==(const runner_entry&, const runner_entry&) = default;
};

/// The operator wants a storage VM emptied, or no longer.
struct retirement
{
    std::string m_vm;
    std::uint64_t m_revision = 0;
    bool m_withdrawn = false;

    friend bool operator==(const retirement&, const retirement&) = default;
};

struct cluster_state
{
    std::uint64_t m_config_revision = 0;
    /// Empty beside a revision: it may be asked for.
    std::string m_config;
    /// A whole list is complete up to this; 0: these are some entries only.
    std::uint64_t m_runners_revision = 0;
    /// By name.
    std::vector<runner_entry> m_runners;
    /// Of some or all replica sets, in their order.
    std::vector<cluster_view> m_views;
    /// By VM.
    std::vector<retirement> m_retirements;

    friend bool operator==(const cluster_state&,
                           const cluster_state&) = default;
};

/// Which parts moved.
struct state_change
{
    bool m_config = false;
    /// Runners whose entries moved.
    std::vector<std::string> m_runners = {};
    /// Replica sets whose views moved.
    std::vector<std::uint32_t> m_views = {};
    /// VMs whose retirements moved.
    std::vector<std::string> m_retirements = {};

    [[nodiscard]] bool any() const
    {
        return m_config || !m_runners.empty() || !m_views.empty() ||
               !m_retirements.empty();
    }
    friend bool operator==(const state_change&, const state_change&) = default;
};

/// Takes each part of \p news that is newer. An entry that a whole list
/// lacks has gone, unless it was written after that list.
state_change merge_state(cluster_state& state, const cluster_state& news);

/// Only what \p change names, for a VM that knew the state before. A large
/// configuration is left out, since several VMs tell of it.
[[nodiscard]] cluster_state parts_of(const cluster_state& state,
                                     const state_change& change);

/// What a VM is told that may know nothing yet.
[[nodiscard]] cluster_state whole_of(const cluster_state& state);

/// The operator wants \p vm emptied.
[[nodiscard]] bool is_retired(const cluster_state& state,
                              const std::string& vm);

/// Runners that have not gone.
[[nodiscard]] std::size_t count_runners(const cluster_state& state);

} // namespace pepperturn
