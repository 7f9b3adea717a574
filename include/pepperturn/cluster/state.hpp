// SPDX-License-Identifier: BSL-1.0
/// \file
/// What VMs believe about the world, as they tell each other: the operator's
/// configuration and the runners as opaque texts, and the storage view. Each
/// part carries its revision in the platform's store and only moves forward.
#pragma once

#include "pepperturn/cluster/view.hpp"

namespace pepperturn {

struct named_text
{
    std::string m_name;
    std::string m_text;

    friend bool operator==(const named_text&, const named_text&) = default;
};

struct cluster_state
{
    std::uint64_t m_config_revision = 0;
    std::string m_config;
    std::uint64_t m_runners_revision = 0;
    std::vector<named_text> m_runners;
    cluster_view m_view;

    friend bool operator==(const cluster_state&,
                           const cluster_state&) = default;
};

/// Which parts moved.
struct state_change
{
    bool m_config = false;
    bool m_runners = false;
    bool m_view = false;

    [[nodiscard]] bool any() const
    {
        return m_config || m_runners || m_view;
    }
    friend bool operator==(const state_change&, const state_change&) = default;
};

/// Takes each part of \p news that is newer.
state_change merge_state(cluster_state& state, const cluster_state& news);

/// Only the parts that \p change names; the others have revision 0.
[[nodiscard]] cluster_state parts_of(const cluster_state& state,
                                     const state_change& change);

} // namespace pepperturn
