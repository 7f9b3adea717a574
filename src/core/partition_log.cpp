// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/hash.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

constexpr milliseconds retry_delay{100};
constexpr std::size_t record_overhead = 200;
/// etcd allows 128 operations per transaction by default (--max-txn-ops); each
/// entry needs two compares.
constexpr std::size_t max_entries = 48;

std::size_t size_of(const record& entry)
{
    std::size_t bytes = record_overhead;
    if (const auto* ended = std::get_if<ended_record>(&entry))
    {
        bytes += ended->m_answer.m_body.size();
        for (const auto& part : ended->m_messages)
            bytes += part.m_content.size() + part.m_role.size();
    }
    return bytes;
}

bool writes_entries(const partition_row& partition)
{
    return partition.m_role == partition_role::owner ||
           partition.m_role == partition_role::claiming ||
           partition.m_role == partition_role::handing_off;
}

void refill_write_tokens(core_state& state)
{
    const auto& limits = state.m_deployment.m_limits;
    const double elapsed = to_seconds(state.m_now - state.m_write_refill);
    state.m_write_refill = state.m_now;
    state.m_write_tokens =
        std::min(limits.m_write_burst,
                 state.m_write_tokens + elapsed * limits.m_writes_per_second);
}

/// Moves pending records into the next entry, up to the size limit.
void form_batch(core_state& state, partition_row& partition)
{
    const auto& limits = state.m_deployment.m_limits;
    create_entry create;
    create.m_partition = partition.m_id;
    create.m_seq = partition.m_next_seq;
    create.m_manifest_revision = partition.m_manifest_revision;
    // Random numbers alone may repeat: VMs can be configured with one seed.
    create.m_batch.m_nonce =
        hash_combine(state.m_incarnation, state.m_random());
    create.m_confirms = partition.m_unconfirmed;
    create.m_batch.m_epoch = partition.m_epoch;
    std::size_t bytes = 0;
    while (!partition.m_pending.empty())
    {
        const std::size_t size = size_of(partition.m_pending.front().m_record);
        if (bytes > 0 && bytes + size > limits.m_batch_bytes)
            break;
        bytes += size;
        partition.m_pending_bytes -= std::min(partition.m_pending_bytes, size);
        auto& entry = partition.m_pending.front();
        create.m_batch.m_records.push_back(entry.m_record);
        partition.m_in_flight.push_back(std::move(entry));
        partition.m_pending.pop_front();
    }
    partition.m_create = std::move(create);
    partition.m_create_bytes = bytes;
    // Only now do the rows equal the log through this entry; later they
    // include records that are not in it.
    const bool due =
        partition.m_next_seq - partition.m_covered >= limits.m_snapshot_entries;
    if (due && partition.m_pending.empty() && !partition.m_snapshot &&
        partition.m_role == partition_role::owner)
    {
        partition.m_snapshot = write_snapshot{
            partition.m_id, partition.m_next_seq, partition.m_manifest_revision,
            snapshot_records(partition)};
    }
}

void record_store_failure(core_state& state, partition_row& partition)
{
    if (!partition.m_failing_since)
        partition.m_failing_since = state.m_now;
    partition.m_retry_at = state.m_now + retry_delay;
}

void on_batch_committed(core_state& state, partition_row& partition,
                        command_list& out)
{
    // An entry that was in flight when the ownership became unconfirmed does
    // not confirm it.
    if (partition.m_create->m_confirms)
        partition.m_unconfirmed = false;
    partition.m_failing_since.reset();
    partition.m_next_seq += 1;
    partition.m_create.reset();
    state.m_counters.m_entries += 1;
    state.m_counters.m_records += partition.m_in_flight.size();
    const auto done = std::move(partition.m_in_flight);
    partition.m_in_flight.clear();
    for (const auto& entry : done)
        on_committed(state, partition, entry, out);
}

void on_fenced(core_state& state, partition_row& partition,
               const std::optional<batch>& existing, command_list& out)
{
    std::string by;
    if (existing && !existing->m_records.empty())
    {
        const auto* takeover =
            std::get_if<takeover_record>(&existing->m_records.front());
        if (takeover != nullptr)
            by = takeover->m_vm;
    }
    state.m_counters.m_fenced += 1;
    log_decision(out, "partition_fenced",
                 {{"partition", std::to_string(partition.m_id)},
                  {"epoch", std::to_string(partition.m_epoch)},
                  {"role", to_string(partition.m_role)},
                  {"by", by}});
    const std::uint64_t epoch =
        existing ? existing->m_epoch : partition.m_epoch;
    drop_partition(state, partition, out);
    partition.m_known_owner = by;
    partition.m_known_epoch = std::max(partition.m_known_epoch, epoch);
}

/// Rebuilds the rows; false if an entry is missing, which happens when another
/// owner compacts the log between this VM's reads.
bool replay(core_state& state, partition_row& partition, const log_image& image)
{
    partition.m_programs.clear();
    partition.m_epoch = 0;
    for (const auto& entry : image.m_snapshot)
        apply_record(state, partition, entry);
    std::uint64_t next = image.m_covers + 1;
    for (const auto& [seq, entries] : image.m_entries)
    {
        if (seq < next)
            continue;
        if (seq != next)
            return false;
        for (const auto& entry : entries.m_records)
            apply_record(state, partition, entry);
        next += 1;
    }
    partition.m_next_seq = next;
    partition.m_covered = image.m_covers;
    partition.m_manifest_revision = image.m_manifest_revision;
    return true;
}

void clear_rows(core_state& state, partition_row& partition)
{
    partition.m_programs.clear();
    std::erase_if(state.m_releasing, [&](const auto& entry) {
        return entry.first == partition.m_id;
    });
}

} // namespace

void append_record(core_state& state, partition_row& partition,
                   pending_record entry)
{
    apply_record(state, partition, entry.m_record);
    partition.m_pending_bytes += size_of(entry.m_record);
    partition.m_pending.push_back(std::move(entry));
}

void drop_partition(core_state& state, partition_row& partition,
                    command_list& out)
{
    partition.m_role = partition_role::idle;
    partition.m_pending.clear();
    partition.m_pending_bytes = 0;
    partition.m_in_flight.clear();
    partition.m_create.reset();
    partition.m_snapshot.reset();
    partition.m_snapshot_sent = false;
    partition.m_store_busy = false;
    partition.m_has_dangling = false;
    partition.m_unconfirmed = false;
    partition.m_failing_since.reset();
    std::vector<call_id> calls;
    for (const auto& [id, call] : state.m_calls)
    {
        if (call.m_partition == partition.m_id)
            calls.push_back(id);
    }
    for (const auto& id : calls)
        redirect_call(state, state.m_calls.at(id), out);
    clear_rows(state, partition);
}

void on_entry_write_completed(core_state& state,
                              const entry_write_completed& answered,
                              command_list& out)
{
    auto& partition = state.m_partitions[answered.m_partition];
    const bool expected = partition.m_create && partition.m_store_busy &&
                          partition.m_create->m_seq == answered.m_seq;
    if (!expected)
        return;
    partition.m_store_busy = false;
    switch (answered.m_status)
    {
    case create_status::created:
        on_batch_committed(state, partition, out);
        return;
    case create_status::exists:
        // This VM's own write whose reply was lost, or a newer owner's.
        if (answered.m_existing &&
            answered.m_existing->m_nonce == partition.m_create->m_batch.m_nonce)
            on_batch_committed(state, partition, out);
        else
            on_fenced(state, partition, answered.m_existing, out);
        return;
    case create_status::stale_manifest:
        on_fenced(state, partition, std::nullopt, out);
        return;
    case create_status::unknown:
        record_store_failure(state, partition);
        return;
    }
}

void on_log_read_completed(core_state& state,
                           const log_read_completed& answered,
                           command_list& out)
{
    auto& partition = state.m_partitions[answered.m_partition];
    if (partition.m_role != partition_role::reading)
        return;
    partition.m_store_busy = false;
    if (!answered.m_image)
    {
        partition.m_role = partition_role::idle;
        record_store_failure(state, partition);
        return;
    }
    partition.m_failing_since.reset();
    if (!replay(state, partition, *answered.m_image))
    {
        partition.m_role = partition_role::idle;
        clear_rows(state, partition);
        partition.m_retry_at = state.m_now + retry_delay;
        return;
    }
    partition.m_role = partition_role::claiming;
    const std::uint64_t epoch = partition.m_epoch + 1;
    log_decision(out, "partition_claim",
                 {{"partition", std::to_string(partition.m_id)},
                  {"epoch", std::to_string(epoch)},
                  {"seq", std::to_string(partition.m_next_seq)},
                  {"programs", std::to_string(partition.m_programs.size())}});
    append_record(state, partition,
                  {takeover_record{state.m_self, epoch},
                   commit_action::claim_done,
                   {},
                   {},
                   {}});
}

void on_snapshot_write_completed(core_state& state,
                                 const snapshot_write_completed& answered,
                                 command_list& out)
{
    auto& partition = state.m_partitions[answered.m_partition];
    const bool expected = partition.m_snapshot && partition.m_snapshot_sent &&
                          partition.m_snapshot->m_covers == answered.m_covers;
    if (!expected)
        return;
    partition.m_store_busy = false;
    partition.m_snapshot_sent = false;
    switch (answered.m_status)
    {
    case create_status::created:
        partition.m_failing_since.reset();
        partition.m_covered = answered.m_covers;
        partition.m_manifest_revision = answered.m_manifest_revision;
        partition.m_snapshot.reset();
        out.emplace_back(delete_entries{partition.m_id, answered.m_covers});
        return;
    case create_status::unknown:
        record_store_failure(state, partition);
        return;
    case create_status::exists:
    case create_status::stale_manifest:
        on_fenced(state, partition, std::nullopt, out);
        return;
    }
}

void run_log_writer(core_state& state, command_list& out)
{
    refill_write_tokens(state);
    create_entries group;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (group.m_entries.empty())
            return;
        out.emplace_back(std::move(group));
        group = {};
        bytes = 0;
    };
    for (auto& partition : state.m_partitions)
    {
        const bool due = writes_entries(partition) && !partition.m_store_busy &&
                         state.m_now >= partition.m_retry_at;
        // One write token covers the whole group.
        if (!due || (group.m_entries.empty() && state.m_write_tokens < 1))
            continue;
        if (partition.m_snapshot && !partition.m_create)
        {
            state.m_write_tokens -= 1;
            partition.m_store_busy = true;
            partition.m_snapshot_sent = true;
            out.emplace_back(*partition.m_snapshot);
            continue;
        }
        const bool is_empty =
            partition.m_pending.empty() && !partition.m_unconfirmed;
        if (!partition.m_create && is_empty)
            continue;
        if (!partition.m_create)
            form_batch(state, partition);
        if (group.m_entries.empty())
            state.m_write_tokens -= 1;
        partition.m_store_busy = true;
        bytes += partition.m_create_bytes;
        group.m_entries.push_back(*partition.m_create);
        const auto& limits = state.m_deployment.m_limits;
        if (bytes >= limits.m_batch_bytes ||
            group.m_entries.size() >= max_entries)
            flush();
    }
    flush();
}

} // namespace pepperturn::detail
