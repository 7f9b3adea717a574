// SPDX-License-Identifier: BSL-1.0
/// \file
/// The tables of entities. Rows are plain structs; the systems in
/// systems.hpp are the only code that changes them.
#pragma once

#include "pepperturn/core/events.hpp"
#include "pepperturn/policy/policy.hpp"

#include <deque>
#include <random>
#include <unordered_map>

namespace pepperturn {

/// A call id that a result is to be sent to, and its entry VM.
struct waiter
{
    std::string m_entry_vm;
    call_id m_call;
};

/// What the owner stores about one position in a session.
struct turn_row
{
    std::uint64_t m_seq = 0;
    std::uint64_t m_digest = 0;
    call_id m_call;
    std::string m_idempotency_key;
    call_kind m_kind = call_kind::chat;
    std::vector<message> m_messages;
    answer m_answer;
    bool m_repeatable = true;
    /// The log has a `started` record but no `ended` record.
    bool m_dangling = false;
};

/// Estimate that a runner has cached a session's prefix.
struct cached_prefix
{
    std::uint32_t m_tokens = 0;
    instant m_at{};
    /// runner_row::m_sent_tokens at that time.
    std::uint64_t m_sent_mark = 0;
};

/// A call that an earlier owner granted before it handed over.
struct expected_call
{
    call_id m_call;
    std::uint64_t m_digest = 0;
    std::vector<waiter> m_waiters;
};

struct session_row
{
    std::uint64_t m_next_seq = 1;
    std::map<std::uint64_t, turn_row> m_turns;
    /// Calls that have arrived, by seq.
    std::map<std::uint64_t, call_id> m_calls;
    std::map<std::uint64_t, expected_call> m_expected;
    /// The call at m_next_seq, once started.
    call_id m_active;
    /// Tokens of the complete history, as counted by the engines.
    std::uint32_t m_history_tokens = 0;
    std::map<std::string, cached_prefix> m_prefixes;
    std::string m_last_runner;
};

struct program_row
{
    std::uint64_t m_budget = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reserved = 0;
    /// Reservation that the store has confirmed.
    std::uint64_t m_committed_reserved = 0;
    /// Reserved by calls that are in progress.
    std::uint64_t m_outstanding = 0;
    std::uint64_t m_opened_epoch = 0;
    bool m_recorded = false;
    bool m_ending = false;
    bool m_ended = false;
    std::set<std::string> m_holders;
    std::map<std::string, instant> m_release_due;
    std::map<std::string, session_row> m_sessions;
    instant m_last_active{};
    std::uint32_t m_live_calls = 0;
    std::uint64_t m_turn_count = 0;
    /// Engine time that the whole program has received, in seconds.
    double m_attained = 0;
    /// Entry VMs and calls to be informed once the end is committed.
    std::vector<std::pair<std::string, call_id>> m_end_waiters;
};

enum class call_state : std::uint8_t
{
    /// Waits for the session's earlier calls.
    waiting_turn,
    /// Waits for its program or reservation to be committed.
    reserving,
    /// Waits for a runner.
    ready,
    /// Waits for its `started` record.
    starting,
    granted,
    /// Waits for its `ended` record.
    ending
};

[[nodiscard]] const char* to_string(call_state value);

/// One line of the output of `explain`.
struct trace_step
{
    instant m_at{};
    std::string m_text;
};

struct call_row
{
    call_request m_request;
    std::uint64_t m_digest = 0;
    std::uint64_t m_seq = 0;
    std::uint32_t m_partition = 0;
    call_state m_state = call_state::waiting_turn;
    instant m_arrived{};
    instant m_ready_at{};
    instant m_granted_at{};
    instant m_deadline{};
    std::uint32_t m_attempt = 0;
    std::string m_runner;
    /// Runners that failed this call.
    std::set<std::string> m_excluded_runners;
    std::uint64_t m_cost_bound = 0;
    std::uint32_t m_prompt_tokens = 0;
    bool m_started = false;
    /// An attempt may have reached its runner: `not_run` is ruled out.
    bool m_may_have_run = false;
    int m_class = 0;
    std::int64_t m_order_key = 0;
    std::vector<waiter> m_waiters;
    bool m_answered_pending = false;
};

/// Action to run once a record is committed.
enum class commit_action : std::uint8_t
{
    none,
    claim_done,
    admit_call,
    grant_call,
    answer_call,
    end_program,
    handoff_done,
    answer_resolve
};

struct pending_record
{
    record m_record;
    commit_action m_action = commit_action::none;
    call_id m_call;
    std::string m_entry_vm;
    answer m_answer;
};

enum class partition_role : std::uint8_t
{
    idle,
    reading,
    claiming,
    owner,
    handing_off
};

[[nodiscard]] const char* to_string(partition_role value);

struct partition_row
{
    std::uint32_t m_id = 0;
    partition_role m_role = partition_role::idle;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next_seq = 1;
    std::uint64_t m_manifest_revision = 0;
    std::uint64_t m_covered = 0;
    std::deque<pending_record> m_pending;
    std::size_t m_pending_bytes = 0;
    std::vector<pending_record> m_in_flight;
    std::optional<create_entry> m_create;
    std::size_t m_create_bytes = 0;
    bool m_store_busy = false;
    instant m_retry_at{};
    std::optional<instant> m_failing_since;
    std::optional<write_snapshot> m_snapshot;
    bool m_snapshot_sent = false;
    std::string m_known_owner;
    std::uint64_t m_known_epoch = 0;
    std::string m_handoff_to;
    instant m_imbalanced_since{};
    /// From this time on, dangling calls become `unknown` if their entry VM
    /// has failed or restarted, or does not report them in time.
    instant m_dangling_due{};
    bool m_has_dangling = false;
    /// Another VM may have taken over: no call is granted until the store
    /// has committed one more entry of this owner.
    bool m_unconfirmed = false;
    bool m_has_expected = false;
    std::map<program_key, program_row> m_programs;
};

struct sent_attempt
{
    call_id m_call;
    instant m_sent{};
    /// Unset while in progress.
    std::optional<instant> m_ended;
    std::uint32_t m_prefill_tokens = 0;
    std::uint32_t m_decode_tokens = 0;
};

struct runner_row
{
    runner_info m_info;
    bool m_listed_leaving = false;
    bool m_reachable = true;
    instant m_backoff_until{};
    load_reported m_load;
    instant m_load_at{};
    std::deque<sent_attempt> m_attempts;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_sent_tokens = 0;
    /// Predicted time at which the prefill of all sent calls completes.
    instant m_prefill_free_at{};
    instant m_cache_reset_at{};
    /// Exponentially weighted output length of its calls, in tokens.
    double m_mean_output = 120;
};

struct vm_row
{
    vm_info m_info;
    bool m_listed = false;
    heartbeat m_heartbeat;
    std::optional<instant> m_last_received;
};

struct workspace_row
{
    std::uint32_t m_live = 0;
    std::uint32_t m_granted = 0;
};

struct core_counters
{
    std::uint64_t m_submitted = 0;
    std::uint64_t m_granted = 0;
    std::uint64_t m_ran = 0;
    std::uint64_t m_not_run = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_entries = 0;
    std::uint64_t m_records = 0;
    std::uint64_t m_takeovers = 0;
    std::uint64_t m_fenced = 0;
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_wasted_tokens = 0;
};

/// All rows of one VM.
struct core_state
{
    std::string m_self;
    std::uint64_t m_incarnation = 0;
    instant m_now{};
    instant m_started{};
    deployment m_deployment;
    policy m_policy;
    bool m_stopping = false;
    bool m_vms_listed = false;
    instant m_last_tick{};
    /// Set when this VM detects that it was paused: its information about
    /// runners may be outdated, so no call is sent until it has received a
    /// new list or a timeout passes.
    std::optional<instant> m_resumed_at;
    std::vector<partition_row> m_partitions;
    std::unordered_map<call_id, call_row> m_calls;
    std::map<std::string, runner_row> m_runners;
    /// Runner names by upstream.
    std::map<std::string, std::vector<std::string>> m_runners_by_upstream;
    /// Calls waiting for a runner: upstream -> (order key, arrival number).
    std::map<std::string,
             std::map<std::pair<std::int64_t, std::uint64_t>, call_id>>
        m_ready;
    std::map<std::string, vm_row> m_vms;
    std::unordered_map<std::string, workspace_row> m_workspaces;
    std::multimap<instant, call_id> m_deadlines;
    std::multimap<instant, std::pair<std::uint32_t, program_key>> m_idle_due;
    std::set<std::pair<std::uint32_t, program_key>> m_releasing;
    instant m_next_release{};
    std::pair<std::uint32_t, program_key> m_release_cursor;
    instant m_next_isolation_check{};
    instant m_next_ownership{};
    std::unordered_map<std::string, std::size_t> m_round_robin;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_nonce = 0;
    double m_write_tokens = 0;
    instant m_write_refill{};
    double m_retry_tokens = 10;
    bool m_store_down = false;
    instant m_next_slow_scan{};
    core_counters m_counters;
    std::mt19937_64 m_random;
    /// Traces of the most recent calls; m_trace_order has the oldest first.
    std::unordered_map<call_id, std::vector<trace_step>> m_traces;
    std::deque<call_id> m_trace_order;
};

} // namespace pepperturn
