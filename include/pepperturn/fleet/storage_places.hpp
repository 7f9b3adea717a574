// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's part in handing out places at engines: keeps the engines
/// current, answers edge VMs, and decides for those that wait in line.
#pragma once

#include "pepperturn/fleet/world_source.hpp"
#include "pepperturn/scheduling/engine_places.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include <unordered_map>

namespace pepperturn {

class storage_places
{
public:
    explicit storage_places(const clock& time);

    void take_config(const routing_config& config);
    void take_runners(const std::map<std::string, runner_info>& runners);

    void ask(const place_question& question, const turn_server::reply& reply);
    void report(const place_report& report);
    /// Periodic work: those whose wait is over.
    void tick();
    void write_metrics(std::string& out) const;

private:
    /// A call in line whose asker waits for the decision.
    struct collector
    {
        turn_server::reply m_reply;
        instant m_until{};
    };

    void collect(const place_question& question,
                 const turn_server::reply& reply);
    void answer_decided();
    void refresh();

    const clock& m_time;
    engine_places m_places;
    /// Of services that are engines, by name.
    std::map<std::string, engine_profile> m_engines;
    std::vector<runner_info> m_runners;
    std::unordered_map<std::uint64_t, collector> m_collectors;
    /// Decided before they were asked for.
    std::unordered_map<std::uint64_t, place_answer> m_decided;
    std::array<std::uint64_t, 4> m_answers{};
};

} // namespace pepperturn
