// SPDX-License-Identifier: BSL-1.0
/// \file
/// What VMs believe about the world, as they tell each other: the operator's
/// configuration and the runners as opaque texts, and the storage view. Each
/// part carries its revision in the platform's store and only moves forward;
/// of the runners, each entry does.
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

struct cluster_state
{
    std::uint64_t m_config_revision = 0;
    /// Empty beside a revision: it may be asked for.
    std::string m_config;
    /// A whole list is complete up to this; 0: these are some entries only.
    std::uint64_t m_runners_revision = 0;
    /// By name.
    std::vector<runner_entry> m_runners;
    cluster_view m_view;

    friend bool operator==(const cluster_state&,
                           const cluster_state&) = default;
};

/// Which parts moved.
struct state_change
{
    bool m_config = false;
    /// Runners whose entries moved.
    std::vector<std::string> m_runners = {};
    bool m_view = false;

    [[nodiscard]] bool any() const
    {
        return m_config || !m_runners.empty() || m_view;
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

/// Runners that have not gone.
[[nodiscard]] std::size_t count_runners(const cluster_state& state);

} // namespace pepperturn
