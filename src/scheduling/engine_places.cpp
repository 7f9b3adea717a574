// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_places.hpp"

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/scheduling/place_service.hpp"

#include <algorithm>
#include <unordered_map>

namespace pepperturn {

struct engine_places::state
{
    std::unordered_map<std::uint64_t, place_service> m_services;
    /// Answers to calls of services that were dropped.
    std::vector<decided_place> m_closed;
    /// The latest time that was told: none before it is taken.
    instant m_now{};

    instant advance(instant now)
    {
        m_now = std::max(m_now, now);
        return m_now;
    }
};

engine_places::engine_places() : m_state(std::make_unique<state>()) {}

engine_places::~engine_places() = default;

void engine_places::follow(std::uint64_t service,
                           const std::vector<engine_facts>& engines,
                           instant now)
{
    m_state->advance(now);
    m_state->m_services[service].follow(engines);
}

void engine_places::retain(const std::vector<std::uint64_t>& services)
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

std::optional<place_answer> engine_places::ask(const place_question& question,
                                               instant now)
{
    const auto row = m_state->m_services.find(question.m_service);
    if (row == m_state->m_services.end())
        return place_answer{.m_outcome = place_outcome::not_placing};
    return row->second.ask(question, m_state->advance(now));
}

void engine_places::report(const place_report& report, instant now)
{
    const auto row = m_state->m_services.find(report.m_service);
    if (row != m_state->m_services.end())
        row->second.report(report, m_state->advance(now));
}

std::vector<decided_place> engine_places::take_decided(instant now)
{
    std::vector<decided_place> decided;
    decided.swap(m_state->m_closed);
    const auto latest = m_state->advance(now);
    for (auto& [hash, service] : m_state->m_services)
        service.take_decided(latest, decided);
    return decided;
}

void engine_places::write_metrics(std::string& out) const
{
    place_counters sum;
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
        waiting += service.waiting();
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

const char* to_string(place_outcome outcome)
{
    switch (outcome)
    {
    case place_outcome::placed:
        return "placed";
    case place_outcome::waiting:
        return "waiting";
    case place_outcome::no_room:
        return "no_room";
    case place_outcome::not_placing:
        return "not_placing";
    }
    return "unknown";
}

const char* to_string(place_end end)
{
    switch (end)
    {
    case place_end::whole:
        return "whole";
    case place_end::broken:
        return "broken";
    case place_end::not_run:
        return "not_run";
    }
    return "unknown";
}

} // namespace pepperturn
