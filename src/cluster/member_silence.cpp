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
    first_answer(frame_done done, int ways)
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
    frame_done m_done;
    int m_ways;
};

} // namespace

link_facts member_links::facts_of(const link_row& row)
{
    return {row.m_link != nullptr, row.m_silent, row.m_heard, row.m_answered};
}

const char* member_links::reason_of(const link_row& row)
{
    return row.m_link ? link_silent : link_lost;
}

void member_links::note_silent(const std::string& name, link_row& row)
{
    row.m_silent = true;
    if (m_detours == nullptr)
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
        else if (found->second.m_question)
            go_round(name, found->second);
    }
}

void member_links::go_round(const std::string& name, direct_call& asked)
{
    const auto question = *std::exchange(asked.m_question, std::nullopt);
    const auto first =
        std::make_shared<first_answer>(std::move(asked.m_done), 2);
    const auto take = [first](std::optional<frame> answer) {
        first->take(std::move(answer));
    };
    asked.m_done = take;
    m_detours->ask(name, link_silent, question, take, asked.m_patience);
}

void member_links::end_calls(const std::string& name, link_row& row)
{
    for (auto& [call, asked] : std::exchange(row.m_calls, {}))
    {
        if (asked.m_question && !row.m_dropped && !m_stopped &&
            m_detours->hopeful(name))
            m_detours->ask(name, link_lost, *asked.m_question,
                           std::move(asked.m_done), asked.m_patience);
        else
            asked.m_done(std::nullopt);
    }
}

task<> member_links::watch_silence()
{
    do
    {
        const auto before = m_time.now();
        co_await sleep_for(m_io, silence_check);
        // What came while this process did not run is read first.
        if (m_time.now() - before >= longest_lag)
            co_await sleep_for(m_io, silence_check);
    } while (look_for_silence());
    m_watching_silence = false;
}

bool member_links::look_for_silence()
{
    const auto now = m_time.now();
    bool waits = false;
    std::vector<std::pair<std::string, std::shared_ptr<link_row>>> silent;
    for (const auto& [name, row] : m_rows)
    {
        if (!row->m_link || row->m_silent)
            continue;
        const auto facts = facts_of(*row);
        for (const auto& [call, asked] : row->m_calls)
        {
            if (!asked.m_question && !asked.m_direct_only)
                continue;
            waits |= row->m_answered <= asked.m_asked;
            if (!is_silent(facts, asked.m_asked, asked.m_patience, now))
                continue;
            silent.emplace_back(name, row);
            break;
        }
    }
    for (const auto& [name, row] : silent)
        note_silent(name, *row);
    return waits;
}

void member_links::tick()
{
    if (m_detours == nullptr || !m_following)
        return;
    const auto now = m_time.now();
    for (const auto& [name, row] : std::map(m_rows))
    {
        if (needed(*row) && wants_probe(facts_of(*row), now))
            m_detours->probe(name, reason_of(*row));
    }
}

} // namespace pepperturn
