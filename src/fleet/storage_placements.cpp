// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_placements.hpp"

#include "pepperturn/base/hash.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A service without placement requests for this long is treated as assigned
/// by another storage VM.
constexpr milliseconds request_retention{10000};

/// Decisions that no call has asked for are dropped beyond this many; their
/// placements expire by themselves. More than one service's queue holds.
constexpr std::size_t max_decided = 4096;

} // namespace

storage_placements::storage_placements(const clock& time, zone_map zones)
    : m_time(time), m_zones(std::move(zones))
{}

void storage_placements::apply_config(const routing_config& config)
{
    m_engines.clear();
    for (const auto& [name, row] : config.m_services)
    {
        if (!row.m_engine)
            continue;
        m_engines[name] = row;
        m_outdated.insert(name);
    }
    refresh_requested();
}

void storage_placements::apply_changes(
    const std::vector<runner_change>& changes)
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
    refresh_requested();
}

void storage_placements::evacuate(const std::vector<std::string>& zones)
{
    m_evacuated = {zones.begin(), zones.end()};
    for (const auto& [name, row] : m_engines)
        m_outdated.insert(name);
    refresh_requested();
}

void storage_placements::refresh_requested()
{
    const auto now = m_time.now();
    std::erase_if(m_requested, [&](const auto& entry) {
        return now - entry.second > request_retention;
    });
    std::vector<std::uint64_t> services;
    for (const auto& [name, row] : m_engines)
    {
        if (!m_requested.contains(hash64(name)))
            continue;
        services.push_back(hash64(name));
        refresh(name);
    }
    m_placements.retain_services(services);
    send_decisions();
}

void storage_placements::refresh(const std::string& service)
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
    m_placements.set_engines(hash64(service), engines, m_time.now());
}

void storage_placements::record_service_request(std::uint64_t service)
{
    const bool is_new = !m_requested.contains(service);
    m_requested[service] = m_time.now();
    if (!is_new)
        return;
    for (const auto& [name, row] : m_engines)
    {
        if (hash64(name) != service)
            continue;
        // Its engines may have been set before, and dropped since.
        m_outdated.insert(name);
        refresh(name);
    }
}

void storage_placements::record_requester(std::uint64_t requester,
                                          const placement_request& request)
{
    forget_call(request.m_call);
    m_open_calls[requester][request.m_call] = request.m_service;
    m_requesters[request.m_call] = requester;
}

void storage_placements::forget_call(std::uint64_t call)
{
    const auto found = m_requesters.find(call);
    if (found == m_requesters.end())
        return;
    const auto row = m_open_calls.find(found->second);
    m_requesters.erase(found);
    if (row == m_open_calls.end())
        return;
    row->second.erase(call);
    if (row->second.empty())
        m_open_calls.erase(row);
}

void storage_placements::release_connection(std::uint64_t requester)
{
    const auto found = m_open_calls.find(requester);
    if (found == m_open_calls.end())
        return;
    const auto calls = std::move(found->second);
    m_open_calls.erase(found);
    LOG(INFO) << "event=places_returned calls=" << calls.size();
    for (const auto& [call, service] : calls)
    {
        m_requesters.erase(call);
        m_waiters.erase(call);
        // A closed connection says nothing about the engine's health.
        placement_report ended;
        ended.m_service = service;
        ended.m_call = call;
        ended.m_end = placement_end::whole;
        m_placements.report(ended, m_time.now());
    }
    send_decisions();
}

void storage_placements::handle_request(std::uint64_t requester,
                                        const placement_request& request,
                                        const turn_server::reply_sender& reply)
{
    record_service_request(request.m_service);
    record_requester(requester, request);
    if (request.m_already_queued)
    {
        await_decision(request, reply);
        return;
    }
    auto located = request;
    located.m_region = region_of(m_zones, request.m_availability_zone);
    auto decision = m_placements.request_placement(located, m_time.now());
    if (!decision)
    {
        decision.emplace();
        decision->m_outcome = placement_outcome::waiting;
    }
    ++m_reply_counts.at(static_cast<std::size_t>(decision->m_outcome));
    if (decision->m_outcome == placement_outcome::no_room ||
        decision->m_outcome == placement_outcome::not_placing)
        forget_call(request.m_call);
    reply(*decision);
}

void storage_placements::await_decision(const placement_request& request,
                                        const turn_server::reply_sender& reply)
{
    send_decisions();
    const auto found = m_decided.find(request.m_call);
    if (found != m_decided.end())
    {
        reply(found->second);
        m_decided.erase(found);
        return;
    }
    const milliseconds timeout(request.m_queue_timeout_ms);
    m_waiters[request.m_call] = {reply, m_time.now() + timeout};
}

void storage_placements::handle_report(const placement_report& report)
{
    forget_call(report.m_call);
    m_placements.report(report, m_time.now());
    send_decisions();
}

void storage_placements::send_decisions()
{
    for (const auto& row : m_placements.take_decisions(m_time.now()))
    {
        ++m_reply_counts.at(static_cast<std::size_t>(row.m_reply.m_outcome));
        const auto found = m_waiters.find(row.m_call);
        if (found != m_waiters.end())
        {
            found->second.m_reply(row.m_reply);
            m_waiters.erase(found);
            continue;
        }
        if (m_decided.size() >= max_decided)
            m_decided.clear();
        m_decided[row.m_call] = row.m_reply;
    }
}

void storage_placements::tick()
{
    send_decisions();
    const auto now = m_time.now();
    std::erase_if(m_waiters, [&](const auto& entry) {
        return entry.second.m_deadline <= now;
    });
}

void storage_placements::write_metrics(std::string& out) const
{
    for (const auto outcome :
         {placement_outcome::placed, placement_outcome::waiting,
          placement_outcome::no_room, placement_outcome::not_placing})
        write_metric(out, std::string("places_") + to_string(outcome),
                     m_reply_counts.at(static_cast<std::size_t>(outcome)));
    m_placements.write_metrics(out);
}

} // namespace pepperturn
