// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_placements.hpp"

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/scheduling/placement_service.hpp"

#include <algorithm>
#include <unordered_map>

namespace pepperturn {

struct engine_placements::state
{
    std::unordered_map<std::uint64_t, placement_service> m_services;
    /// Replies to queued calls of services that were removed.
    std::vector<placement_decision> m_closed;
    /// The latest time passed in; earlier ones are replaced by it.
    instant m_now{};

    instant advance(instant now)
    {
        m_now = std::max(m_now, now);
        return m_now;
    }
};

engine_placements::engine_placements() : m_state(std::make_unique<state>()) {}

engine_placements::~engine_placements() = default;

void engine_placements::set_engines(std::uint64_t service,
                                    const std::vector<engine_info>& engines,
                                    instant now)
{
    m_state->advance(now);
    m_state->m_services[service].set_engines(engines);
}

void engine_placements::retain_services(
    const std::vector<std::uint64_t>& services)
{
    auto& rows = m_state->m_services;
    for (auto row = rows.begin(); row != rows.end();)
    {
        if (std::find(services.begin(), services.end(), row->first) !=
            services.end())
        {
            ++row;
            continue;
        }
        row->second.close(m_state->m_closed);
        row = rows.erase(row);
    }
}

std::optional<placement_reply>
engine_placements::request_placement(const placement_request& request,
                                     instant now)
{
    const auto row = m_state->m_services.find(request.m_service);
    if (row == m_state->m_services.end())
        return placement_reply{.m_outcome = placement_outcome::not_placing};
    return row->second.request_placement(request, m_state->advance(now));
}

void engine_placements::report(const placement_report& report, instant now)
{
    const auto row = m_state->m_services.find(report.m_service);
    if (row != m_state->m_services.end())
        row->second.report(report, m_state->advance(now));
}

std::vector<placement_decision> engine_placements::take_decisions(instant now)
{
    std::vector<placement_decision> decided;
    decided.swap(m_state->m_closed);
    const auto latest = m_state->advance(now);
    for (auto& [hash, service] : m_state->m_services)
        service.take_decisions(latest, decided);
    return decided;
}

void engine_placements::write_metrics(std::string& out) const
{
    placement_counters sum;
    std::uint64_t engines = 0;
    std::uint64_t full = 0;
    std::uint64_t under_way = 0;
    std::uint64_t waiting = 0;
    for (const auto& [hash, service] : m_state->m_services)
    {
        sum = sum + service.counters();
        engines += service.engines().size();
        full += service.full_engines();
        under_way += service.under_way();
        waiting += service.queued();
    }
    write_metric(out, "places_engines", engines);
    write_metric(out, "places_engines_full", full);
    write_metric(out, "places_under_way", under_way);
    write_metric(out, "places_waiting", waiting);
    write_metric(out, "places_placed_total", sum.m_placed);
    write_metric(out, "places_prompt_tokens_total", sum.m_prompt_tokens);
    write_metric(out, "places_cached_tokens_total", sum.m_cached_tokens);
    write_metric(out, "places_waited_total", sum.m_waited);
    write_metric(out, "places_no_room_total", sum.m_no_room);
    write_metric(out, "places_forced_total", sum.m_forced);
    write_metric(out, "places_moved_total", sum.m_moved);
    write_metric(out, "places_unknown_reports_total", sum.m_unknown_reports);
    write_metric(out, "places_lost_total", sum.m_lost);
    write_metric(out, "places_broken_total", sum.m_broken);
    write_metric(out, "places_not_run_total", sum.m_not_run);
}

const char* to_string(placement_outcome outcome)
{
    switch (outcome)
    {
    case placement_outcome::placed:
        return "placed";
    case placement_outcome::waiting:
        return "waiting";
    case placement_outcome::no_room:
        return "no_room";
    case placement_outcome::not_placing:
        return "not_placing";
    }
    return "unknown";
}

const char* to_string(placement_end end)
{
    switch (end)
    {
    case placement_end::whole:
        return "whole";
    case placement_end::broken:
        return "broken";
    case placement_end::not_run:
        return "not_run";
    }
    return "unknown";
}

} // namespace pepperturn
