// SPDX-License-Identifier: BSL-1.0
/// \file
/// The cluster state that VMs replicate to each other: the operator's
/// configuration and the runners as opaque texts, the views of the replica
/// sets, which storage VMs are to be retired, and which zones' runners are to
/// receive no requests. Each part carries its revision in the platform's store
/// and only moves forward; for runners, each entry does.
#pragma once

#include "pepperturn/cluster/view.hpp"

#include <optional>
#include <string_view>

namespace pepperturn {

/// One runner's entry, or a tombstone if the runner was removed.
struct runner_entry
{
    std::string m_name;
    /// Empty in a tombstone.
    std::string m_text;
    /// Revision of the last write; of a tombstone, an upper bound of the
    /// revision of the removal.
    std::uint64_t m_revision = 0;
    bool m_removed = false;

    friend bool operator==(const runner_entry&, const runner_entry&) = default;
};

/// Request of the operator to retire a storage VM, or its withdrawal.
struct retirement
{
    std::string m_vm;
    std::uint64_t m_revision = 0;
    bool m_withdrawn = false;

    friend bool operator==(const retirement&, const retirement&) = default;
};

/// Request of the operator to send nothing to the runners of a zone, or its
/// withdrawal.
struct evacuation
{
    std::string m_availability_zone;
    std::uint64_t m_revision = 0;
    bool m_withdrawn = false;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

/// The runners whose names lie in a range, as a part of a list of all.
struct runner_range
{
    /// Exclusive; empty: from the first runner.
    std::string m_after;
    /// Inclusive; empty: to the last runner.
    std::string m_until;

    [[nodiscard]] bool is_last() const
    {
        return m_until.empty();
    }
    friend bool operator==(const runner_range&, const runner_range&) = default;
};

struct cluster_state
{
    std::uint64_t m_config_revision = 0;
    /// Empty with a revision: only announced; the text can be requested.
    std::string m_config;
    /// The entries are complete up to this revision; 0: a partial list.
    std::uint64_t m_runners_revision = 0;
    /// 0: a complete list holds all runners. Otherwise it holds all changes
    /// after this revision, tombstones included.
    std::uint64_t m_runners_since = 0;
    /// Of changes after a revision: runners that are not among them and were
    /// last written after it have been removed, without a tombstone.
    bool m_exhaustive = false;
    /// Set: the list holds the runners of this range only. The last part of a
    /// list arrives after all others and after the changes made meanwhile, so
    /// that it completes them.
    std::optional<runner_range> m_range;
    /// Tombstones up to this revision may have been dropped.
    std::uint64_t m_tombstones_since = 0;
    /// Sorted by name.
    std::vector<runner_entry> m_runners;
    /// Of some or all replica sets, sorted by set.
    std::vector<cluster_view> m_views;
    /// Only in a VM's local storage: the newest epoch of its views once no
    /// owner by an older view may still grant; 0: none.
    std::uint64_t m_settled_epoch = 0;
    /// Sorted by VM.
    std::vector<retirement> m_retirements;
    /// Sorted by zone.
    std::vector<evacuation> m_evacuations;

    friend bool operator==(const cluster_state&,
                           const cluster_state&) = default;
};

/// Which parts a merge changed.
struct state_change
{
    bool m_config = false;
    /// Runners whose entries changed.
    std::vector<std::string> m_runners = {};
    /// Replica sets whose views changed.
    std::vector<std::uint32_t> m_views = {};
    /// VMs whose retirements changed.
    std::vector<std::string> m_retirements = {};
    /// Zones whose evacuations changed.
    std::vector<std::string> m_evacuations = {};

    [[nodiscard]] bool any() const
    {
        return m_config || !m_runners.empty() || !m_views.empty() ||
               !m_retirements.empty() || !m_evacuations.empty();
    }
    friend bool operator==(const state_change&, const state_change&) = default;
};

/// The entry of \p name in \p rows, which are sorted by name; null: there is
/// none.
[[nodiscard]] const runner_entry*
find_runner(const std::vector<runner_entry>& rows, std::string_view name);
[[nodiscard]] runner_entry* find_runner(std::vector<runner_entry>& rows,
                                        std::string_view name);

/// Applies each part of \p update that is newer. An entry that a complete list
/// lacks was removed, unless it was written after that list.
state_change merge_state(cluster_state& state, const cluster_state& update);
/// The same for an update that is not needed afterwards: a list of all runners
/// is not held twice.
state_change merge_state(cluster_state& state, cluster_state&& update);

/// The parts in \p change, for a VM that had the previous state. A large
/// configuration is only announced, since several VMs send the same update.
[[nodiscard]] cluster_state changed_parts(const cluster_state& state,
                                          const state_change& change);

/// The complete state, for a VM that may know nothing yet.
[[nodiscard]] cluster_state full_state(const cluster_state& state);

/// Puts all runners of \p state that were written after \p since into \p out.
void add_all_changes(const cluster_state& state, std::uint64_t since,
                     cluster_state& out);

/// The state for a VM that knows all runners up to \p known: of the runners
/// only later changes, if tombstones reach back that far; else all.
[[nodiscard]] cluster_state updates_since(const cluster_state& state,
                                          std::uint64_t known);

/// True if \ref updates_since has to list all runners.
[[nodiscard]] bool needs_full_list(const cluster_state& state,
                                   std::uint64_t known);

/// A part of the complete state: the runners after \p after in the order of
/// names, as many as take about \p max_bytes. All else is in the first part.
/// \param after empty: the first part
[[nodiscard]] cluster_state list_part(const cluster_state& state,
                                      const std::string& after,
                                      std::size_t max_bytes);

/// True if the operator has requested the retirement of \p vm.
[[nodiscard]] bool is_retired(const cluster_state& state,
                              const std::string& vm);

/// Zones whose runners are to receive no requests.
[[nodiscard]] std::vector<std::string>
evacuated_zones(const cluster_state& state);

/// Newest epoch of all views.
[[nodiscard]] std::uint64_t newest_epoch(const cluster_state& state);

/// Number of runners, without tombstones.
[[nodiscard]] std::size_t count_runners(const cluster_state& state);

} // namespace pepperturn
