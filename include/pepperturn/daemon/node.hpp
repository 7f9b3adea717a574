// SPDX-License-Identifier: BSL-1.0
/// \file
/// One VM: the decision core, the entry role and the RPC between VMs on one
/// loop thread, with the store, the platform and the upstreams around it.
#pragma once

#include "pepperturn/config/deployment_file.hpp"
#include "pepperturn/config/settings.hpp"
#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/entry/entry_table.hpp"
#include "pepperturn/net/peer.hpp"
#include "pepperturn/store/log_store.hpp"

#include <atomic>
#include <mutex>

namespace pepperturn {

class node final : private peer_handler, private entry_port
{
public:
    node(daemon_settings settings, std::unique_ptr<peer_loop> loop);

    /// Opens the RPC listener; 0 with \p reason set if that fails.
    [[nodiscard]] std::uint32_t listen(std::string& reason);
    /// Runs until a planned stop is through.
    void run();

    // The rest may be called from any thread.

    /// Brings a caller's call in; fills in its id and entry VM.
    call_id submit(call_request request, std::shared_ptr<call_sink> sink);
    void end_program(const program_key& key, std::function<void(answer)> done);
    void resolve(const session_key& key, std::uint64_t seq, outcome verdict,
                 std::function<void(answer)> done);
    /// Asks this VM and every live peer.
    void query_all(const std::string& verb, const std::string& argument,
                   std::function<void(std::string)> done);
    /// Asks this VM only.
    void query_here(const std::string& verb, const std::string& argument,
                    std::function<void(std::string)> done);
    void metrics(std::function<void(std::string)> done);
    void request_stop();

    [[nodiscard]] std::shared_ptr<const deployment> current() const;
    [[nodiscard]] config_store& configs()
    {
        return m_configs;
    }
    [[nodiscard]] bool stopping() const
    {
        return m_stopping;
    }
    /// Looks for a newer configuration now.
    void refresh_config();

private:
    struct runner_poll
    {
        bool m_load_open = false;
        bool m_events_open = false;
        bool m_skip_events = false;
        std::uint64_t m_events_seen = 0;
    };
    struct beat_state
    {
        bool m_open = false;
        instant m_sent{};
    };

    // peer_handler
    void on_peer_submit(call_submitted submitted, decision_done done) override;
    heartbeat on_peer_heartbeat(const heartbeat& beat) override;
    std::string on_peer_query(const std::string& verb,
                              const std::string& argument) override;
    std::string on_peer_config(std::uint64_t after) override;
    void on_peer_cancel(const call_id& call, std::uint32_t attempt) override;
    void on_peer_end_program(program_end_requested request,
                             decision_done done) override;
    void on_peer_resolve(resolve_requested request,
                         decision_done done) override;

    // entry_port
    [[nodiscard]] instant now() const override;
    [[nodiscard]] std::string
    likely_owner(const program_key& key) const override;
    [[nodiscard]] bool alive(const std::string& vm) const override;
    void submit_to(const std::string& vm, const call_submitted& submitted,
                   decision_callback done) override;
    void send(const grant& permit, const call_request& request,
              std::function<void(const std::string&)> on_token,
              report_callback done) override;
    void cancel_sent(const grant& permit) override;

    void handle(const event& input);
    void wait_for(const call_id& call, decision_done done);
    void drain();
    void execute(const command& order);
    void deliver(const send_decision& order);
    void release(const release_memory& order);
    void every(milliseconds period, const std::function<void()>& work);
    void send_heartbeats();
    void poll_runners();
    void poll_platform();
    void poll_config();
    void take_revision(const config_revision& revision);
    void check_stop();
    template <class Request>
    void ask_owner(const Request& request, const program_key& key,
                   instant give_up, std::function<void(answer)> done);
    [[nodiscard]] std::string address_of(const std::string& vm) const;

    daemon_settings m_settings;
    system_clock m_clock;
    std::unique_ptr<peer_loop> m_loop;
    std::uint64_t m_incarnation;
    scheduler m_scheduler;
    std::shared_ptr<kv_store> m_store;
    log_store m_logs;
    config_store m_configs;
    entry_table m_entries;
    std::unordered_map<call_id, std::vector<decision_done>> m_waiters;
    std::map<std::string, runner_poll> m_polls;
    std::map<std::string, beat_state> m_beats;
    std::string m_revision_text;
    std::atomic<std::uint64_t> m_next_call{1};
    std::atomic<bool> m_stopping{false};
    instant m_stop_by{};
    bool m_draining = false;
    bool m_platform_open = false;
    bool m_config_open = false;
    mutable std::mutex m_deployment_mutex;
    std::shared_ptr<const deployment> m_deployment;
};

} // namespace pepperturn
