// SPDX-License-Identifier: BSL-1.0
/// \file
/// The systems: free functions over the tables. Each reads the time from
/// core_state::m_now, updates rows and appends commands; none does I/O.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn::detail {

// ---- apply.cpp: the durable rows as a function of the log ----------------

/// Replays one record into the partition's rows.
void apply_record(core_state& state, partition_row& partition,
                  const record& entry);
/// The shortest list of records that rebuilds the partition's rows.
[[nodiscard]] std::vector<record>
snapshot_records(const partition_row& partition);
[[nodiscard]] program_record program_record_of(const program_key& key,
                                               const program_row& row);

// ---- partition_log.cpp: group commit, takeover, fencing -------------------

/// Applies a record to the rows and queues it for the next entry.
void append_record(core_state& state, partition_row& partition,
                   pending_record entry);
void on_entry_write_completed(core_state& state,
                              const entry_write_completed& answered,
                              command_list& out);
void on_log_read_completed(core_state& state,
                           const log_read_completed& answered,
                           command_list& out);
void on_snapshot_write_completed(core_state& state,
                                 const snapshot_write_completed& answered,
                                 command_list& out);
/// Writes pending records, within the store's write rate limit.
void run_log_writer(core_state& state, command_list& out);
/// Drops every row of a partition that this VM no longer owns.
void drop_partition(core_state& state, partition_row& partition,
                    command_list& out);

// ---- membership.cpp: liveness of VMs, partition owners
// -------------------------

void on_vms_listed(core_state& state, const vms_listed& listed);
void on_heartbeat(core_state& state, const heartbeat& beat, command_list& out);
/// Detects that this VM has just been paused.
void detect_pause(core_state& state, command_list& out);
[[nodiscard]] bool vm_alive(const core_state& state, const std::string& vm);
/// Rendezvous choice among live VMs that are not leaving.
[[nodiscard]] std::string preferred_owner(const core_state& state,
                                          std::uint32_t partition);
/// The VM whose heartbeats announce that it owns the partition, the one of the
/// newest epoch if there are several; empty if none does.
[[nodiscard]] std::string owner_by_heartbeats(const core_state& state,
                                              std::uint32_t partition);
/// The VM to send requests about a program to: its owner as far as this VM
/// knows, else the preferred owner; empty if no VM is known.
[[nodiscard]] std::string likely_owner(const core_state& state,
                                       const program_key& key);
/// Claims partitions without an owner; hands over those that another VM
/// should own.
void run_ownership(core_state& state, command_list& out);

// ---- arrival.cpp: order of a session, duplicates ---------------------------

void on_call_submitted(core_state& state, const call_submitted& submitted,
                       command_list& out);
/// Starts the session's next call if it has arrived.
void start_next_call(core_state& state, partition_row& partition,
                     const session_key& key, command_list& out);

// ---- completion.cpp: reports, retries, final results ------------------------

void on_call_reported(core_state& state, const call_report& report,
                      command_list& out);
void on_caller_disconnected(core_state& state, const call_id& call,
                            command_list& out);
void count_outcome(core_state& state, outcome verdict);
/// Sends the final result to all waiters and starts the session's next call.
void finish_call(core_state& state, call_row& call, answer reply,
                 command_list& out);
/// Ends a call that nobody can send any more with `not_run`.
void finish_not_run(core_state& state, call_row& call, int status,
                    const std::string& reason, milliseconds retry_after,
                    command_list& out);
/// Ends a granted call whose report will not arrive.
void end_without_report(core_state& state, call_row& call,
                        const std::string& reason, command_list& out);
void redirect_call(core_state& state, call_row& call, command_list& out);

// ---- commits.cpp
// -------------------------------------------------------------

/// Runs the commit action of a committed record.
void on_committed(core_state& state, partition_row& partition,
                  const pending_record& entry, command_list& out);

// ---- upkeep.cpp: timers and periodic checks
// ---------------------------

/// Ends calls whose deadline has passed.
void run_deadlines(core_state& state, command_list& out);
/// Checks dangling calls, idle programs, lost entry VMs and the store.
void run_slow_scan(core_state& state, command_list& out);

// ---- program_end.cpp
// ----------------------------------------------------------

void on_program_end(core_state& state, const program_end_requested& request,
                    command_list& out);
void on_resolve(core_state& state, const resolve_requested& request,
                command_list& out);

// ---- budget.cpp -------------------------------------------------------------

enum class reservation : std::uint8_t
{
    ready,
    needs_commit,
    refused
};

/// The most that a chat call can use as the next one of its session.
[[nodiscard]] token_usage usage_bound(const call_request& request,
                                      const session_row& session);
/// Sets the call's cost bound and reserves it from the root's budget.
[[nodiscard]] reservation
reserve_budget(core_state& state, partition_row& partition, call_row& call);
/// Releases the call's reservation and charges \p cost.
void settle_budget(core_state& state, partition_row& partition, call_row& call,
                   std::uint64_t cost);

// ---- routing.cpp
// --------------------------------------------------------------

/// Queues a call for a runner in policy order.
void enqueue_ready(core_state& state, call_row& call, command_list& out);
void dequeue_ready(core_state& state, const call_row& call);
/// Assigns ready calls to runners.
void run_routing(core_state& state, command_list& out);
/// Sends a grant to the call's entry VM.
void send_grant(core_state& state, call_row& call, command_list& out);
void record_attempt_end(core_state& state, const call_row& call,
                        const call_report* report);
void on_load_reported(core_state& state, const load_reported& report);
void on_cache_evicted(core_state& state, const cache_evicted& evicted);
void on_cache_gap(core_state& state, const cache_gap& gap);
// ---- memory_release.cpp -----------------------------------------------------

void run_memory_release(core_state& state, command_list& out);
void on_release_completed(core_state& state, const release_completed& answered);

// ---- shared helpers ---------------------------------------------------------

[[nodiscard]] program_row* find_program(partition_row& partition,
                                        const program_key& key);
[[nodiscard]] program_row* find_root(partition_row& partition,
                                     const program_key& key);
[[nodiscard]] session_row* find_session(partition_row& partition,
                                        const session_key& key);
[[nodiscard]] call_row* find_call(core_state& state, const call_id& id);
[[nodiscard]] policy_facts facts_of(core_state& state, const call_row& call);
void trace(core_state& state, const call_id& call, std::string text);
void log_decision(command_list& out, const char* event,
                  std::vector<std::pair<const char*, std::string>> fields);
[[nodiscard]] std::string format_seconds(double value);

} // namespace pepperturn::detail
