// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_places.hpp"

#include "pepperturn/base/hash.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A service whose places nobody has asked for here for this long is asked for
/// elsewhere.
constexpr milliseconds asked_memory{10000};

/// Decisions that nobody asks for are dropped beyond this many; their places
/// come back by themselves. More calls than one service has in line.
constexpr std::size_t most_decided = 4096;

} // namespace

storage_places::storage_places(const clock& time, zone_map zones)
    : m_time(time), m_zones(std::move(zones))
{}

void storage_places::take_config(const routing_config& config)
{
    m_engines.clear();
    for (const auto& [name, row] : config.m_services)
    {
        if (!row.m_engine)
            continue;
        m_engines[name] = row;
        m_outdated.insert(name);
    }
    refresh_asked();
}

void storage_places::take_changes(const std::vector<runner_change>& changes)
{
    const auto now = m_time.now();
    for (const auto& change : changes)
    {
        const auto known = m_runners.find(change.m_id);
        if (known != m_runners.end())
            m_outdated.insert(known->second.m_info.m_service);
        if (change.m_info)
        {
            const auto& info = *change.m_info;
            m_outdated.insert(info.m_service);
            m_runners[change.m_id] = {info, now + info.m_cold_remaining};
        }
        else if (known != m_runners.end())
            m_runners.erase(known);
    }
    refresh_asked();
}

void storage_places::evacuate(const std::vector<std::string>& zones)
{
    m_evacuated = {zones.begin(), zones.end()};
    for (const auto& [name, row] : m_engines)
        m_outdated.insert(name);
    refresh_asked();
}

void storage_places::refresh_asked()
{
    const auto now = m_time.now();
    std::erase_if(m_asked, [&](const auto& entry) {
        return now - entry.second > asked_memory;
    });
    std::vector<std::uint64_t> services;
    for (const auto& [name, row] : m_engines)
    {
        if (!m_asked.contains(hash64(name)))
            continue;
        services.push_back(hash64(name));
        refresh(name);
    }
    m_places.retain_services(services);
    answer_decided();
}

void storage_places::refresh(const std::string& service)
{
    if (m_outdated.erase(service) == 0)
        return;
    const auto& profile = m_engines.at(service);
    std::vector<engine_info> engines;
    for (const auto& [id, row] : m_runners)
    {
        const auto& info = row.m_info;
        if (info.m_service != service)
            continue;
        engines.push_back(
            {.m_runner = hash64(incarnation_of(info)),
             .m_availability_zone = info.m_availability_zone,
             .m_region = region_of(m_zones, info.m_availability_zone),
             .m_slots = info.m_slots,
             .m_token_capacity = profile.m_engine->m_token_capacity,
             .m_draining = info.m_draining ||
                           m_evacuated.contains(info.m_availability_zone),
             .m_cold_until = row.m_cold_until,
             .m_cold_per_s = profile.m_cold_requests_per_s});
    }
    m_places.set_engines(hash64(service), engines, m_time.now());
}

void storage_places::note_asked(std::uint64_t service)
{
    const bool is_new = !m_asked.contains(service);
    m_asked[service] = m_time.now();
    if (!is_new)
        return;
    for (const auto& [name, row] : m_engines)
    {
        if (hash64(name) != service)
            continue;
        // It may have been followed, and dropped since.
        m_outdated.insert(name);
        refresh(name);
    }
}

void storage_places::note_asker(std::uint64_t asker,
                                const placement_request& question)
{
    forget_call(question.m_call);
    m_open[asker][question.m_call] = question.m_service;
    m_askers[question.m_call] = asker;
}

void storage_places::forget_call(std::uint64_t call)
{
    const auto found = m_askers.find(call);
    if (found == m_askers.end())
        return;
    const auto row = m_open.find(found->second);
    m_askers.erase(found);
    if (row == m_open.end())
        return;
    row->second.erase(call);
    if (row->second.empty())
        m_open.erase(row);
}

void storage_places::note_gone(std::uint64_t asker)
{
    const auto found = m_open.find(asker);
    if (found == m_open.end())
        return;
    const auto calls = std::move(found->second);
    m_open.erase(found);
    LOG(INFO) << "event=places_returned calls=" << calls.size();
    for (const auto& [call, service] : calls)
    {
        m_askers.erase(call);
        m_collectors.erase(call);
        // That its caller has gone says nothing of the engine.
        placement_report ended;
        ended.m_service = service;
        ended.m_call = call;
        ended.m_end = placement_end::whole;
        m_places.report(ended, m_time.now());
    }
    answer_decided();
}

void storage_places::ask(std::uint64_t asker, const placement_request& question,
                         const turn_server::reply_sender& reply)
{
    note_asked(question.m_service);
    note_asker(asker, question);
    if (question.m_already_queued)
    {
        collect(question, reply);
        return;
    }
    auto located = question;
    located.m_region = region_of(m_zones, question.m_availability_zone);
    auto answer = m_places.request_placement(located, m_time.now());
    if (!answer)
    {
        answer.emplace();
        answer->m_outcome = placement_outcome::waiting;
    }
    ++m_answers.at(static_cast<std::size_t>(answer->m_outcome));
    if (answer->m_outcome == placement_outcome::no_room ||
        answer->m_outcome == placement_outcome::not_placing)
        forget_call(question.m_call);
    reply(*answer);
}

void storage_places::collect(const placement_request& question,
                             const turn_server::reply_sender& reply)
{
    answer_decided();
    const auto found = m_decided.find(question.m_call);
    if (found != m_decided.end())
    {
        reply(found->second);
        m_decided.erase(found);
        return;
    }
    const milliseconds patience(question.m_queue_timeout_ms);
    m_collectors[question.m_call] = {reply, m_time.now() + patience};
}

void storage_places::report(const placement_report& report)
{
    forget_call(report.m_call);
    m_places.report(report, m_time.now());
    answer_decided();
}

void storage_places::answer_decided()
{
    for (const auto& row : m_places.take_decisions(m_time.now()))
    {
        ++m_answers.at(static_cast<std::size_t>(row.m_reply.m_outcome));
        const auto found = m_collectors.find(row.m_call);
        if (found != m_collectors.end())
        {
            found->second.m_reply(row.m_reply);
            m_collectors.erase(found);
            continue;
        }
        if (m_decided.size() >= most_decided)
            m_decided.clear();
        m_decided[row.m_call] = row.m_reply;
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
         {placement_outcome::placed, placement_outcome::waiting,
          placement_outcome::no_room, placement_outcome::not_placing})
        write_metric(out, std::string("places_") + to_string(outcome),
                     m_answers.at(static_cast<std::size_t>(outcome)));
    m_places.write_metrics(out);
}

} // namespace pepperturn
