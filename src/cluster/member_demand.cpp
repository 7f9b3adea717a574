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

bool member_links::needed(const link_row& row) const
{
    return !on_demand() || (m_sources && wants_news_of(row.m_name)) ||
           !row.m_waiting.empty() || m_time.now() - row.m_used < kept_after_use;
}

bool member_links::presumed(const link_row& row) const
{
    return on_demand() && row.m_link == nullptr && !row.m_dropped &&
           (!row.m_failed || m_time.now() - row.m_failed_at >= failure_memory);
}

bool member_links::reachable(const std::string& name) const
{
    const auto found = m_rows.find(name);
    if (found == m_rows.end())
        return false;
    return presumed(*found->second) ||
           (connected(name) && m_time.now() - last_heard(name) < heard_within);
}

void member_links::send_later(link_row& row, frame value,
                              std::optional<direct_call> asked)
{
    if (row.m_waiting.size() >= most_waiting)
    {
        if (asked)
            asked->m_done(std::nullopt);
        return;
    }
    row.m_waiting.emplace_back(std::move(value), std::move(asked));
    row.m_wake.notify();
}

void member_links::send_waiting(link_row& row)
{
    for (auto& [value, asked] : std::exchange(row.m_waiting, {}))
    {
        if (asked)
            ask_link(row, std::move(value), std::move(*asked));
        else if (row.m_link)
            row.m_link->send(value);
    }
}

void member_links::fail_waiting(link_row& row)
{
    for (auto& [value, asked] : std::exchange(row.m_waiting, {}))
    {
        if (!asked)
            continue;
        if (asked->m_question && !row.m_dropped && !m_stopped &&
            m_detours->hopeful(row.m_name))
            m_detours->ask(row.m_name, reason_of(row), value,
                           std::move(asked->m_done), asked->m_patience);
        else
            asked->m_done(std::nullopt);
    }
}

void member_links::wake_needed()
{
    for (const auto& [name, row] : m_rows)
    {
        if (!row->m_link && needed(*row))
            row->m_wake.notify();
    }
}

} // namespace pepperturn
