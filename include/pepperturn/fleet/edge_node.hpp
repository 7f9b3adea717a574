// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM's process: forwarding, with what it needs to know kept current.
#pragma once

#include "pepperturn/cluster/config_fetcher.hpp"
#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/cluster/update_sources.hpp"
#include "pepperturn/config/fleet_settings.hpp"
#include "pepperturn/fleet/edge_reach.hpp"
#include "pepperturn/fleet/runner_list.hpp"
#include "pepperturn/fleet/status_server.hpp"
#include "pepperturn/fleet/world_source.hpp"
#include "pepperturn/forward/proxy.hpp"

namespace pepperturn {

class edge_node
{
public:
    edge_node(asio::io_context& io, const clock& time,
              const fleet_settings& settings, wire_names names,
              state_decoders decoders, world_source& source);

    [[nodiscard]] bool start(std::string& reason);
    /// Planned stop: serves what still comes, then ends the loop.
    void stop();
    /// Periodic work.
    void tick();
    /// Figures for operators, one line each.
    [[nodiscard]] std::string metrics_text() const;

private:
    void take_state(const cluster_state& news);
    /// The same, from another VM or from the platform's store.
    void take_told(const cluster_state& news);
    void take_read(const cluster_state& news);
    void choose_source();
    /// Looks for storage VMs beside the seeds, which may be down or late.
    task<> find_members();
    /// While this VM has no configuration: turns to other storage VMs as soon
    /// as one turns out to be away.
    task<> hasten_news();
    void follow_views();
    /// Hears the world from the nearest storage VMs that are there.
    void choose_news();
    /// Whom to ask how fresh the configuration is, the best first.
    [[nodiscard]] std::vector<std::string> freshness_sources() const;
    /// Time since the configuration in force was surely the newest.
    [[nodiscard]] milliseconds config_age() const;
    /// Callers have keys and this VM may not act on them any more.
    [[nodiscard]] bool config_outdated() const;
    task<> drain();

    asio::io_context& m_io;
    const clock& m_time;
    fleet_settings m_settings;
    state_decoders m_decoders;
    world_source& m_source;
    member_links m_links;
    edge_reach m_reach;
    config_fetcher m_config_fetcher;
    turn_client m_turns;
    freshness_poller m_freshness_keeper;
    staleness_limits m_staleness_limits;
    quota_client m_quota;
    cold_runner_client m_cold;
    placement_client m_places;
    proxy m_proxy;
    status_server m_status;
    status_server m_metrics;
    cluster_state m_state;
    /// Of all replica sets.
    std::vector<member> m_members;
    bool m_subscribed = false;
    /// Revision of the last configuration that could be read.
    std::uint64_t m_config_revision = 0;
    bool m_stopping = false;
    bool m_own_source = false;
    /// Entries of runners that came so far, known ones among them.
    std::uint64_t m_entries_told = 0;
    std::uint64_t m_entries_read = 0;
    instant m_started{};
};

} // namespace pepperturn
