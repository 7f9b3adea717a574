// SPDX-License-Identifier: BSL-1.0
// Unresponsive members: when requests to them go through relay peers.
#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

namespace {

/// How often pending requests are checked for a reply: half of what the
/// requester with the shortest timeout waits before its request is relayed.
constexpr milliseconds check_interval{15};
/// Why a member is reached through relay peers, as logged.
constexpr const char* reason_unresponsive = "link_silent";
constexpr const char* reason_disconnected = "link_lost";

/// Completes a request sent on several paths with the first reply; with none
/// once all paths have failed.
class first_reply
{
public:
    first_reply(reply_handler done, int paths)
        : m_done(std::move(done)), m_paths(paths)
    {}
    void take(std::optional<frame> reply)
    {
        --m_paths;
        if (!m_done || (!reply && m_paths > 0))
            return;
        std::exchange(m_done, nullptr)(std::move(reply));
    }

private:
    reply_handler m_done;
    int m_paths;
};

} // namespace

link_facts member_links::facts_of(const member_link& row)
{
    return {row.m_link != nullptr, row.m_unresponsive, row.m_last_received,
            row.m_last_reply};
}

const char* member_links::reason_of(const member_link& row)
{
    return row.m_link ? reason_unresponsive : reason_disconnected;
}

void member_links::mark_unresponsive(const std::string& name, member_link& row)
{
    row.m_unresponsive = true;
    if (m_relay_client == nullptr)
        return;
    std::vector<std::uint64_t> pending_calls;
    pending_calls.reserve(row.m_calls.size());
    for (const auto& [call, pending] : row.m_calls)
        pending_calls.push_back(call);
    for (const auto call : pending_calls)
    {
        const auto found = row.m_calls.find(call);
        if (found == row.m_calls.end())
            continue;
        if (found->second.m_direct_only)
        {
            const auto done = std::move(found->second.m_done);
            row.m_calls.erase(found);
            done(std::nullopt);
        }
        else if (found->second.m_frame)
            relay_request(name, found->second);
    }
}

void member_links::relay_request(const std::string& name,
                                 direct_request& pending)
{
    const auto request_frame = *std::exchange(pending.m_frame, std::nullopt);
    const auto shared =
        std::make_shared<first_reply>(std::move(pending.m_done), 2);
    const auto take = [shared](std::optional<frame> reply) {
        shared->take(std::move(reply));
    };
    pending.m_done = take;
    m_relay_client->send_request(name, reason_unresponsive, request_frame, take,
                                 pending.m_timeout);
}

void member_links::end_calls(const std::string& name, member_link& row)
{
    for (auto& [call, pending] : std::exchange(row.m_calls, {}))
    {
        if (pending.m_frame && !row.m_removed && !m_stopped &&
            m_relay_client->may_reach(name))
            m_relay_client->send_request(
                name, reason_disconnected, *pending.m_frame,
                std::move(pending.m_done), pending.m_timeout);
        else
            pending.m_done(std::nullopt);
    }
}

task<> member_links::monitor_links()
{
    do
    {
        const auto before = m_time.now();
        co_await sleep_for(m_io, check_interval);
        // Frames that arrived while this process was suspended are read first.
        if (m_time.now() - before >= max_scheduling_lag)
            co_await sleep_for(m_io, check_interval);
    } while (check_links());
    m_monitoring = false;
}

bool member_links::check_links()
{
    const auto now = m_time.now();
    bool any_waiting = false;
    std::vector<std::pair<std::string, std::shared_ptr<member_link>>>
        unresponsive;
    for (const auto& [name, row] : m_links)
    {
        if (!row->m_link || row->m_unresponsive)
            continue;
        const auto facts = facts_of(*row);
        for (const auto& [call, pending] : row->m_calls)
        {
            if (!pending.m_frame && !pending.m_direct_only)
                continue;
            any_waiting |= row->m_last_reply <= pending.m_sent_at;
            if (!is_unresponsive(facts, pending.m_sent_at, pending.m_timeout,
                                 now))
                continue;
            unresponsive.emplace_back(name, row);
            break;
        }
    }
    for (const auto& [name, row] : unresponsive)
        mark_unresponsive(name, *row);
    return any_waiting;
}

void member_links::tick()
{
    if (m_relay_client == nullptr || !m_members_known)
        return;
    const auto now = m_time.now();
    for (const auto& [name, row] : std::map(m_links))
    {
        if (needed(*row) && needs_probe(facts_of(*row), now))
            m_relay_client->probe(name, reason_of(*row));
    }
}

} // namespace pepperturn
