// SPDX-License-Identifier: BSL-1.0
/// \file
/// Ways of placing calls on a modelled site, and its shapes.
#pragma once

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/scheduling/placement.hpp"
#include "scheduling/place_site.hpp"

#include <algorithm>
#include <map>
#include <memory>

namespace pepperturn::test {

/// One VM that is asked by all.
class placing_policy final : public site_policy
{
public:
    explicit placing_policy(const place_site& site) : m_site(site)
    {
        start_anew(instant(seconds(1000)));
    }
    /// Another VM takes over: it knows nothing.
    void start_anew(instant now)
    {
        m_places = std::make_unique<engine_places>();
        m_places->follow(site_service, m_site.facts(), now);
    }
    std::optional<place_answer> ask(const place_question& question,
                                    std::uint32_t, instant now) override
    {
        return m_places->ask(question, now);
    }
    void report(const place_report& report, std::uint32_t, instant now) override
    {
        m_places->report(report, now);
    }
    std::vector<decided_place> take_decided(instant now) override
    {
        return m_places->take_decided(now);
    }

private:
    const place_site& m_site;
    std::unique_ptr<engine_places> m_places;
};

/// Each VM chooses by the calls that it sends itself.
class own_calls_policy final : public site_policy
{
public:
    own_calls_policy(const place_site& site, std::uint32_t vms) : m_tables(vms)
    {
        std::vector<runner_info> runners;
        for (const auto& facts : site.facts())
        {
            runner_info info;
            info.m_id = std::to_string(facts.m_runner);
            info.m_service = "engines";
            info.m_slots = facts.m_slots;
            info.m_availability_zone = facts.m_availability_zone;
            info.m_born = 1;
            runners.push_back(info);
        }
        for (auto& table : m_tables)
            (void)table.replace(runners);
    }
    std::optional<place_answer> ask(const place_question& question,
                                    std::uint32_t vm, instant now) override
    {
        auto& table = m_tables.at(vm);
        runner_choice choice;
        choice.m_service = "engines";
        choice.m_preferred = m_homes[question.m_parts.back().m_id];
        choice.m_availability_zone = question.m_availability_zone;
        choice.m_draw = question.m_call;
        const auto* row = table.choose(choice, now);
        if (row == nullptr)
            return place_answer{};
        m_homes[question.m_parts.back().m_id] = row->m_incarnation;
        table.note_sent(row->m_info.m_id);
        return place_answer{.m_outcome = place_outcome::placed,
                            .m_runner = std::stoull(row->m_info.m_id)};
    }
    void report(const place_report& report, std::uint32_t vm,
                instant now) override
    {
        auto& table = m_tables.at(vm);
        const auto id = std::to_string(report.m_runner);
        table.note_ended(id);
        if (report.m_end == place_end::whole)
            table.note_first_byte(id, "route",
                                  milliseconds(report.m_first_byte_ms));
        else
            table.note_failure(id, now);
        table.note_result(id, report.m_end == place_end::whole, now);
    }
    std::vector<decided_place> take_decided(instant) override
    {
        return {};
    }

private:
    std::vector<runner_table> m_tables;
    std::map<std::uint64_t, std::string> m_homes;
};

/// Each VM knows the calls at all engines as they were a moment ago, and its
/// own since, and takes the better of two that it draws or of one that has
/// the conversation.
class told_loads_policy final : public site_policy
{
public:
    told_loads_policy(const place_site& site, std::uint32_t vms,
                      milliseconds age)
        : m_engines(site.facts()), m_age(age), m_now(m_engines.size()),
          m_told(m_engines.size()), m_own(vms)
    {
        for (auto& own : m_own)
            own.resize(m_engines.size());
    }
    std::optional<place_answer> ask(const place_question& question,
                                    std::uint32_t vm, instant now) override
    {
        if (now - m_told_at >= m_age)
        {
            m_told = m_now;
            m_told_at = now;
            for (auto& own : m_own)
                std::fill(own.begin(), own.end(), 0);
        }
        auto& home = m_homes[question.m_parts.back().m_id];
        std::vector<placement_candidate> candidates;
        std::vector<std::size_t> indexes;
        const auto add = [&](std::size_t index, bool is_home) {
            placement_candidate row;
            row.m_load = 1.0 * (m_told[index] + m_own[vm][index]) /
                         m_engines[index].m_slots;
            row.m_other_zone = m_engines[index].m_availability_zone !=
                               question.m_availability_zone;
            row.m_has_prompt = is_home;
            candidates.push_back(row);
            indexes.push_back(index);
        };
        for (std::uint64_t i = 0; i < 2; ++i)
            add(hash_combine(question.m_call, i) % m_engines.size(), false);
        if (home != 0)
            add(home - 1, true);
        const auto chosen = indexes[choose_placement(candidates).value_or(0)];
        home = m_engines[chosen].m_runner;
        ++m_now[chosen];
        ++m_own[vm][chosen];
        return place_answer{.m_outcome = place_outcome::placed,
                            .m_runner = home};
    }
    void report(const place_report& report, std::uint32_t, instant) override
    {
        --m_now[report.m_runner - 1];
    }
    std::vector<decided_place> take_decided(instant) override
    {
        return {};
    }

private:
    std::vector<engine_facts> m_engines;
    milliseconds m_age;
    /// Calls at each engine: now, as told, and own since.
    std::vector<int> m_now;
    std::vector<int> m_told;
    instant m_told_at{};
    std::vector<std::vector<int>> m_own;
    std::map<std::uint64_t, std::uint64_t> m_homes;
};

/// A quarter of its engines is slow, and all are at times; bursts of a second
/// and a half.
inline site_shape make_uneven_site()
{
    site_shape shape;
    shape.m_kinds = {{69, 4, 1680}, {29.5, 7, 840}};
    shape.m_demand = [](int ms) { return ms % 6000 < 1500 ? 1.8 : 1.0; };
    return shape;
}

inline site_shape with_load(site_shape shape, double factor)
{
    for (auto& kind : shape.m_kinds)
        kind.m_per_second *= factor;
    return shape;
}

} // namespace pepperturn::test
