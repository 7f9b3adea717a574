// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's process: stores turns and budgets, follows the platform's
/// store for the fleet, counts shares of limits, assigns engine placements, and
/// maintains its replica set's view.
#pragma once

#include "pepperturn/cluster/config_fetcher.hpp"
#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/member_silence.hpp"
#include "pepperturn/cluster/membership.hpp"
#include "pepperturn/cluster/owner_views.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/cluster/update_sources.hpp"
#include "pepperturn/config/fleet_settings.hpp"
#include "pepperturn/fleet/runner_list.hpp"
#include "pepperturn/fleet/state_source.hpp"
#include "pepperturn/fleet/status_server.hpp"
#include "pepperturn/fleet/storage_placements.hpp"
#include "pepperturn/fleet/turn_copier.hpp"
#include "pepperturn/turns/turn_server.hpp"

namespace pepperturn {

class storage_node
{
public:
    storage_node(asio::io_context& io, const clock& time,
                 const fleet_settings& settings, state_decoders decoders,
                 state_source& source);
    ~storage_node();
    storage_node(const storage_node&) = delete;
    storage_node& operator=(const storage_node&) = delete;

    [[nodiscard]] bool start(std::string& reason);
    void stop();
    /// Periodic work.
    void tick();
    /// The cluster state as this VM knows it.
    [[nodiscard]] const cluster_state& state() const
    {
        return m_server->state();
    }

private:
    /// Reads the log on a separate thread.
    void load_disk();
    /// \param reason why the log could not be read; empty on success
    void disk_loaded(bool damaged, const std::string& reason);
    void apply_state(const cluster_state& update);
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] bool listen(std::string& reason);
    /// This VM's entry in a view.
    [[nodiscard]] member self() const;
    [[nodiscard]] membership_facts gather_facts(const cluster_view& view) const;
    /// What this VM has heard of the other members.
    [[nodiscard]] std::vector<member_contact>
    contacts_of(const cluster_view& view) const;
    task<> maintain_membership();
    /// Announces this VM, and writes the initial views once all have done so.
    task<> bootstrap_fleet();
    task<> change_view();
    /// Notes since when the view is as it is, and since when it has its gap.
    void note_view();
    /// Copies again from members that restarted: they may have forgotten who
    /// copied from them.
    void forget_reconnected();
    task<> report_emptied();
    /// True while it is not known yet which members are reachable.
    [[nodiscard]] bool
    awaits_connections(const std::vector<member>& members) const;
    /// The view that this VM is in or should join; empty: it is on standby.
    [[nodiscard]] std::optional<cluster_view> view_to_maintain() const;
    /// Connects to its own replica set, the watchers and the update sources.
    void update_connections();
    /// Subscribes to the update sources, or to the watchers if no update source
    /// is reachable.
    void choose_update_sources();
    /// Whether this VM reads the store before it knows the fleet: at a first
    /// start of all VMs, only a few do.
    [[nodiscard]] bool may_bootstrap() const;
    /// Starts or stops watching the store, depending on how many other storage
    /// VMs watch it.
    void choose_watching();
    [[nodiscard]] watch_facts gather_watch_facts();
    /// When the store last answered this VM or another watcher.
    [[nodiscard]] instant last_store_contact() const;
    /// Storage VMs to ask for the freshness of their state.
    [[nodiscard]] std::vector<std::string> freshness_sources() const;
    /// Applies the newest configuration: engines, workspaces, and whether
    /// limits are shared out.
    void update_config();
    /// Applies the configuration stored on disk, once the loop has answered the
    /// requests that wait for this VM.
    task<> load_first_config();
    /// Keeps freshness confirmed, by queries to the store or to the watchers.
    void update_freshness_polling();
    /// How current this VM's configuration and views are.
    [[nodiscard]] freshness_bound freshness() const;
    /// \param requester id of the connection that the request came from
    /// \returns false if the request is about turns
    [[nodiscard]] bool handle_request(std::uint64_t requester,
                                      const frame_body& request,
                                      const turn_server::reply_sender& reply);
    [[nodiscard]] quota_reply count_request(const quota_request& request);
    /// Metrics of the requests counted here, by workspace.
    [[nodiscard]] std::string workspace_text() const;
    /// Removes rows whose retention has ended by all that the replica set
    /// knows.
    task<> remove_expired_rows();
    /// Asks other members for how long they know the rows to be needed, and
    /// takes that over.
    /// \returns false if too few reply: another one may need the rows
    task<bool> confirm_expiry(retained_keys keys);
    /// Tells update sources that were just connected of the suspects known
    /// here: what this VM read from its disk may be nowhere else, and news are
    /// sent to those only that are connected then.
    void tell_suspects();
    task<> copy_all();
    void detect_isolation();

    asio::io_context& m_io;
    const clock& m_time;
    fleet_settings m_settings;
    state_source& m_source;
    status_server m_status;
    member_links m_links;
    config_fetcher m_config_fetcher;
    state_decoders m_decoders;
    staleness_limits m_staleness_limits;
    freshness_poller m_freshness_poller;
    limiter m_limiter;
    /// Names of the configured workspaces, by hash.
    std::map<std::uint64_t, std::string> m_workspace_names;
    owner_knowledge m_owners;
    storage_placements m_placements;
    bool m_counts_shares = false;
    /// Revision of the configuration last decoded.
    std::uint64_t m_decoded_config_revision = 0;
    std::unique_ptr<turn_log> m_log;
    std::unique_ptr<turn_store> m_store;
    std::unique_ptr<turn_server> m_server;
    std::unique_ptr<turn_copier> m_copier;
    asio::thread_pool m_loader{1};
    /// Identity for a disk that has none yet, or is damaged.
    std::uint64_t m_fresh_disk = 0;
    std::uint64_t m_disk = 0;
    bool m_loaded = false;
    /// The loop has answered the requests that waited at the start.
    bool m_answering = false;
    std::uint64_t m_caught_up_at = 0;
    /// Connection to each member of the set when it was last looked at.
    std::map<std::string, std::uint64_t> m_connections;
    /// Connection over which each update source was told of suspects.
    std::map<std::string, std::uint64_t> m_suspects_told;
    /// The view of the own set, and since when this process knows of it.
    std::uint64_t m_view_epoch = 0;
    instant m_view_since{};
    /// Gap of the view, and since when this process knows of it.
    std::uint64_t m_gap_epoch = 0;
    instant m_gap_since{};
    /// Of all routes that were configured; empty: none is known yet.
    std::optional<milliseconds> m_longest_retention;
    instant m_isolated_until{};
    /// The order in which storage VMs watch the store.
    std::vector<std::string> m_watch_order;
    /// Storage VMs that send state updates to this VM.
    std::vector<std::string> m_update_sources;
    /// Since when too few storage VMs watch the store.
    std::optional<instant> m_too_few_since;
    /// The next change waits for a view newer than this epoch.
    std::uint64_t m_outdated_epoch = 0;
    instant m_next_change{};
    bool m_announced = false;
    bool m_copying = false;
    bool m_expiring = false;
    /// Rows that could not be removed at the last check since too few members
    /// replied.
    std::size_t m_unconfirmed_expiries = 0;
    bool m_stopping = false;
    bool m_emptied_reported = false;
    bool m_emptying_reported = false;
    instant m_started{};
    instant m_next_heartbeat{};
    instant m_next_expiry{};
};

} // namespace pepperturn
