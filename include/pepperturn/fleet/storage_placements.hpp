// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's placement service: keeps the engines current, replies to edge
/// VMs' placement requests, and decides for queued calls.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/fleet/state_source.hpp"
#include "pepperturn/scheduling/engine_placements.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include <set>
#include <unordered_map>

namespace pepperturn {

class storage_placements
{
public:
    storage_placements(const clock& time, zone_map zones);

    void apply_config(const routing_config& config);
    void apply_changes(const std::vector<runner_change>& changes);
    /// No further placements at engines of \p zones.
    void evacuate(const std::vector<std::string>& zones);

    /// \param requester id of the connection that the request came from
    void handle_request(std::uint64_t requester,
                        const placement_request& request,
                        const turn_server::reply_sender& reply);
    void handle_report(const placement_report& report);
    /// Releases the placements requested on a connection that has closed: a
    /// killed edge VM reports no ends, and engines would seem full of runs that
    /// are over.
    void release_connection(std::uint64_t requester);
    /// Periodic work: sends decisions and drops requests past their deadline.
    void tick();
    void write_metrics(std::string& out) const;

private:
    /// The pending reply to a queued call's request for its decision.
    struct waiter
    {
        turn_server::reply_sender m_reply;
        instant m_deadline{};
    };

    void await_decision(const placement_request& request,
                        const turn_server::reply_sender& reply);
    void send_decisions();
    /// Records which connection a call belongs to.
    void record_requester(std::uint64_t requester,
                          const placement_request& request);
    void forget_call(std::uint64_t call);
    /// Updates a service's engines if they have changed; the cost grows with
    /// the number of runners.
    void refresh(const std::string& service);
    void refresh_requested();
    void record_service_request(std::uint64_t service);

    const clock& m_time;
    zone_map m_zones;
    engine_placements m_placements;
    /// Services that are engines, by name.
    std::map<std::string, service> m_engines;
    /// A runner, and the time at which it stops being cold.
    struct known_runner
    {
        runner_info m_info;
        instant m_cold_until{};
    };
    std::map<std::string, known_runner> m_runners;
    std::set<std::string> m_evacuated;
    /// Services whose engines have changed since the last refresh.
    std::set<std::string> m_outdated;
    /// Time of the last placement request for a service, by its hash.
    std::unordered_map<std::uint64_t, instant> m_requested;
    std::unordered_map<std::uint64_t, waiter> m_waiters;
    /// Placed or queued calls, by requester; each with its service.
    std::unordered_map<std::uint64_t,
                       std::unordered_map<std::uint64_t, std::uint64_t>>
        m_open_calls;
    /// The requester of each of these calls.
    std::unordered_map<std::uint64_t, std::uint64_t> m_requesters;
    /// Decisions made before the call asked for them.
    std::unordered_map<std::uint64_t, placement_reply> m_decided;
    std::array<std::uint64_t, 4> m_reply_counts{};
};

} // namespace pepperturn
