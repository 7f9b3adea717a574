// SPDX-License-Identifier: BSL-1.0
/// \file
/// Inputs (events) and outputs (commands) of the decision core. Both are
/// plain values, so that any driver can run the core: the daemon, a test with
/// a random history, a simulation on a virtual clock.
#pragma once

#include "pepperturn/core/deployment.hpp"
#include "pepperturn/core/records.hpp"

#include <map>

namespace pepperturn {

// ---- events --------------------------------------------------------------

/// An entry VM submits a call. `m_adopted_report` is set if the entry VM used
/// a grant of an earlier owner. If it is unset, the entry VM holds no grant
/// for the call and declines any that may still arrive.
struct call_submitted
{
    call_request m_request;
    std::optional<call_report> m_adopted_report;
};

struct call_reported
{
    call_report m_report;
};

/// The caller disconnected. Its call continues if it was already sent.
struct caller_disconnected
{
    call_id m_call;
};

struct program_end_requested
{
    call_id m_call;
    std::string m_entry_vm;
    program_key m_key;
};

/// An operator or caller resolves a call of unknown outcome to `m_outcome`.
struct resolve_requested
{
    call_id m_call;
    std::string m_entry_vm;
    session_key m_session;
    std::uint64_t m_seq = 0;
    outcome m_outcome = outcome::unknown;
};

enum class create_status : std::uint8_t
{
    created,
    /// The key exists; `m_existing` holds it.
    exists,
    /// The manifest changed since the writer read it: it has been fenced.
    stale_manifest,
    /// No reply: the write may or may not have taken effect.
    unknown
};

struct entry_write_completed
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_seq = 0;
    create_status m_status = create_status::unknown;
    std::optional<batch> m_existing;
};

/// Everything needed to rebuild a partition.
struct log_image
{
    /// Entries up to this sequence number are included in `m_snapshot`.
    std::uint64_t m_covers = 0;
    std::uint64_t m_manifest_revision = 0;
    std::vector<record> m_snapshot;
    std::map<std::uint64_t, batch> m_entries;
};

/// The image is absent if the store did not reply.
struct log_read_completed
{
    std::uint32_t m_partition = 0;
    std::optional<log_image> m_image;
};

/// `m_manifest_revision` is valid if `m_status` is `created`.
struct snapshot_write_completed
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_covers = 0;
    create_status m_status = create_status::unknown;
    std::uint64_t m_manifest_revision = 0;
};

/// A runner's report of its load; it lags behind the actual load.
struct load_reported
{
    std::string m_runner;
    bool m_reachable = true;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint64_t m_queued_tokens = 0;
    /// Age of the figures when they arrived.
    milliseconds m_age{0};
};

struct cache_evicted
{
    std::string m_runner;
    std::string m_cache_key;
};

/// Cache events of a runner were lost. A restarted runner has an empty cache;
/// after a few lost evictions most of the estimated cache content is still
/// right (docs/design/scheduling.md has the figures).
struct cache_gap
{
    std::string m_runner;
    bool m_restarted = true;
};

struct release_completed
{
    std::string m_runner;
    program_key m_key;
    bool m_acknowledged = false;
};

/// The platform's list of VMs; it lags behind the actual state.
struct vms_listed
{
    std::vector<vm_info> m_vms;
    std::set<std::string> m_leaving_runners;
};

struct owner_hint
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_epoch = 0;
    friend bool operator==(const owner_hint&, const owner_hint&) = default;
};

struct heartbeat
{
    std::string m_vm;
    std::uint64_t m_incarnation = 0;
    std::vector<owner_hint> m_owned;
    std::uint64_t m_config_revision = 0;
    bool m_leaving = false;
    bool m_store_down = false;
    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct deployment_changed
{
    deployment m_deployment;
};

/// Planned stop: hand over all partitions.
struct stop_requested
{};

using event =
    std::variant<call_submitted, call_reported, caller_disconnected,
                 program_end_requested, resolve_requested,
                 entry_write_completed, log_read_completed,
                 snapshot_write_completed, load_reported, cache_evicted,
                 cache_gap, release_completed, vms_listed, heartbeat,
                 deployment_changed, stop_requested>;

// ---- commands ------------------------------------------------------------

struct send_decision
{
    std::string m_entry_vm;
    decision m_decision;
};

/// Request that the entry VM cancel an attempt at the engine.
struct cancel_attempt
{
    std::string m_entry_vm;
    call_id m_call;
    std::uint32_t m_attempt = 0;
};

/// Create log entry `m_seq` if it is absent and the manifest is unchanged.
struct create_entry
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_manifest_revision = 0;
    batch m_batch;
    /// Created after the ownership became unconfirmed, so that its commit
    /// confirms it.
    bool m_confirms = false;
};

/// Entries of several partitions, created in one transaction so that they
/// count as one write to the store.
struct create_entries
{
    std::vector<create_entry> m_entries;
};

struct read_log
{
    std::uint32_t m_partition = 0;
};

struct write_snapshot
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_covers = 0;
    std::uint64_t m_manifest_revision = 0;
    std::vector<record> m_records;
};

struct delete_entries
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_through = 0;
};

struct release_memory
{
    std::string m_runner;
    std::string m_address;
    program_key m_key;
    /// Fencing token; engines that check it reject older ones.
    std::uint64_t m_epoch = 0;
};

/// One line of the decision log.
struct log_line
{
    const char* m_event = "";
    std::vector<std::pair<const char*, std::string>> m_fields;
};

using command =
    std::variant<send_decision, cancel_attempt, create_entries, read_log,
                 write_snapshot, delete_entries, release_memory, log_line>;

using command_list = std::vector<command>;

} // namespace pepperturn
