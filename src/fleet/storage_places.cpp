// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_places.hpp"

#include "pepperturn/base/hash.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Decisions that nobody asks for are dropped beyond this many; their places
/// come back by themselves. More calls than one service has in line.
constexpr std::size_t most_decided = 4096;

} // namespace

storage_places::storage_places(const clock& time) : m_time(time) {}

void storage_places::take_config(const routing_config& config)
{
    m_engines.clear();
    for (const auto& [name, row] : config.m_services)
    {
        if (row.m_engine)
            m_engines[name] = *row.m_engine;
    }
    refresh();
}

void storage_places::take_runners(
    const std::map<std::string, runner_info>& runners)
{
    m_runners.clear();
    for (const auto& [name, info] : runners)
        m_runners.push_back(info);
    refresh();
}

void storage_places::refresh()
{
    const auto now = m_time.now();
    std::vector<std::uint64_t> services;
    for (const auto& [name, profile] : m_engines)
    {
        std::vector<engine_facts> engines;
        for (const auto& info : m_runners)
        {
            if (info.m_service == name)
                engines.push_back({hash64(incarnation_of(info)),
                                   info.m_availability_zone, info.m_slots,
                                   profile.m_token_capacity, info.m_draining});
        }
        services.push_back(hash64(name));
        m_places.follow(services.back(), engines, now);
    }
    m_places.retain(services);
    answer_decided();
}

void storage_places::ask(const place_question& question,
                         const turn_server::reply& reply)
{
    if (question.m_collects)
    {
        collect(question, reply);
        return;
    }
    auto answer = m_places.ask(question, m_time.now());
    if (!answer)
    {
        answer.emplace();
        answer->m_outcome = place_outcome::waiting;
    }
    ++m_answers.at(static_cast<std::size_t>(answer->m_outcome));
    reply(*answer);
}

void storage_places::collect(const place_question& question,
                             const turn_server::reply& reply)
{
    answer_decided();
    const auto found = m_decided.find(question.m_call);
    if (found != m_decided.end())
    {
        reply(found->second);
        m_decided.erase(found);
        return;
    }
    const milliseconds patience(question.m_patience_ms);
    m_collectors[question.m_call] = {reply, m_time.now() + patience};
}

void storage_places::report(const place_report& report)
{
    m_places.report(report, m_time.now());
    answer_decided();
}

void storage_places::answer_decided()
{
    for (const auto& row : m_places.take_decided(m_time.now()))
    {
        ++m_answers.at(static_cast<std::size_t>(row.m_answer.m_outcome));
        const auto found = m_collectors.find(row.m_call);
        if (found != m_collectors.end())
        {
            found->second.m_reply(row.m_answer);
            m_collectors.erase(found);
            continue;
        }
        if (m_decided.size() >= most_decided)
            m_decided.clear();
        m_decided[row.m_call] = row.m_answer;
    }
}

void storage_places::tick()
{
    answer_decided();
    const auto now = m_time.now();
    std::erase_if(m_collectors, [&](const auto& entry) {
        return entry.second.m_until <= now;
    });
}

void storage_places::write_metrics(std::string& out) const
{
    for (const auto outcome :
         {place_outcome::placed, place_outcome::waiting, place_outcome::no_room,
          place_outcome::not_placing})
        write_metric(out, std::string("places_") + to_string(outcome),
                     m_answers.at(static_cast<std::size_t>(outcome)));
    m_places.write_metrics(out);
}

} // namespace pepperturn
