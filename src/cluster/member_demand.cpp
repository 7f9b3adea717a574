// SPDX-License-Identifier: BSL-1.0
// Members that are connected to when they are asked, where there are many.
#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

namespace {

/// A member that was asked is asked again soon: a program's turns all go to
/// one replica set, and the pauses between them are shorter.
constexpr milliseconds kept_after_use{5000};
/// A member that was not reached is tried again when somebody asks for it, no
/// sooner than this: VMs are back within seconds or not at all.
constexpr milliseconds failure_memory{1500};
/// What waits for a connection: more questions than come within the time in
/// which one is established or given up.
constexpr std::size_t most_waiting = 256;

} // namespace

bool member_links::needed(const member_link& row) const
{
    return !on_demand() || (m_sources && subscribed_to(row.m_name)) ||
           !row.m_queued.empty() ||
           m_time.now() - row.m_last_used < kept_after_use;
}

bool member_links::connectable(const member_link& row) const
{
    return on_demand() && row.m_link == nullptr && !row.m_removed &&
           (!row.m_failed || m_time.now() - row.m_failed_at >= failure_memory);
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
                           std::optional<direct_request> asked)
{
    if (row.m_queued.size() >= most_waiting)
    {
        if (asked)
            asked->m_done(std::nullopt);
        return;
    }
    row.m_queued.emplace_back(std::move(value), std::move(asked));
    row.m_wake.notify();
}

void member_links::send_queued(member_link& row)
{
    for (auto& [value, asked] : std::exchange(row.m_queued, {}))
    {
        if (asked)
            send_on_link(row, std::move(value), std::move(*asked));
        else if (row.m_link)
            row.m_link->send(value);
    }
}

void member_links::fail_queued(member_link& row)
{
    for (auto& [value, asked] : std::exchange(row.m_queued, {}))
    {
        if (!asked)
            continue;
        if (asked->m_frame && !row.m_removed && !m_stopped &&
            m_relay_client->may_reach(row.m_name))
            m_relay_client->send_request(row.m_name, reason_of(row), value,
                                         std::move(asked->m_done),
                                         asked->m_timeout);
        else
            asked->m_done(std::nullopt);
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
