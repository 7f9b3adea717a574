// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM's work: takes callers' requests, chooses runners, retries where
/// the evidence allows it, and answers honestly.
#pragma once

#include "pepperturn/forward/admission_queue.hpp"
#include "pepperturn/forward/caller_connection.hpp"
#include "pepperturn/forward/cold_runner_client.hpp"
#include "pepperturn/forward/placement_client.hpp"
#include "pepperturn/forward/quota_client.hpp"
#include "pepperturn/forward/stream_relay.hpp"
#include "pepperturn/forward/traffic_metrics.hpp"
#include "pepperturn/scheduling/second_try.hpp"
#include "pepperturn/tenancy/identity.hpp"
#include "pepperturn/turns/turn_client.hpp"

#include <set>

namespace pepperturn {

/// What the proxy needs where callers have keys.
struct workspace_admission
{
    /// Time since the configuration was surely the newest.
    std::function<milliseconds()> m_config_age;
    staleness_limits m_staleness_limits;
    /// Null: nothing is limited.
    quota_client* m_quota = nullptr;
};

class proxy
{
public:
    proxy(asio::io_context& io, const clock& time, wire_names names,
          std::string availability_zone, turn_client& turns);

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);

    /// Takes a newer configuration; an older one is refused.
    /// \param revision of the configuration in the platform's store
    bool apply_config(routing_config config, std::uint64_t revision = 0);
    /// Until this is called, configurations are fresh and nothing is limited.
    void enable_workspace_admission(workspace_admission guard);
    /// Asks \p places for engines; until this is called, this VM chooses them
    /// by itself.
    void set_placement_client(placement_client& places);
    /// Callers need keys, by the configuration in force.
    [[nodiscard]] bool requires_keys() const
    {
        return m_config && m_config->m_directory;
    }
    /// Takes the whole list of runners.
    void set_runners(const std::vector<runner_info>& runners);
    void apply_runner_changes(const std::vector<runner_change>& changes);
    /// Nothing more goes to the runners of \p zones.
    void evacuate(const std::vector<std::string>& zones);
    void set_zones(const zone_map& zones)
    {
        m_zones = zones;
        m_runners.set_zones(zones);
    }
    /// Callers and runners are spread by what is drawn from \p seed; VMs whose
    /// seeds are alike draw alike.
    void set_random_seed(std::uint64_t seed);
    /// Counts calls to cold runners with others; until this is called, none is
    /// used while another one is there.
    void set_cold_client(cold_runner_client& leaves)
    {
        m_cold_client = &leaves;
    }
    /// \param memory_mb of the VM, for this process; 0: not told
    void set_memory_limit(std::uint32_t memory_mb)
    {
        m_memory.set_memory(memory_mb);
    }
    [[nodiscard]] const buffer_budget& buffered() const
    {
        return *m_memory.budget();
    }
    [[nodiscard]] bool has_config() const
    {
        return m_config != nullptr;
    }

    /// Answers close their connections from now on.
    void begin_drain();
    void stop_accepting();
    void close_idle();
    [[nodiscard]] std::size_t active_requests() const
    {
        return m_active_requests;
    }
    [[nodiscard]] const traffic_metrics& metrics() const
    {
        return m_metrics;
    }
    /// All figures for operators, one line each.
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] std::uint64_t upstream_connections() const
    {
        return m_pool.opened();
    }

private:
    /// A question for a place while it is under way.
    struct pending_placement
    {
        explicit pending_placement(asio::io_context& io) : m_completion(io) {}
        async_event m_completion;
        bool m_done = false;
        /// Nobody waits for it any more: the place goes back.
        bool m_abandoned = false;
        placement_result m_grant;
    };
    /// One request while it is worked on.
    struct call
    {
        caller_request m_request;
        request_fields m_fields;
        /// Where what is held for it counts.
        std::shared_ptr<buffer_account> m_buffered;
        std::shared_ptr<const routing_config> m_config;
        const route* m_route = nullptr;
        /// Whose it is, where callers have keys; null: nobody's.
        const workspace* m_workspace = nullptr;
        std::uint64_t m_config_revision = 0;
        /// Leave to run once.
        quota_grant m_quota_grant;
        /// Attempts that may have run.
        unsigned m_possible_runs = 0;
        instant m_arrived{};
        instant m_deadline{};
        std::shared_ptr<abort_signal> m_aborter;
        bool m_keep_alive = true;
        /// What goes to the runner.
        std::string m_body;
        std::string m_preferred_runner;
        /// Earlier calls of its program have been answered.
        bool m_continues_program = false;
        /// It counts at the engine gate.
        bool m_holds_gate_slot = false;
        /// Asked before it is known whether the call may run; null: not.
        std::shared_ptr<pending_placement> m_pending_placement;
        /// Its place at an engine.
        placement_result m_placement;
        /// The end of that place has not been told.
        bool m_placement_unreported = false;
        begin_request m_begin;
        bool m_budget_reserved = false;
        std::uint32_t m_tokens_per_event = 1;
        std::optional<std::uint32_t> m_urgency;
        unsigned m_attempts = 0;
        std::string m_runner;
        std::string m_reason;
    };
    /// How far the attempts of a request have come.
    struct attempt_progress
    {
        unsigned m_possible_runs = 0;
        unsigned m_refusals = 0;
        /// Cold runners that bear no further call now.
        unsigned m_cold_denials = 0;
        /// The attempt under way may be followed by another if it may have
        /// run.
        bool m_may_retry = false;
        std::optional<milliseconds> m_retry_after;
        /// A runner's error, to be passed on if no other does better.
        std::optional<upstream_response> m_fallback_response;
    };
    /// A question to the owners of a limit while it is under way.
    struct pending_quota
    {
        explicit pending_quota(asio::io_context& io) : m_completion(io) {}
        async_event m_completion;
        bool m_done = false;
        /// Nobody waits for it any more: a grant goes back.
        bool m_abandoned = false;
        quota_grant m_grant;
    };
    struct call_result
    {
        /// Empty: a stream that was answered or cut already.
        std::optional<upstream_response> m_response;
        /// The connection cannot go on.
        bool m_aborted = false;
    };

    /// Lets go of connections to runners that are no longer used.
    /// \param restarted ids
    void close_unused_connections(const std::vector<std::string>& restarted);
    task<> accept_callers();
    task<> serve_connection(std::shared_ptr<caller_connection> caller);
    task<> refuse_unread_request(std::shared_ptr<caller_connection> caller,
                                 read_result read);
    task<bool> serve_request(std::shared_ptr<caller_connection> caller,
                             caller_request request);
    /// Waits for \p ready while this VM has only just started.
    task<> wait_for_startup(std::shared_ptr<call> work,
                            std::function<bool()> ready);
    /// Until when a request waits for what this VM lacks at its start.
    [[nodiscard]] instant startup_deadline(const call& work) const;
    task<call_result> handle(std::shared_ptr<caller_connection> caller,
                             std::shared_ptr<call> work);
    task<std::optional<upstream_response>>
    begin_turn(std::shared_ptr<call> work);
    /// Finds out whose a request is; an answer: it is refused.
    [[nodiscard]] std::optional<upstream_response> admit_caller(call& work);
    /// This VM has heard how old its configuration is.
    [[nodiscard]] bool config_age_known() const;
    /// This VM may still act on the configuration that the request came under.
    [[nodiscard]] bool config_is_fresh(const call& work) const;
    /// Asks for leave to run a request, beside what else is done for it; null:
    /// it needs none.
    [[nodiscard]] std::shared_ptr<pending_quota>
    request_quota(const std::shared_ptr<call>& work);
    /// An answer: it is refused.
    task<std::optional<upstream_response>>
    await_quota(std::shared_ptr<call> work,
                std::shared_ptr<pending_quota> asked);
    /// Leave to run a request once more, at another runner.
    task<bool> request_retry_quota(std::shared_ptr<call> work);
    void release_quota(const call& work);
    /// The request has been answered otherwise.
    static void abandon_quota(call& work,
                              const std::shared_ptr<pending_quota>& asked);
    /// Counts what became of a request of its workspace.
    void count_workspace(const call& work, unsigned status, bool cut);
    [[nodiscard]] upstream_response refuse_stale_config(call& work);
    /// Who goes first when engines have queues.
    [[nodiscard]] call_rank rank_of(const call& work) const;
    /// Waits for a place at the engines; an answer: it is refused.
    task<std::optional<call_result>> wait_for_gate(std::shared_ptr<call> work);
    /// Asks for a place at an engine, beside what else is done for a request.
    void request_placement(const std::shared_ptr<call>& work);
    [[nodiscard]] placement_request
    make_placement_request(const call& work, const std::string& service);
    /// Waits for the place that was asked for, or asks for one now; an answer:
    /// the request is refused.
    task<std::optional<call_result>>
    await_placement(std::shared_ptr<call> work,
                    std::shared_ptr<runner_query> choice);
    /// Asks for a place at another engine than those that refused it.
    task<> request_other_placement(std::shared_ptr<call> work,
                                   std::shared_ptr<runner_query> choice);
    /// The engine of the place, if this VM can use it; null: it chooses.
    [[nodiscard]] const runner_row*
    placed_runner(const call& work, const runner_query& choice) const;
    /// Leave to send a call to a runner that is cold; others need none.
    task<bool> may_use_cold_runner(std::shared_ptr<call> work,
                                   runner_row target);
    /// Tells how the attempt ended.
    /// \param events that came
    void report_placement(call& work, const attempt_result& result,
                          std::uint32_t events);
    /// What was not used goes back.
    void release_placement(call& work);
    task<call_result> forward(std::shared_ptr<caller_connection> caller,
                              std::shared_ptr<call> work);
    /// Passes a stream on to the caller.
    [[nodiscard]] stream_sink
    make_sink(const std::shared_ptr<caller_connection>& caller,
              const std::shared_ptr<call>& work,
              const std::shared_ptr<stream_relay>& relay);
    task<call_result> finish_stream(std::shared_ptr<caller_connection> caller,
                                    std::shared_ptr<call> work,
                                    const attempt_result& result,
                                    stream_relay& relay);
    task<> watch_deadline(std::shared_ptr<call> work);
    void settle(call& work, std::uint32_t tokens);
    /// Where the call's prompt was read.
    [[nodiscard]] prompt_location locate_prompt(const call& work) const;
    [[nodiscard]] std::string choose_service(const call& work) const;
    [[nodiscard]] runner_query make_runner_choice(call& work) const;
    /// The request may go to another runner though this one may run it.
    [[nodiscard]] static bool may_retry(const call& work,
                                        const attempt_progress& state);
    /// How long a call on \p route waits for its first byte before another
    /// runner is tried, with a try set aside; empty: as long as for the rest.
    [[nodiscard]] std::optional<milliseconds>
    reserve_early_retry(const route& route);
    /// \param wait as \ref take_try gave it
    void record_early_retry(const route& route,
                            std::optional<milliseconds> wait,
                            const attempt_result& result);
    /// \param last_event what the caller has of the stream already
    task<attempt_result> attempt(std::shared_ptr<call> work, runner_row target,
                                 bool may_repeat,
                                 std::optional<std::uint64_t> last_event,
                                 stream_sink sink);
    /// What an attempt's end means; empty: go on with another runner.
    [[nodiscard]] std::optional<call_result>
    evaluate_attempt(call& work, attempt_progress& state,
                     attempt_result result);
    /// The answer when no further attempt is made.
    [[nodiscard]] call_result
    finish_without_response(call& work, attempt_progress& state, bool given_up);
    /// This VM has no room for an answer.
    [[nodiscard]] call_result refuse_for_memory(call& work,
                                                attempt_progress& state);
    [[nodiscard]] upstream_response refuse(call& work, const std::string& why,
                                           milliseconds come_back);
    [[nodiscard]] upstream_response fail(call& work, unsigned status,
                                         const std::string& why);
    void log_request_end(const call& work, unsigned status);

    asio::io_context& m_io;
    const clock& m_time;
    wire_names m_names;
    std::string m_availability_zone;
    turn_client& m_turns;
    tcp::acceptor m_acceptor;
    memory_guard m_memory;
    upstream_pool m_pool;
    runner_table m_runners;
    zone_map m_zones;
    admission_queue m_gate;
    workspace_admission m_admission;
    /// Null: calls to cold runners are not counted.
    cold_runner_client* m_cold_client = nullptr;
    /// Null: this VM chooses engines by itself.
    placement_client* m_placement_client = nullptr;
    std::shared_ptr<const routing_config> m_config;
    std::uint64_t m_config_revision = 0;
    std::set<std::shared_ptr<caller_connection>> m_callers;
    traffic_metrics m_metrics;
    /// Of routes whose calls may be repeated.
    std::map<std::string, response_times> m_first_byte_times;
    retry_budget m_early_retry_budget;
    instant m_started{};
    /// Of requests that wait for this VM to know enough to serve them.
    std::set<std::shared_ptr<async_event>> m_startup_waiters;
    std::size_t m_active_requests = 0;
    std::uint64_t m_random_value = 0;
    bool m_draining = false;
};

} // namespace pepperturn
