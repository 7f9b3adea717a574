// SPDX-License-Identifier: BSL-1.0
// How a storage VM copies what other members of its replica set store.
#include "pepperturn/fleet/storage_node.hpp"

namespace pepperturn {

task<> storage_node::copy_all()
{
    const auto view = m_server->own_view();
    auto plan = plan_copy(view, m_settings.m_name, m_settings.m_disk_losses);
    const bool complete = co_await m_copier->copy(std::move(plan));
    if (complete && m_server->own_view().m_epoch == view.m_epoch)
    {
        m_caught_up_at = view.m_epoch;
        m_server->mark_gathered(view.m_epoch);
    }
    m_copying = false;
}

} // namespace pepperturn
