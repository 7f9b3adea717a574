// SPDX-License-Identifier: BSL-1.0
/// \file
/// The request path of an edge VM: accepts callers' requests, selects runners,
/// retries where it is known that this cannot run a request twice, or where the
/// route allows it, and reports to the caller whether the request ran.
#pragma once

#include "pepperturn/forward/admission_queue.hpp"
#include "pepperturn/forward/caller_connection.hpp"
#include "pepperturn/forward/cold_runner_client.hpp"
#include "pepperturn/forward/crash_guard.hpp"
#include "pepperturn/forward/placement_client.hpp"
#include "pepperturn/forward/quota_client.hpp"
#include "pepperturn/forward/run_examiner.hpp"
#include "pepperturn/forward/stream_relay.hpp"
#include "pepperturn/forward/traffic_metrics.hpp"
#include "pepperturn/scheduling/early_retry.hpp"
#include "pepperturn/tenancy/identity.hpp"
#include "pepperturn/turns/turn_client.hpp"

#include <set>

namespace pepperturn {

/// What the proxy needs to admit requests of workspaces, where callers need
/// keys.
struct workspace_admission
{
    /// Time since the configuration was last confirmed to be the newest.
    std::function<milliseconds()> m_config_age;
    staleness_limits m_staleness_limits;
    /// Null: no rate limits are enforced.
    quota_client* m_quota = nullptr;
};

/// HTTP proxy between callers and runners.
class proxy
{
public:
    proxy(asio::io_context& io, const clock& time, wire_names names,
          std::string availability_zone, turn_client& turns);

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);

    /// Puts a newer configuration in force.
    /// \returns false if it is not newer than the one in force
    /// \param revision of the configuration in the platform's store
    bool apply_config(routing_config config, std::uint64_t revision = 0);
    /// Until this is called, every configuration is treated as fresh and no
    /// rate limits are enforced.
    void enable_workspace_admission(workspace_admission admission);
    /// Requests placements from the placement service through \p client; until
    /// this is called, this VM selects engines locally.
    void set_placement_client(placement_client& client);
    /// Whether the configuration in force requires callers to present keys.
    [[nodiscard]] bool requires_keys() const
    {
        return m_config && m_config->m_directory;
    }
    /// Replaces the list of runners.
    void set_runners(const std::vector<runner_info>& runners);
    void apply_runner_changes(const std::vector<runner_change>& changes);
    /// Sends no further requests to the runners of \p zones.
    void evacuate(const std::vector<std::string>& zones);
    void set_zones(const zone_map& zones)
    {
        m_zones = zones;
        m_runners.set_zones(zones);
    }
    /// Seeds the random values that spread requests over runners. VMs with the
    /// same seed make the same choices, so each VM needs its own.
    void set_random_seed(std::uint64_t seed);
    /// Counts calls to cold runners together with other VMs; until this is
    /// called, no cold runner with a limit is used.
    void set_cold_client(cold_runner_client& client)
    {
        m_cold_client = &client;
    }
    /// \param memory_mb of the VM, in MiB, for this process; 0: unknown
    void set_memory_limit(std::uint32_t memory_mb)
    {
        m_memory.set_memory(memory_mb);
    }
    /// To be called some times a second: closes connections that are of no use.
    /// \returns whether much memory has been freed since this last did so
    [[nodiscard]] bool tick();
    /// Shares the descriptors of the process between callers and runners.
    /// \param descriptors that the process may have open
    /// \param per_address callers' connections from one address; 0: any
    void set_descriptor_limit(std::size_t descriptors, std::size_t per_address);
    [[nodiscard]] const buffer_budget& buffered() const
    {
        return *m_memory.budget();
    }
    /// Bounds the runners that end under one request.
    [[nodiscard]] crash_guard& crashes()
    {
        return m_crashes;
    }
    /// Takes over what other VMs report of requests that end runners.
    void learn_suspects(const std::vector<suspect>& rows)
    {
        m_examiner.learn(rows);
    }
    [[nodiscard]] bool has_config() const
    {
        return m_config != nullptr;
    }

    /// From now on, every response closes its connection.
    void begin_drain();
    void stop_accepting();
    void close_idle();
    [[nodiscard]] std::size_t active_requests() const
    {
        return m_active_requests;
    }
    /// What would be cut if this VM ended now.
    [[nodiscard]] unfinished_requests unfinished() const;
    [[nodiscard]] const traffic_metrics& metrics() const
    {
        return m_metrics;
    }
    /// All metrics for operators, one `name value` a line.
    [[nodiscard]] std::string metrics_text() const;
    [[nodiscard]] std::uint64_t upstream_connections() const
    {
        return m_pool.opened();
    }

private:
    /// A placement request that has not been replied to yet.
    struct pending_placement
    {
        explicit pending_placement(asio::io_context& io) : m_completion(io) {}
        async_event m_completion;
        bool m_done = false;
        /// The call has ended: the placement is released when it arrives.
        bool m_abandoned = false;
        placement_result m_grant;
    };
    /// What is known of runners that ended under one request.
    struct crash_state
    {
        /// The current attempt.
        guarded_attempt m_attempt;
        /// It is reserved in the request's crash ledger.
        bool m_claimed = false;
        /// It was sent beyond the bound.
        bool m_trial = false;
        instant m_begun_at{};
        /// An end could not be recorded, so that other VMs may not know of it.
        bool m_unrecorded = false;
        /// Why it was not sent again; empty: it may be.
        std::string m_refusal;
    };
    /// State of one request from its arrival to its response.
    struct call
    {
        caller_request m_request;
        request_fields m_fields;
        /// See \ref fingerprint_of.
        std::uint64_t m_fingerprint = 0;
        /// Accounts for the bytes that are buffered for it.
        std::shared_ptr<buffer_account> m_buffered;
        std::shared_ptr<const routing_config> m_config;
        const route* m_route = nullptr;
        /// The workspace it belongs to, where callers need keys; null: none.
        const workspace* m_workspace = nullptr;
        std::uint64_t m_config_revision = 0;
        /// Permission to run once under the workspace's rate limit.
        quota_grant m_quota_grant;
        /// Number of attempts that may have run.
        unsigned m_possible_runs = 0;
        instant m_arrived{};
        instant m_deadline{};
        std::shared_ptr<abort_signal> m_aborter;
        bool m_keep_alive = true;
        /// Body for the runner: the turn history, then the request's body.
        std::string m_body;
        std::string m_preferred_runner;
        /// Earlier calls of its program have been answered already.
        bool m_continues_program = false;
        /// It occupies a slot of the engine admission queue.
        bool m_holds_gate_slot = false;
        /// Requested before it is known whether the call may run; null: not
        /// requested.
        std::shared_ptr<pending_placement> m_pending_placement;
        /// Its reserved engine slot.
        placement_result m_placement;
        /// The end of that placement has not been reported yet.
        bool m_placement_unreported = false;
        begin_request m_begin;
        /// The turns that it continues from, its parent first.
        std::vector<id_key> m_ancestors;
        bool m_budget_reserved = false;
        std::uint32_t m_tokens_per_event = 1;
        std::optional<std::uint32_t> m_urgency;
        unsigned m_attempts = 0;
        /// An attempt is under way.
        bool m_attempting = false;
        /// A stream was to go on at another runner, and none took it.
        bool m_no_further_runner = false;
        /// The storage VMs did not store the turn.
        bool m_not_stored = false;
        /// Why the next attempt is made, for the log.
        std::string m_attempt_cause = "first";
        crash_state m_crash;
        std::string m_runner;
        std::string m_reason;
    };
    /// Runners that may refuse one request before the proxy refuses it; each
    /// costs a round trip.
    static constexpr unsigned max_refusals = 4;

    /// Progress of a request over its attempts.
    struct attempt_progress
    {
        unsigned m_possible_runs = 0;
        unsigned m_refusals = 0;
        /// Cold runners that were not allowed a further call.
        unsigned m_cold_denials = 0;
        /// The current attempt may be followed by another even if it may have
        /// run.
        bool m_may_retry = false;
        std::optional<milliseconds> m_retry_after;
        /// A runner's error response, used if no other runner succeeds.
        std::optional<upstream_response> m_fallback_response;
    };
    /// A request to the owners of a rate limit that is not replied to yet.
    struct pending_quota
    {
        explicit pending_quota(asio::io_context& io) : m_completion(io) {}
        async_event m_completion;
        bool m_done = false;
        /// The call has ended: a grant is returned when it arrives.
        bool m_abandoned = false;
        quota_grant m_grant;
    };
    struct call_result
    {
        /// Empty: a stream that has been sent or aborted already.
        std::optional<upstream_response> m_response;
        /// The response was aborted; the connection must be closed.
        bool m_aborted = false;
    };

    /// Closes idle connections to runners that were removed, are draining or
    /// were restarted.
    /// \param restarted ids of restarted runners
    void close_unused_connections(const std::vector<std::string>& restarted);
    task<> accept_callers();
    /// Of the caller; empty unless addresses are counted.
    [[nodiscard]] std::string address_of(const tcp::socket& socket) const;
    task<> serve_connection(std::shared_ptr<caller_connection> caller);
    task<> refuse_unread_request(std::shared_ptr<caller_connection> caller,
                                 read_result read);
    task<bool> serve_request(std::shared_ptr<caller_connection> caller,
                             caller_request request);
    /// Waits for \p ready within the first moments after this VM's start.
    task<> wait_for_startup(std::shared_ptr<call> work,
                            std::function<bool()> ready);
    /// How long a request waits for state that this VM has not received yet
    /// after its start.
    [[nodiscard]] instant startup_deadline(const call& work) const;
    task<call_result> handle(std::shared_ptr<caller_connection> caller,
                             std::shared_ptr<call> work);
    task<std::optional<upstream_response>>
    begin_turn(std::shared_ptr<call> work);
    /// Identifies the workspace of a request.
    /// \returns a response if the request is refused
    [[nodiscard]] std::optional<upstream_response> admit_caller(call& work);
    /// Whether this VM has received the age of its configuration.
    [[nodiscard]] bool config_age_known() const;
    /// Whether this VM may still act on the configuration that the request
    /// arrived under.
    [[nodiscard]] bool config_is_fresh(const call& work) const;
    /// Requests permission to run under the workspace's rate limit,
    /// concurrently with the other preparations of the call; null: none is
    /// needed.
    [[nodiscard]] std::shared_ptr<pending_quota>
    request_quota(const std::shared_ptr<call>& work);
    /// \returns a response if the request is refused
    task<std::optional<upstream_response>>
    await_quota(std::shared_ptr<call> work,
                std::shared_ptr<pending_quota> pending);
    /// Requests permission to run a request once more, on another runner.
    task<bool> request_retry_quota(std::shared_ptr<call> work);
    void release_quota(const call& work);
    /// Called if the request ended without waiting for its quota.
    static void abandon_quota(call& work,
                              const std::shared_ptr<pending_quota>& pending);
    /// Counts the outcome of a request for its workspace.
    void count_workspace(const call& work, unsigned status, bool aborted);
    [[nodiscard]] upstream_response refuse_stale_config(call& work);
    /// Finds the request's route in the configuration in force now.
    void look_up_route(call& work);
    /// The same, waiting for a configuration if this VM has just started.
    /// \returns a refusal if there is no route
    task<std::optional<upstream_response>>
    choose_route(std::shared_ptr<call> work);
    /// Refuses a request that matches no route: for good only if the
    /// configuration is known to be current.
    [[nodiscard]] upstream_response refuse_unknown_route(call& work);
    /// The call's rank where calls queue for engines.
    [[nodiscard]] call_rank rank_of(const call& work) const;
    /// Waits for a slot of the local engine admission queue.
    /// \returns a result if the request is refused
    task<std::optional<call_result>> wait_for_gate(std::shared_ptr<call> work);
    /// Requests a placement concurrently with the other preparations of the
    /// call.
    void request_placement(const std::shared_ptr<call>& work);
    [[nodiscard]] placement_request
    make_placement_request(const call& work, const std::string& service);
    /// Waits for the placement that was requested, or requests one now.
    /// \returns a result if the request is refused
    task<std::optional<call_result>>
    await_placement(std::shared_ptr<call> work,
                    std::shared_ptr<runner_query> choice);
    /// Requests a placement on an engine other than those that refused the
    /// call.
    task<> request_other_placement(std::shared_ptr<call> work,
                                   std::shared_ptr<runner_query> choice);
    /// The engine of the placement, if this VM can use it; null: it selects one
    /// itself.
    [[nodiscard]] const runner_row*
    placed_runner(const call& work, const runner_query& choice) const;
    /// Requests permission to send a call to \p target if that is cold; other
    /// runners need none.
    task<bool> may_use_cold_runner(std::shared_ptr<call> work,
                                   runner_row target);
    /// Reports to the placement service how the attempt ended.
    /// \param events received from the engine
    void report_placement(call& work, const attempt_result& result,
                          std::uint32_t events);
    /// Releases a placement that was not used.
    void release_placement(call& work);
    task<call_result> forward(std::shared_ptr<caller_connection> caller,
                              std::shared_ptr<call> work);
    /// Events beyond which a stream is none that the caller asked for.
    [[nodiscard]] static std::uint32_t max_events_of(const call& work);
    /// Makes the sink that forwards a stream to the caller.
    [[nodiscard]] stream_sink
    make_sink(const std::shared_ptr<caller_connection>& caller,
              const std::shared_ptr<call>& work,
              const std::shared_ptr<stream_relay>& relay);
    task<call_result> finish_stream(std::shared_ptr<caller_connection> caller,
                                    std::shared_ptr<call> work,
                                    const attempt_result& result,
                                    stream_relay& relay);
    task<> watch_deadline(std::shared_ptr<call> work);
    /// Accounts for \p bytes of the history of a turn.
    /// \returns false if there is no memory for them
    [[nodiscard]] static bool holds_history(call& work, std::uint64_t bytes);
    /// Builds the prompt of a turn from its history, oldest first, and input.
    static void take_history(call& work, std::vector<turn_record> history);
    void settle(call& work, std::uint32_t tokens);
    /// Where the call's prompt is cached after it ran.
    [[nodiscard]] prompt_location locate_prompt(const call& work) const;
    [[nodiscard]] std::string choose_service(const call& work) const;
    [[nodiscard]] runner_query make_runner_choice(call& work) const;
    /// Whether the request may be sent to another runner even if this one may
    /// have run it.
    [[nodiscard]] static bool may_retry(const call& work,
                                        const attempt_progress& state);
    /// Time-out for the first byte before another runner is tried, with an
    /// early retry reserved in the budget; empty: no early retry, only the
    /// attempt's own deadline applies.
    [[nodiscard]] std::optional<milliseconds>
    reserve_early_retry(const route& route);
    /// \param wait as \ref reserve_early_retry returned it
    void record_early_retry(const route& route,
                            std::optional<milliseconds> wait,
                            const attempt_result& result);
    /// \param last_event id of the last event that the caller has received
    task<attempt_result> attempt(std::shared_ptr<call> work, runner_row target,
                                 bool may_retry,
                                 std::optional<std::uint64_t> last_event,
                                 stream_sink sink);
    /// Refuses a request under which too many runners have ended.
    /// \returns a response if the request is refused
    task<std::optional<upstream_response>>
    refuse_suspect(std::shared_ptr<call> work);
    /// The runner for the next attempt: not one that works on another suspect,
    /// if there are others, so that the two can be told apart.
    [[nodiscard]] const runner_row*
    choose_apart(const call& work, const runner_query& choice) const;
    /// Asks for permission to send a request that has ended runners.
    /// \returns false if it must not be sent to \p target
    task<bool> claim_run(std::shared_ptr<call> work, runner_row target);
    /// Settles what the attempt's end means for the bound on ended runners.
    task<> settle_run(std::shared_ptr<call> work, runner_row target,
                      const attempt_result& result);
    /// Decides what follows from the end of an attempt.
    /// \returns empty to try another runner
    [[nodiscard]] std::optional<call_result>
    evaluate_attempt(call& work, attempt_progress& state,
                     attempt_result result);
    /// The result when no further attempt is made or is possible.
    /// \param timed_out the call was aborted, or must not be sent any more
    [[nodiscard]] call_result finish_without_response(call& work,
                                                      attempt_progress& state,
                                                      bool timed_out);
    /// The result when this VM lacks the memory to buffer a response.
    [[nodiscard]] call_result refuse_for_memory(call& work,
                                                attempt_progress& state);
    [[nodiscard]] upstream_response
    refuse(call& work, const std::string& reason, milliseconds retry_after);
    [[nodiscard]] upstream_response fail(call& work, unsigned status,
                                         const std::string& reason);
    void log_request_end(const call& work, unsigned status);
    /// Tells why a request is sent to no runner, or to no further one.
    /// \param denied it had time left and was not to go on
    void log_no_runner(call& work, const runner_query& choice,
                       const attempt_progress& state, bool denied);
    /// Tells why a turn was not granted.
    void log_turn_refused(const call& work, const begin_evidence& evidence);
    [[nodiscard]] static answer_facts facts_of(const caller_connection& caller,
                                               const call& work);
    /// Tells why a request that was read whole was not answered completely.
    void log_unanswered(const caller_connection& caller, const call& work);
    /// Tells why a connection ended between requests, or inside one.
    void log_connection_end(const read_result& read);

    asio::io_context& m_io;
    const clock& m_time;
    wire_names m_names;
    std::string m_availability_zone;
    turn_client& m_turns;
    tcp::acceptor m_acceptor;
    /// Since memory was last returned.
    std::size_t m_closed_runner_connections = 0;
    bool m_memory_freed = false;
    memory_guard m_memory;
    caller_table m_caller_table;
    upstream_pool m_pool;
    runner_table m_runners;
    crash_guard m_crashes;
    run_examiner m_examiner;
    zone_map m_zones;
    admission_queue m_gate;
    workspace_admission m_admission;
    /// Null: cold runners with a limit are not used.
    cold_runner_client* m_cold_client = nullptr;
    /// Null: this VM selects engines locally.
    placement_client* m_placement_client = nullptr;
    std::shared_ptr<const routing_config> m_config;
    std::uint64_t m_config_revision = 0;
    std::set<std::shared_ptr<caller_connection>> m_callers;
    /// Requests under way.
    std::map<const caller_connection*, std::weak_ptr<const call>> m_calls;
    traffic_metrics m_metrics;
    /// Times to the first byte, of routes whose calls are idempotent.
    std::map<std::string, response_times> m_first_byte_times;
    retry_budget m_early_retry_budget;
    instant m_started{};
    /// When draining began.
    std::optional<instant> m_drain_began;
    /// Events of requests that wait for this VM to receive the state it needs
    /// to serve them.
    std::set<std::shared_ptr<async_event>> m_startup_waiters;
    std::size_t m_active_requests = 0;
    std::uint64_t m_random_value = 0;
    bool m_draining = false;
};

} // namespace pepperturn
