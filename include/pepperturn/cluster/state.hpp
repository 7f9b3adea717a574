// SPDX-License-Identifier: BSL-1.0
/// \file
/// What VMs believe about the world, as they tell each other: the operator's
/// configuration and the runners as opaque texts, the views of the replica
/// sets, which storage VMs are to be emptied, and which zones' runners are to
/// get nothing. Each part carries its
/// revision in the platform's store and only moves forward; of the runners,
/// each entry does.
#pragma once

#include "pepperturn/cluster/view.hpp"

#include <string_view>

namespace pepperturn {

/// One runner's entry, or that it has gone.
struct runner_entry
{
    std::string m_name;
    /// Empty if it has gone.
    std::string m_text;
    /// When it was written, or at the latest when it went.
    std::uint64_t m_revision = 0;
    bool m_removed = false;

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

/// The operator wants nothing sent to the runners of a zone, or takes it back.
struct evacuation
{
    std::string m_availability_zone;
    std::uint64_t m_revision = 0;
    bool m_withdrawn = false;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

struct cluster_state
{
    std::uint64_t m_config_revision = 0;
    /// Empty beside a revision: it may be asked for.
    std::string m_config;
    /// The entries are complete up to this; 0: these are some only.
    std::uint64_t m_runners_revision = 0;
    /// 0: a complete list is the whole one. Else it holds all that moved after
    /// this revision, gone ones among them.
    std::uint64_t m_runners_since = 0;
    /// Of runners that went up to this revision, some are forgotten.
    std::uint64_t m_tombstones_since = 0;
    /// By name.
    std::vector<runner_entry> m_runners;
    /// Of some or all replica sets, in their order.
    std::vector<cluster_view> m_views;
    /// On a VM's own disk: the newest epoch of its views, once nobody owned
    /// anything by older ones; 0: none.
    std::uint64_t m_settled_epoch = 0;
    /// By VM.
    std::vector<retirement> m_retirements;
    /// By zone.
    std::vector<evacuation> m_evacuations;

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
    /// Zones whose evacuations moved.
    std::vector<std::string> m_evacuations = {};

    [[nodiscard]] bool any() const
    {
        return m_config || !m_runners.empty() || !m_views.empty() ||
               !m_retirements.empty() || !m_evacuations.empty();
    }
    friend bool operator==(const state_change&, const state_change&) = default;
};

/// The entry of \p name among \p rows, which are in the order of their names;
/// null: there is none.
[[nodiscard]] const runner_entry*
find_runner(const std::vector<runner_entry>& rows, std::string_view name);
[[nodiscard]] runner_entry* find_runner(std::vector<runner_entry>& rows,
                                        std::string_view name);

/// Takes each part of \p news that is newer. An entry that a whole list
/// lacks has gone, unless it was written after that list.
state_change merge_state(cluster_state& state, const cluster_state& news);

/// Only what \p change names, for a VM that knew the state before. A large
/// configuration is left out, since several VMs tell of it.
[[nodiscard]] cluster_state changed_parts(const cluster_state& state,
                                          const state_change& change);

/// What a VM is told that may know nothing yet.
[[nodiscard]] cluster_state full_state(const cluster_state& state);

/// What a VM is told that knows all runners up to \p known: of these only what
/// came later, if all of that is known here.
[[nodiscard]] cluster_state updates_since(const cluster_state& state,
                                          std::uint64_t known);

/// The operator wants \p vm emptied.
[[nodiscard]] bool is_retired(const cluster_state& state,
                              const std::string& vm);

/// Zones whose runners are to get nothing.
[[nodiscard]] std::vector<std::string>
evacuated_zones(const cluster_state& state);

/// Of all views.
[[nodiscard]] std::uint64_t newest_epoch(const cluster_state& state);

/// Runners that have not gone.
[[nodiscard]] std::size_t count_runners(const cluster_state& state);

} // namespace pepperturn
