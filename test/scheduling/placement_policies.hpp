// SPDX-License-Identifier: BSL-1.0
/// \file
/// Placement policies for the simulation, and its configurations.
#pragma once

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/scheduling/placement.hpp"
#include "scheduling/placement_simulation.hpp"

#include <algorithm>
#include <map>
#include <memory>

namespace pepperturn::test {

/// One VM places the calls of all.
class central_policy final : public placement_policy
{
public:
    explicit central_policy(const placement_simulation& simulation)
        : m_simulation(simulation)
    {
        replace_service(instant(seconds(1000)));
    }
    /// Another VM takes over, without any estimates.
    void replace_service(instant now)
    {
        m_placements = std::make_unique<engine_placements>();
        m_placements->set_engines(simulated_service, m_simulation.engines(),
                                  now);
    }
    std::optional<placement_reply>
    request_placement(const placement_request& request, std::uint32_t,
                      instant now) override
    {
        return m_placements->request_placement(request, now);
    }
    void report(const placement_report& report, std::uint32_t,
                instant now) override
    {
        m_placements->report(report, now);
    }
    std::vector<placement_decision> take_decisions(instant now) override
    {
        return m_placements->take_decisions(now);
    }

private:
    const placement_simulation& m_simulation;
    std::unique_ptr<engine_placements> m_placements;
};

/// Each VM chooses by the calls that it has sent itself.
class local_policy final : public placement_policy
{
public:
    local_policy(const placement_simulation& simulation, std::uint32_t vms)
        : m_tables(vms)
    {
        std::vector<runner_info> runners;
        for (const auto& facts : simulation.engines())
        {
            runner_info info;
            info.m_id = std::to_string(facts.m_runner);
            info.m_service = "engines";
            info.m_slots = facts.m_slots;
            info.m_availability_zone = facts.m_availability_zone;
            info.m_started_at_ms = 1;
            runners.push_back(info);
        }
        for (auto& table : m_tables)
            (void)table.replace(runners);
    }
    std::optional<placement_reply>
    request_placement(const placement_request& request, std::uint32_t vm,
                      instant now) override
    {
        auto& table = m_tables.at(vm);
        runner_query choice;
        choice.m_service = "engines";
        choice.m_preferred_incarnation =
            m_preferred_runners[request.m_parts.back().m_id];
        choice.m_availability_zone = request.m_availability_zone;
        choice.m_random_tiebreak = request.m_call;
        const auto* row = table.choose(choice, now);
        if (row == nullptr)
            return placement_reply{};
        m_preferred_runners[request.m_parts.back().m_id] = row->m_incarnation;
        table.record_request_start(row->m_info.m_id);
        return placement_reply{.m_outcome = placement_outcome::placed,
                               .m_runner = std::stoull(row->m_info.m_id)};
    }
    void report(const placement_report& report, std::uint32_t vm,
                instant now) override
    {
        auto& table = m_tables.at(vm);
        const auto id = std::to_string(report.m_runner);
        table.record_request_end(id);
        if (report.m_end == placement_end::whole)
            table.record_first_byte(id, "route",
                                    milliseconds(report.m_first_byte_ms));
        else
            table.record_failure(id, now);
        table.record_result(id, report.m_end == placement_end::whole, now);
    }
    std::vector<placement_decision> take_decisions(instant) override
    {
        return {};
    }

private:
    std::vector<runner_table> m_tables;
    std::map<std::uint64_t, std::string> m_preferred_runners;
};

/// Each VM knows the calls at all engines as of a moment ago, plus its own
/// since, and takes the best of two random engines and the one that has the
/// conversation cached.
class stale_load_policy final : public placement_policy
{
public:
    stale_load_policy(const placement_simulation& simulation, std::uint32_t vms,
                      milliseconds age)
        : m_engines(simulation.engines()), m_age(age), m_now(m_engines.size()),
          m_reported(m_engines.size()), m_own(vms)
    {
        for (auto& own : m_own)
            own.resize(m_engines.size());
    }
    std::optional<placement_reply>
    request_placement(const placement_request& request, std::uint32_t vm,
                      instant now) override
    {
        if (now - m_reported_at >= m_age)
        {
            m_reported = m_now;
            m_reported_at = now;
            for (auto& own : m_own)
                std::fill(own.begin(), own.end(), 0);
        }
        auto& preferred = m_preferred_runners[request.m_parts.back().m_id];
        std::vector<runner_candidate> candidates;
        std::vector<std::size_t> indexes;
        const auto add = [&](std::size_t index, bool is_preferred) {
            runner_candidate row;
            row.m_load = 1.0 * (m_reported[index] + m_own[vm][index]) /
                         m_engines[index].m_slots;
            row.m_other_zone = m_engines[index].m_availability_zone !=
                               request.m_availability_zone;
            row.m_has_cached_prompt = is_preferred;
            candidates.push_back(row);
            indexes.push_back(index);
        };
        for (std::uint64_t i = 0; i < 2; ++i)
            add(hash_combine(request.m_call, i) % m_engines.size(), false);
        if (preferred != 0)
            add(preferred - 1, true);
        const auto chosen = indexes[select_runner(candidates).value_or(0)];
        preferred = m_engines[chosen].m_runner;
        ++m_now[chosen];
        ++m_own[vm][chosen];
        return placement_reply{.m_outcome = placement_outcome::placed,
                               .m_runner = preferred};
    }
    void report(const placement_report& report, std::uint32_t, instant) override
    {
        --m_now[report.m_runner - 1];
    }
    std::vector<placement_decision> take_decisions(instant) override
    {
        return {};
    }

private:
    std::vector<engine_info> m_engines;
    milliseconds m_age;
    /// Calls at each engine: now, as last reported, and own calls since then.
    std::vector<int> m_now;
    std::vector<int> m_reported;
    instant m_reported_at{};
    std::vector<std::vector<int>> m_own;
    std::map<std::uint64_t, std::uint64_t> m_preferred_runners;
};

/// A quarter of the engines is slow, all are temporarily slower; bursts of a
/// second and a half.
inline simulation_config make_uneven_config()
{
    simulation_config config;
    config.m_kinds = {{69, 4, 1680}, {29.5, 7, 840}};
    config.m_demand = [](int ms) { return ms % 6000 < 1500 ? 1.8 : 1.0; };
    return config;
}

inline simulation_config with_load(simulation_config config, double factor)
{
    for (auto& kind : config.m_kinds)
        kind.m_per_second *= factor;
    return config;
}

} // namespace pepperturn::test
