// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM's process: forwards calls, and keeps the cluster state that
/// forwarding depends on current.
#pragma once

#include "pepperturn/cluster/config_fetcher.hpp"
#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/cluster/update_sources.hpp"
#include "pepperturn/config/fleet_settings.hpp"
#include "pepperturn/fleet/edge_connectivity.hpp"
#include "pepperturn/fleet/runner_list.hpp"
#include "pepperturn/fleet/state_source.hpp"
#include "pepperturn/fleet/status_server.hpp"
#include "pepperturn/forward/proxy.hpp"

namespace pepperturn {

class edge_node
{
public:
    edge_node(asio::io_context& io, const clock& time,
              const fleet_settings& settings, wire_names names,
              state_decoders decoders, state_source& source);

    [[nodiscard]] bool start(std::string& reason);
    /// Planned stop: serves requests that still arrive, then ends the loop.
    void stop();
    /// Periodic work.
    void tick();
    /// Metrics for operators, one line each.
    [[nodiscard]] std::string metrics_text() const;

private:
    /// \param from who sent the state, for the log
    void apply_state(cluster_state&& update, const std::string& from);
    /// Notes how far the list of runners has arrived.
    void note_list(const cluster_state& update);
    /// Applies state received from another VM, or read from the platform's
    /// store.
    void apply_received_state(cluster_state&& update, const std::string& from);
    void apply_store_state(const cluster_state& update);
    /// Asks the platform's store itself for the configuration once no storage
    /// VM has confirmed it in time.
    void confirm_config();
    /// How long this VM leaves the store to the storage VMs at first.
    [[nodiscard]] milliseconds start_delay() const;
    /// Follows the platform's store itself while no storage VM relays it.
    void choose_source();
    /// Tells the storage VMs of a request under which runners have ended;
    /// returns once one of them has replied.
    task<> report_suspect(suspect row);
    /// Notes once storage VMs must have told this VM of all suspects.
    void note_suspects();
    /// Reads the views from the store if the seeds, which may be down or slow,
    /// have not sent any.
    task<> find_members();
    /// While this VM has no configuration: switches to other storage VMs as
    /// soon as one turns out to be unreachable.
    task<> speed_up_first_updates();
    void apply_views();
    /// False: another source is subscribed to instead.
    [[nodiscard]] bool usable_source(const std::string& name) const;
    /// Subscribes to state updates of the nearest reachable storage VMs.
    void choose_update_sources();
    /// Storage VMs to ask for the configuration's freshness, best first.
    [[nodiscard]] std::vector<std::string> freshness_sources() const;
    /// Time since any storage VM last reached the platform's store, by the
    /// heartbeats received here.
    [[nodiscard]] milliseconds storage_heard_age() const;
    /// Time since the configuration in force was last confirmed as newest.
    [[nodiscard]] milliseconds config_age() const;
    /// Callers need keys, and the configuration is too old to accept them: a
    /// key may have been revoked since.
    [[nodiscard]] bool config_outdated() const;
    task<> drain();

    asio::io_context& m_io;
    const clock& m_time;
    fleet_settings m_settings;
    state_decoders m_decoders;
    state_source& m_source;
    member_links m_links;
    edge_connectivity m_connectivity;
    config_fetcher m_config_fetcher;
    turn_client m_turns;
    staleness_limits m_staleness_limits;
    freshness_poller m_freshness_poller;
    quota_client m_quota;
    cold_runner_client m_cold;
    placement_client m_placements;
    proxy m_proxy;
    status_server m_status;
    status_server m_metrics;
    cluster_state m_state;
    /// Storage VMs of all replica sets.
    std::vector<member> m_members;
    bool m_subscribed = false;
    /// When the storage VMs became known.
    instant m_subscribed_at{};
    /// Revision of the last configuration that could be read.
    std::uint64_t m_config_revision = 0;
    bool m_stopping = false;
    bool m_own_source = false;
    /// The configuration is confirmed by the store if by no storage VM.
    bool m_confirming = false;
    /// Nobody has confirmed it within the time in which changes apply.
    bool m_config_unconfirmed = false;
    /// Runner entries received so far, including those already known.
    std::uint64_t m_entries_received = 0;
    std::uint64_t m_entries_read = 0;
    instant m_started{};
    /// Updates of the state so far.
    std::uint64_t m_state_changes = 0;
    /// Since when a storage VM that this VM subscribes to is connected.
    std::optional<instant> m_hears_since;
    /// When this VM started, or last received a part of a list of runners.
    instant m_list_progress{};
    bool m_list_in_parts = false;
    /// A long update has been applied, and its memory is free again.
    bool m_memory_freed = false;
};

} // namespace pepperturn
