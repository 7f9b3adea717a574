// SPDX-License-Identifier: BSL-1.0
/// \file
/// A storage VM's process: keeps turns and budgets, follows the platform's
/// store for the fleet, and takes part in the view.
#pragma once

#include "pepperturn/cluster/config_fetcher.hpp"
#include "pepperturn/cluster/membership.hpp"
#include "pepperturn/config/fleet_settings.hpp"
#include "pepperturn/fleet/status_server.hpp"
#include "pepperturn/fleet/world_source.hpp"
#include "pepperturn/turns/turn_server.hpp"

namespace pepperturn {

class storage_node
{
public:
    storage_node(asio::io_context& io, const clock& time,
                 const fleet_settings& settings, world_source& source);
    ~storage_node();
    storage_node(const storage_node&) = delete;
    storage_node& operator=(const storage_node&) = delete;

    [[nodiscard]] bool start(std::string& reason);
    void stop();
    /// Periodic work.
    void tick();

private:
    /// Reads the log, on a thread of its own.
    void load_disk();
    /// \param reason why the log cannot be read; empty: it was
    void disk_loaded(bool damaged, const std::string& reason);
    void take_state(const cluster_state& news);
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] bool listen(std::string& reason);
    [[nodiscard]] membership_facts gather_facts() const;
    task<> look_after_membership();
    task<> change_view();
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
    std::unique_ptr<turn_log> m_log;
    std::unique_ptr<turn_store> m_store;
    std::unique_ptr<turn_server> m_server;
    asio::thread_pool m_loader{1};
    /// Identity for a disk that has none yet, or is damaged.
    std::uint64_t m_fresh_disk = 0;
    std::uint64_t m_disk = 0;
    bool m_loaded = false;
    std::uint64_t m_caught_up_at = 0;
    /// Epoch in which all of another member's holdings were copied.
    std::map<std::string, std::uint64_t> m_copied_at;
    instant m_isolated_until{};
    bool m_copying = false;
    bool m_stopping = false;
    bool m_emptied_reported = false;
    bool m_emptying_reported = false;
    instant m_started{};
    instant m_next_beat{};
    instant m_next_expiry{};
};

} // namespace pepperturn
