// SPDX-License-Identifier: BSL-1.0
// Connections on demand: in fleets with many members, most are connected to
// only when a request is made.
#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

namespace {

/// A member that was used will be used again soon: a program's turns all go to
/// one replica set, and the pauses between them are shorter than this.
constexpr milliseconds keep_after_use{5000};
/// A failed member is tried again on demand, but no sooner than this: VMs are
/// back within seconds or not at all.
constexpr milliseconds retry_after_failure{1500};
/// Maximum number of frames queued for a connection: more than are sent in the
/// time in which one is established or times out.
constexpr std::size_t max_queued = 256;

} // namespace

bool member_links::needed(const member_link& row) const
{
    return !on_demand() || (m_sources && subscribed_to(row.m_name)) ||
           !row.m_queued.empty() ||
           m_time.now() - row.m_last_used < keep_after_use;
}

bool member_links::connectable(const member_link& row) const
{
    return on_demand() && row.m_link == nullptr && !row.m_removed &&
           (!row.m_failed ||
            m_time.now() - row.m_failed_at >= retry_after_failure);
}

bool member_links::reachable(const std::string& name) const
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
        return false;
    return connectable(*found->second) ||
           (connected(name) &&
            m_time.now() - last_seen(name) < liveness_timeout);
}

void member_links::enqueue(member_link& row, frame value,
                           std::optional<direct_request> pending)
{
    if (row.m_queued.size() >= max_queued)
    {
        if (pending)
            pending->m_done(std::nullopt);
        return;
    }
    row.m_queued.emplace_back(std::move(value), std::move(pending));
    row.m_wake.notify();
}

void member_links::send_queued(member_link& row)
{
    for (auto& [value, pending] : std::exchange(row.m_queued, {}))
    {
        if (pending)
            send_on_link(row, std::move(value), std::move(*pending));
        else if (row.m_link)
            row.m_link->send(value);
    }
}

void member_links::fail_queued(member_link& row)
{
    for (auto& [value, pending] : std::exchange(row.m_queued, {}))
    {
        if (!pending)
            continue;
        if (pending->m_frame && !row.m_removed && !m_stopped &&
            m_relay_client->may_reach(row.m_name))
            m_relay_client->send_request(row.m_name, reason_of(row), value,
                                         std::move(pending->m_done),
                                         pending->m_timeout);
        else
            pending->m_done(std::nullopt);
    }
}

void member_links::wake_needed()
{
    for (const auto& [name, row] : m_links)
    {
        if (!row->m_link && needed(*row))
            row->m_wake.notify();
    }
}

} // namespace pepperturn
