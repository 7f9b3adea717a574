// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the decision core is told (events) and what it asks for (commands).
/// Both are plain values, so that any driver can run the core: the daemon,
/// a test with a random history, an experiment on a virtual clock.
#pragma once

#include "pepperturn/core/deployment.hpp"
#include "pepperturn/core/records.hpp"

#include <map>

namespace pepperturn {

// ---- events --------------------------------------------------------------

/// An entry VM brings a call. `m_adopted` is set if it used a grant of an
/// earlier owner; without it the entry VM holds no grant for the call and
/// refuses any that may still arrive.
struct call_submitted
{
    call_request m_request;
    std::optional<call_report> m_adopted_report;
};

struct call_reported
{
    call_report m_report;
};

/// A caller gave up. Its call goes on if it was sent.
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

/// `m_outcome` is what an operator found out about an unknown call.
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
    /// Entries were compacted past this writer: it has been fenced.
    stale_manifest,
    /// No answer: the write may or may not have taken effect.
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
    /// Entries up to this are inside `m_snapshot`.
    std::uint64_t m_covers = 0;
    std::uint64_t m_manifest_revision = 0;
    std::vector<record> m_snapshot;
    std::map<std::uint64_t, batch> m_entries;
};

/// Absent image: the store did not answer.
struct log_read_completed
{
    std::uint32_t m_partition = 0;
    std::optional<log_image> m_image;
};

/// `m_manifest_revision` is valid if `m_written`.
struct snapshot_write_completed
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_covers = 0;
    create_status m_status = create_status::unknown;
    std::uint64_t m_manifest_revision = 0;
};

/// A runner's own, lagging account of its load.
struct load_reported
{
    std::string m_runner;
    bool m_reachable = true;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint64_t m_queued_tokens = 0;
    /// How old the figures were when they arrived.
    milliseconds m_age{0};
};

struct cache_evicted
{
    std::string m_runner;
    std::string m_cache_key;
};

/// Cache events of a runner were lost. A restarted runner holds nothing; a
/// few lost evictions leave most of what is believed right, see
/// docs/design/scheduling.md for the figures.
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

/// The platform's lagging list.
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

/// Planned stop: hand everything over.
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

/// Ask the entry VM to cancel an attempt at the engine.
struct cancel_attempt
{
    std::string m_entry_vm;
    call_id m_call;
    std::uint32_t m_attempt = 0;
};

/// Create log entry `m_seq` if it is absent and no snapshot was taken since.
struct create_entry
{
    std::uint32_t m_partition = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_manifest_revision = 0;
    batch m_batch;
    /// Formed after the owner began to doubt that it still is the owner.
    bool m_confirms = false;
};

/// Entries of several partitions, made in one transaction so that a VM pays
/// the store one write for all of them.
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
    /// Fencing number; engines that check refuse older ones.
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
