// SPDX-License-Identifier: BSL-1.0
// Members that say nothing: when questions to them go through neighbours.
#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

namespace {

/// How often questions under way are looked at for a sign of life: half of what
/// the least patient asker waits before it takes the other way.
constexpr milliseconds silence_check{15};
/// Why a member is asked through neighbours, as the log tells it.
constexpr const char* link_silent = "link_silent";
constexpr const char* link_lost = "link_lost";

/// Takes the first answer of several ways; none once all have ended.
class first_answer
{
public:
    first_answer(reply_handler done, int ways)
        : m_done(std::move(done)), m_ways(ways)
    {}
    void take(std::optional<frame> answer)
    {
        --m_ways;
        if (!m_done || (!answer && m_ways > 0))
            return;
        std::exchange(m_done, nullptr)(std::move(answer));
    }

private:
    reply_handler m_done;
    int m_ways;
};

} // namespace

link_facts member_links::facts_of(const member_link& row)
{
    return {row.m_link != nullptr, row.m_unresponsive, row.m_last_received,
            row.m_last_reply};
}

const char* member_links::reason_of(const member_link& row)
{
    return row.m_link ? link_silent : link_lost;
}

void member_links::mark_unresponsive(const std::string& name, member_link& row)
{
    row.m_unresponsive = true;
    if (m_relay_client == nullptr)
        return;
    std::vector<std::uint64_t> waiting;
    waiting.reserve(row.m_calls.size());
    for (const auto& [call, asked] : row.m_calls)
        waiting.push_back(call);
    for (const auto call : waiting)
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

void member_links::relay_request(const std::string& name, direct_request& asked)
{
    const auto question = *std::exchange(asked.m_frame, std::nullopt);
    const auto first =
        std::make_shared<first_answer>(std::move(asked.m_done), 2);
    const auto take = [first](std::optional<frame> answer) {
        first->take(std::move(answer));
    };
    asked.m_done = take;
    m_relay_client->send_request(name, link_silent, question, take,
                                 asked.m_timeout);
}

void member_links::end_calls(const std::string& name, member_link& row)
{
    for (auto& [call, asked] : std::exchange(row.m_calls, {}))
    {
        if (asked.m_frame && !row.m_removed && !m_stopped &&
            m_relay_client->may_reach(name))
            m_relay_client->send_request(name, link_lost, *asked.m_frame,
                                         std::move(asked.m_done),
                                         asked.m_timeout);
        else
            asked.m_done(std::nullopt);
    }
}

task<> member_links::monitor_links()
{
    do
    {
        const auto before = m_time.now();
        co_await sleep_for(m_io, silence_check);
        // What came while this process did not run is read first.
        if (m_time.now() - before >= max_scheduling_lag)
            co_await sleep_for(m_io, silence_check);
    } while (check_links());
    m_monitoring = false;
}

bool member_links::check_links()
{
    const auto now = m_time.now();
    bool waits = false;
    std::vector<std::pair<std::string, std::shared_ptr<member_link>>> silent;
    for (const auto& [name, row] : m_links)
    {
        if (!row->m_link || row->m_unresponsive)
            continue;
        const auto facts = facts_of(*row);
        for (const auto& [call, asked] : row->m_calls)
        {
            if (!asked.m_frame && !asked.m_direct_only)
                continue;
            waits |= row->m_last_reply <= asked.m_sent_at;
            if (!is_unresponsive(facts, asked.m_sent_at, asked.m_timeout, now))
                continue;
            silent.emplace_back(name, row);
            break;
        }
    }
    for (const auto& [name, row] : silent)
        mark_unresponsive(name, *row);
    return waits;
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
