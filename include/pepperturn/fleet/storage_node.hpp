// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's process: keeps turns and budgets, follows the platform's
/// store for the fleet, and takes part in the view.
#pragma once

#include "pepperturn/cluster/config_fetcher.hpp"
#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/membership.hpp"
#include "pepperturn/cluster/owner_views.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/cluster/update_sources.hpp"
#include "pepperturn/config/fleet_settings.hpp"
#include "pepperturn/fleet/runner_list.hpp"
#include "pepperturn/fleet/status_server.hpp"
#include "pepperturn/fleet/storage_places.hpp"
#include "pepperturn/fleet/world_source.hpp"
#include "pepperturn/turns/turn_server.hpp"

namespace pepperturn {

class storage_node
{
public:
    storage_node(asio::io_context& io, const clock& time,
                 const fleet_settings& settings, state_decoders decoders,
                 world_source& source);
    ~storage_node();
    storage_node(const storage_node&) = delete;
    storage_node& operator=(const storage_node&) = delete;

    [[nodiscard]] bool start(std::string& reason);
    void stop();
    /// Periodic work.
    void tick();
    /// What this VM believes about the world.
    [[nodiscard]] const cluster_state& state() const
    {
        return m_server->state();
    }

private:
    /// Reads the log, on a thread of its own.
    void load_disk();
    /// \param reason why the log cannot be read; empty: it was
    void disk_loaded(bool damaged, const std::string& reason);
    void take_state(const cluster_state& news);
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] bool listen(std::string& reason);
    /// Who this VM is, as it stands in a view.
    [[nodiscard]] member self() const;
    [[nodiscard]] membership_facts gather_facts(const cluster_view& view) const;
    task<> look_after_membership();
    /// Announces this VM, and writes the first views once all have done so.
    task<> found_fleet();
    task<> change_view();
    task<> report_emptied();
    /// The view that this VM is in, or should join; empty: it stands by.
    [[nodiscard]] std::optional<cluster_view> view_to_look_after() const;
    /// Connects to the own set and to whoever watches the store.
    void follow_views();
    /// Hears the world from the VMs that are to tell it, if any is there.
    void choose_news();
    /// Whether this VM reads the store before it knows the fleet: when all
    /// start for the first time, a few do.
    [[nodiscard]] bool may_found() const;
    /// Watches the store, or stops, by what the other storage VMs say.
    void choose_watching();
    [[nodiscard]] watch_facts gather_watch_facts();
    /// When the store was last heard, by this VM or one that watches it.
    [[nodiscard]] instant store_heard() const;
    /// Whom to ask how fresh what they know is.
    [[nodiscard]] std::vector<std::string> freshness_sources() const;
    /// Whether callers have keys, by the newest configuration.
    void follow_config();
    /// The same for what the disk remembers, once the loop has answered those
    /// that wait for this VM.
    task<> follow_first_config();
    /// Has the store asked, by this VM or by those that watch it.
    void keep_fresh();
    /// What this VM knows of the store, and how old that is.
    [[nodiscard]] freshness_bound freshness() const;
    /// \param asker number of its connection
    /// \returns false: the question is about turns
    [[nodiscard]] bool answer(std::uint64_t asker, const frame_body& question,
                              const turn_server::reply_sender& reply);
    [[nodiscard]] quota_reply count_request(const quota_request& question);
    /// What this VM has counted, by workspace.
    [[nodiscard]] std::string workspace_text() const;
    task<> copy_all();
    /// \param gathered only if the member has gathered what others hold
    task<bool> copy_from(std::string name, std::uint64_t epoch, bool gathered);
    /// The same, unless it was done in this epoch already.
    task<bool> copy_once(std::string name, std::uint64_t epoch, bool gathered);
    task<bool> copy_turns(std::string name,
                          std::vector<std::uint64_t> positions);
    void note_isolation();

    asio::io_context& m_io;
    const clock& m_time;
    fleet_settings m_settings;
    world_source& m_source;
    status_server m_status;
    member_links m_links;
    config_fetcher m_config_fetcher;
    state_decoders m_decoders;
    freshness_poller m_freshness_keeper;
    staleness_limits m_staleness_limits;
    limiter m_limiter;
    /// Names of the configuration's workspaces, by their hashes.
    std::map<std::uint64_t, std::string> m_workspace_names;
    owner_knowledge m_owners;
    storage_places m_places;
    bool m_counts_shares = false;
    /// Revision of the configuration that says so.
    std::uint64_t m_config_looked_at = 0;
    std::unique_ptr<turn_log> m_log;
    std::unique_ptr<turn_store> m_store;
    std::unique_ptr<turn_server> m_server;
    asio::thread_pool m_loader{1};
    /// Identity for a disk that has none yet, or is damaged.
    std::uint64_t m_fresh_disk = 0;
    std::uint64_t m_disk = 0;
    bool m_loaded = false;
    /// The loop has run for a moment.
    bool m_answering = false;
    std::uint64_t m_caught_up_at = 0;
    /// Epoch in which all of another member's holdings were copied.
    std::map<std::string, std::uint64_t> m_copied_at;
    instant m_isolated_until{};
    /// The order in which storage VMs watch the store.
    std::vector<std::string> m_watch_order;
    /// Who is to tell this VM the world.
    std::vector<std::string> m_news_sources;
    /// Since when too few watch it.
    std::optional<instant> m_too_few_since;
    /// A view that is newer than this is waited for before the next change.
    std::uint64_t m_outdated_epoch = 0;
    instant m_next_change{};
    bool m_announced = false;
    bool m_copying = false;
    bool m_stopping = false;
    bool m_emptied_reported = false;
    bool m_emptying_reported = false;
    instant m_started{};
    instant m_next_beat{};
    instant m_next_expiry{};
};

} // namespace pepperturn
