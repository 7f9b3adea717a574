// SPDX-License-Identifier: BSL-1.0
// Removal of what a storage VM need not retain any longer. A later turn that
// extends a retention is written to a quorum of the replica set only, so a
// member whose own clock says that a row has ended asks the others first:
// otherwise it would drop one of the copies that a live history or budget has.
#include "pepperturn/fleet/storage_node.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Rows that are asked about in one request: some tens of kilobytes.
constexpr std::size_t expiry_batch = 2048;
constexpr milliseconds expiry_timeout{500};

} // namespace

task<bool> storage_node::confirm_expiry(retained_keys keys)
{
    const auto view = m_server->own_view();
    if (view.m_members.empty())
        co_return true;
    const auto quorums = quorums_of(view, m_settings.m_disk_losses);
    std::set<std::string> replied{m_settings.m_name};
    const auto is_enough = [&] {
        return is_read_quorum(view, quorums, [&](const std::string& name) {
            return replied.contains(name);
        });
    };
    const frame_body request = keys;
    for (const auto& row : view.m_members)
    {
        // A member that joins lacks copies and says nothing for certain.
        const bool knows = row.m_state == member_state::full ||
                           row.m_state == member_state::leaving;
        if (is_enough() || !knows || row.m_name == m_settings.m_name ||
            m_links.frame_version(row.m_name) < retention_version ||
            !m_links.connected(row.m_name))
            continue;
        const auto asked_at = m_time.now();
        const auto reply = co_await m_links.request(
            row.m_name, view.m_epoch, request, asked_at + expiry_timeout);
        const auto* remaining =
            reply && reply->m_status == frame_status::ok
                ? std::get_if<remaining_retention>(&reply->m_body)
                : nullptr;
        if (remaining == nullptr ||
            remaining->m_turns_ms.size() != keys.m_turns.size() ||
            remaining->m_programs_ms.size() != keys.m_programs.size())
            continue;
        m_store->extend(keys, *remaining, asked_at);
        replied.insert(row.m_name);
    }
    // Replies of another view count for nothing.
    if (m_server->own_view().m_epoch != view.m_epoch)
        co_return false;
    co_return is_enough();
}

task<> storage_node::remove_expired_rows()
{
    std::size_t unconfirmed = 0;
    while (!m_stopping)
    {
        auto keys = m_store->expired(m_time.now(), expiry_batch);
        if (keys.empty())
            break;
        const bool confirmed = co_await confirm_expiry(keys);
        if (!confirmed)
        {
            unconfirmed = keys.m_turns.size() + keys.m_programs.size();
            break;
        }
        m_store->remove_expired(keys, m_time.now());
    }
    if ((unconfirmed > 0) != (m_unconfirmed_expiries > 0))
        LOG(INFO) << "event=expiry_"
                  << (unconfirmed > 0 ? "unconfirmed" : "confirmed")
                  << " rows=" << unconfirmed;
    m_unconfirmed_expiries = unconfirmed;
    m_store->reclaim(m_time.now());
    m_expiring = false;
}

} // namespace pepperturn
