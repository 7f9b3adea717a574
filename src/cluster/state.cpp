// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/state.hpp"

namespace pepperturn {

state_change merge_state(cluster_state& state, const cluster_state& news)
{
    state_change change;
    if (news.m_config_revision > state.m_config_revision)
    {
        state.m_config_revision = news.m_config_revision;
        state.m_config = news.m_config;
        change.m_config = true;
    }
    if (news.m_runners_revision > state.m_runners_revision)
    {
        state.m_runners_revision = news.m_runners_revision;
        state.m_runners = news.m_runners;
        change.m_runners = true;
    }
    if (news.m_view.m_epoch > state.m_view.m_epoch)
    {
        state.m_view = news.m_view;
        change.m_view = true;
    }
    return change;
}

cluster_state parts_of(const cluster_state& state, const state_change& change)
{
    cluster_state out;
    if (change.m_config)
    {
        out.m_config_revision = state.m_config_revision;
        out.m_config = state.m_config;
    }
    if (change.m_runners)
    {
        out.m_runners_revision = state.m_runners_revision;
        out.m_runners = state.m_runners;
    }
    if (change.m_view)
        out.m_view = state.m_view;
    return out;
}

} // namespace pepperturn
