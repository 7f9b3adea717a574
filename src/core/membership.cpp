// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/hash.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

/// Lets the first heartbeats arrive before any partition is claimed, so that a
/// restarted VM does not take over partitions that have a live owner.
constexpr milliseconds settle_time{700};
constexpr milliseconds read_retry{500};
/// Longer than many ticks, and well below the heartbeat timeout.
constexpr milliseconds pause_threshold{700};
constexpr milliseconds resume_timeout{2000};

bool is_candidate(const core_state& state, const vm_row& row)
{
    return row.m_listed && !row.m_info.m_leaving &&
           !row.m_heartbeat.m_leaving && !row.m_heartbeat.m_store_down &&
           vm_alive(state, row.m_info.m_id);
}

bool claims(const vm_row& row, std::uint32_t partition)
{
    return std::any_of(row.m_heartbeat.m_owned.begin(),
                       row.m_heartbeat.m_owned.end(),
                       [partition](const owner_hint& hint) {
                           return hint.m_partition == partition;
                       });
}

/// True if another live VM announces that it owns the partition.
bool has_live_owner(const core_state& state, const partition_row& partition)
{
    return std::any_of(state.m_vms.begin(), state.m_vms.end(),
                       [&](const auto& entry) {
                           return entry.first != state.m_self &&
                                  vm_alive(state, entry.first) &&
                                  claims(entry.second, partition.m_id);
                       });
}

void start_claim(core_state& state, partition_row& partition, command_list& out)
{
    partition.m_role = partition_role::reading;
    partition.m_store_busy = true;
    partition.m_retry_at = state.m_now + read_retry;
    out.emplace_back(read_log{partition.m_id});
}

/// Amounts reserved by grants in flight are charged before the next owner
/// takes over.
void settle_reservations(core_state& state, partition_row& partition)
{
    for (auto& [key, row] : partition.m_programs)
    {
        if (!row.m_recorded || row.m_ended || key.m_program != key.m_root)
            continue;
        row.m_spent += row.m_outstanding;
        row.m_reserved = row.m_spent;
        row.m_outstanding = 0;
        append_record(
            state, partition,
            {program_record_of(key, row), commit_action::none, {}, {}, {}});
    }
}

/// Adds the calls of earlier owners whose results this owner still expects.
void hand_over_expected(partition_row& partition, handoff_record& handoff,
                        command_list& out)
{
    for (auto& [key, program] : partition.m_programs)
    {
        for (auto& [name, session] : program.m_sessions)
        {
            for (const auto& [seq, expected] : session.m_expected)
            {
                handoff.m_in_flight.push_back(
                    {expected.m_call, {key, name}, seq, expected.m_digest});
                for (const auto& target : expected.m_waiters)
                    out.emplace_back(send_decision{
                        target.m_entry_vm,
                        redirect{target.m_call, partition.m_id, {}}});
            }
            session.m_expected.clear();
        }
    }
}

void start_handoff(core_state& state, partition_row& partition,
                   const std::string& to, command_list& out)
{
    partition.m_role = partition_role::handing_off;
    partition.m_handoff_to = to;
    log_decision(out, "partition_handoff",
                 {{"partition", std::to_string(partition.m_id)},
                  {"epoch", std::to_string(partition.m_epoch)},
                  {"to", to}});
    std::vector<call_id> calls;
    for (const auto& [id, call] : state.m_calls)
    {
        // Calls that are ending get their result from this owner, once their
        // pending entry is committed.
        if (call.m_partition == partition.m_id &&
            call.m_state != call_state::ending)
            calls.push_back(id);
    }
    handoff_record handoff{state.m_self, to, {}};
    for (const auto& id : calls)
    {
        const auto& call = state.m_calls.at(id);
        if (call.m_state == call_state::granted)
            handoff.m_in_flight.push_back(
                {id, call.m_request.m_session, call.m_seq, call.m_digest});
    }
    hand_over_expected(partition, handoff, out);
    settle_reservations(state, partition);
    for (const auto& id : calls)
        redirect_call(state, state.m_calls.at(id), out);
    append_record(
        state, partition,
        {std::move(handoff), commit_action::handoff_done, {}, {}, {}});
}

/// Ends a handover that cannot be committed while the store is down: until it
/// is, no other VM can claim the partition, and its calls would wait for the
/// store. The record may be in the log already; it takes nothing from an owner
/// that goes on, whose calls in flight are expected as those of an earlier one.
void withdraw_handoff(core_state& state, partition_row& partition,
                      command_list& out)
{
    constexpr milliseconds report_grace{2000};
    partition.m_role = partition_role::owner;
    partition.m_known_owner = state.m_self;
    partition.m_imbalanced_since = state.m_now;
    partition.m_has_expected = true;
    partition.m_dangling_due = state.m_now + report_grace;
    const auto withdraw = [](auto& entries) {
        for (auto& entry : entries)
        {
            if (entry.m_action == commit_action::handoff_done)
                entry.m_action = commit_action::none;
        }
    };
    withdraw(partition.m_in_flight);
    withdraw(partition.m_pending);
    log_decision(out, "handoff_withdrawn",
                 {{"partition", std::to_string(partition.m_id)},
                  {"epoch", std::to_string(partition.m_epoch)},
                  {"to", partition.m_handoff_to}});
}

void check_owned(core_state& state, partition_row& partition, command_list& out)
{
    const auto preferred = preferred_owner(state, partition.m_id);
    if (state.m_stopping)
    {
        start_handoff(state, partition, preferred, out);
        return;
    }
    if (preferred == state.m_self || preferred.empty() || state.m_store_down)
    {
        partition.m_imbalanced_since = state.m_now;
        return;
    }
    const auto delay = state.m_deployment.m_limits.m_rebalance_delay;
    if (state.m_now - partition.m_imbalanced_since >= delay)
        start_handoff(state, partition, preferred, out);
}

void check_idle(core_state& state, partition_row& partition, command_list& out)
{
    const bool settled =
        state.m_vms_listed && state.m_now - state.m_started >= settle_time;
    if (!settled || state.m_stopping || state.m_now < partition.m_retry_at)
        return;
    if (preferred_owner(state, partition.m_id) != state.m_self)
        return;
    if (!has_live_owner(state, partition))
        start_claim(state, partition, out);
}

/// A VM that receives no heartbeats cannot know whether another VM has taken
/// over, so it confirms its ownership through the store at intervals.
void unconfirm_when_isolated(core_state& state)
{
    constexpr milliseconds interval{1000};
    if (state.m_now < state.m_next_isolation_check)
        return;
    state.m_next_isolation_check = state.m_now + interval;
    bool any_listed = false;
    bool any_reachable = false;
    for (const auto& [id, row] : state.m_vms)
    {
        if (id == state.m_self || !row.m_listed || !row.m_last_received)
            continue;
        any_listed = true;
        any_reachable = any_reachable || vm_alive(state, id);
    }
    if (!any_listed || any_reachable)
        return;
    for (auto& partition : state.m_partitions)
        partition.m_unconfirmed = true;
}

void update_own_row(core_state& state)
{
    auto& self = state.m_vms[state.m_self];
    self.m_info.m_id = state.m_self;
    self.m_last_received = state.m_now;
    self.m_heartbeat.m_vm = state.m_self;
    self.m_heartbeat.m_incarnation = state.m_incarnation;
    self.m_heartbeat.m_leaving = state.m_stopping;
    self.m_heartbeat.m_store_down = false;
    self.m_heartbeat.m_config_revision = state.m_deployment.m_revision;
    self.m_listed = true;
    self.m_heartbeat.m_owned.clear();
    for (const auto& partition : state.m_partitions)
    {
        if (partition.m_role == partition_role::owner)
            self.m_heartbeat.m_owned.push_back(
                {partition.m_id, partition.m_epoch});
    }
}

} // namespace

void detect_pause(core_state& state, command_list& out)
{
    const auto gap = state.m_now - state.m_last_tick;
    state.m_last_tick = state.m_now;
    if (gap > pause_threshold)
    {
        state.m_resumed_at = state.m_now;
        for (auto& partition : state.m_partitions)
            partition.m_unconfirmed = true;
        log_decision(out, "vm_resumed",
                     {{"paused_s", format_seconds(to_seconds(gap))}});
    }
    // The platform's list may be unavailable for long: bound the wait.
    if (state.m_resumed_at &&
        state.m_now - *state.m_resumed_at > resume_timeout)
        state.m_resumed_at.reset();
}

bool vm_alive(const core_state& state, const std::string& vm)
{
    if (vm == state.m_self)
        return true;
    const auto found = state.m_vms.find(vm);
    if (found == state.m_vms.end() || !found->second.m_last_received)
        return false;
    return state.m_now - *found->second.m_last_received <=
           state.m_deployment.m_limits.m_heartbeat_timeout;
}

std::string preferred_owner(const core_state& state, std::uint32_t partition)
{
    std::string best;
    std::uint64_t best_score = 0;
    for (const auto& [id, row] : state.m_vms)
    {
        if (!is_candidate(state, row))
            continue;
        const auto score = hash64(id, partition + 1);
        if (best.empty() || score > best_score)
        {
            best = id;
            best_score = score;
        }
    }
    return best;
}

std::string owner_by_heartbeats(const core_state& state,
                                std::uint32_t partition)
{
    std::string best;
    std::uint64_t best_epoch = 0;
    for (const auto& [id, row] : state.m_vms)
    {
        if (id == state.m_self || !vm_alive(state, id))
            continue;
        for (const auto& hint : row.m_heartbeat.m_owned)
        {
            if (hint.m_partition != partition ||
                (!best.empty() && hint.m_epoch <= best_epoch))
                continue;
            best = id;
            best_epoch = hint.m_epoch;
        }
    }
    return best;
}

std::string likely_owner(const core_state& state, const program_key& key)
{
    const auto id = partition_of(
        key, static_cast<std::uint32_t>(state.m_partitions.size()));
    const auto& partition = state.m_partitions[id];
    if (partition.m_role == partition_role::owner)
        return state.m_self;
    const auto& known = partition.m_known_owner;
    if (!known.empty() && known != state.m_self && vm_alive(state, known))
        return known;
    // While a claim of this VM waits for the store, the known owner is
    // outdated; a VM that announces that it owns the partition still serves it.
    auto announced = owner_by_heartbeats(state, id);
    return announced.empty() ? preferred_owner(state, id) : announced;
}

void on_vms_listed(core_state& state, const vms_listed& listed)
{
    state.m_vms_listed = true;
    state.m_resumed_at.reset();
    for (auto& [id, row] : state.m_vms)
        row.m_listed = id == state.m_self;
    for (const auto& info : listed.m_vms)
    {
        auto& row = state.m_vms[info.m_id];
        row.m_info = info;
        row.m_listed = true;
    }
    std::erase_if(state.m_vms, [&](const auto& entry) {
        return !entry.second.m_listed && !vm_alive(state, entry.first);
    });
    for (auto& [name, runner] : state.m_runners)
        runner.m_listed_leaving = listed.m_leaving_runners.contains(name);
}

void on_heartbeat(core_state& state, const heartbeat& beat, command_list& out)
{
    auto& row = state.m_vms[beat.m_vm];
    row.m_info.m_id = beat.m_vm;
    if (!row.m_last_received ||
        row.m_heartbeat.m_incarnation != beat.m_incarnation)
    {
        log_decision(out, "vm_heard",
                     {{"vm", beat.m_vm},
                      {"incarnation", std::to_string(beat.m_incarnation)}});
    }
    row.m_heartbeat = beat;
    row.m_last_received = state.m_now;
    for (const auto& hint : beat.m_owned)
    {
        if (hint.m_partition >= state.m_partitions.size())
            continue;
        auto& partition = state.m_partitions[hint.m_partition];
        if (hint.m_epoch < partition.m_known_epoch)
            continue;
        partition.m_known_epoch = hint.m_epoch;
        partition.m_known_owner = beat.m_vm;
        if (hint.m_epoch > partition.m_epoch)
            partition.m_unconfirmed = true;
    }
}

void run_ownership(core_state& state, command_list& out)
{
    constexpr milliseconds interval{50};
    if (state.m_now < state.m_next_ownership && !state.m_stopping)
        return;
    state.m_next_ownership = state.m_now + interval;
    update_own_row(state);
    unconfirm_when_isolated(state);
    for (auto& partition : state.m_partitions)
    {
        if (partition.m_role == partition_role::owner)
            check_owned(state, partition, out);
        else if (partition.m_role == partition_role::idle)
            check_idle(state, partition, out);
        else if (partition.m_role == partition_role::handing_off &&
                 state.m_store_down && !state.m_stopping)
            withdraw_handoff(state, partition, out);
    }
}

} // namespace pepperturn::detail
