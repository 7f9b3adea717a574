// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's part in handing out places at engines: keeps the engines
/// current, answers edge VMs, and decides for those that wait in line.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/fleet/world_source.hpp"
#include "pepperturn/scheduling/engine_places.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include <set>
#include <unordered_map>

namespace pepperturn {

class storage_places
{
public:
    storage_places(const clock& time, zone_map zones);

    void take_config(const routing_config& config);
    void take_changes(const std::vector<runner_change>& changes);
    /// No places at engines of \p zones.
    void evacuate(const std::vector<std::string>& zones);

    /// \param asker number of its connection
    void ask(std::uint64_t asker, const placement_request& question,
             const turn_server::reply_sender& reply);
    void report(const placement_report& report);
    /// The connection has ended: places asked for on it come back, since
    /// whoever was killed tells no ends, and engines would seem full of runs
    /// that are over.
    void note_gone(std::uint64_t asker);
    /// Periodic work: those whose wait is over.
    void tick();
    void write_metrics(std::string& out) const;

private:
    /// A call in line whose asker waits for the decision.
    struct collector
    {
        turn_server::reply_sender m_reply;
        instant m_until{};
    };

    void collect(const placement_request& question,
                 const turn_server::reply_sender& reply);
    void answer_decided();
    /// Notes whose call it is.
    void note_asker(std::uint64_t asker, const placement_request& question);
    void forget_call(std::uint64_t call);
    /// Follows a service's engines if this VM is asked for places there; the
    /// work goes with its runners.
    void refresh(const std::string& service);
    void refresh_asked();
    void note_asked(std::uint64_t service);

    const clock& m_time;
    zone_map m_zones;
    engine_placements m_places;
    /// Of services that are engines, by name.
    std::map<std::string, service> m_engines;
    /// A runner, and until when it is cold.
    struct known_runner
    {
        runner_info m_info;
        instant m_cold_until{};
    };
    std::map<std::string, known_runner> m_runners;
    std::set<std::string> m_evacuated;
    /// Services whose engines have changed since they were followed.
    std::set<std::string> m_outdated;
    /// When places of a service were last asked for here, by its hash.
    std::unordered_map<std::uint64_t, instant> m_asked;
    std::unordered_map<std::uint64_t, collector> m_collectors;
    /// Calls with a place or in line, by asker; each with its service.
    std::unordered_map<std::uint64_t,
                       std::unordered_map<std::uint64_t, std::uint64_t>>
        m_open;
    /// The asker of each of these.
    std::unordered_map<std::uint64_t, std::uint64_t> m_askers;
    /// Decided before they were asked for.
    std::unordered_map<std::uint64_t, placement_reply> m_decided;
    std::array<std::uint64_t, 4> m_answers{};
};

} // namespace pepperturn
