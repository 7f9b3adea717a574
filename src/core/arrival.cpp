// SPDX-License-Identifier: BSL-1.0
// Arrival of calls: redirects to the owner, duplicates, and the order of a
// session.
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

constexpr std::int32_t status_not_found = 404;
constexpr std::int32_t status_conflict = 409;
constexpr std::int32_t status_gone = 410;
constexpr std::int32_t status_too_many = 429;
constexpr std::int32_t status_unavailable = 503;
constexpr std::int32_t status_payment = 402;
constexpr milliseconds short_retry{1000};

void reject(core_state& state, const call_request& request, std::int32_t status,
            std::string reason, command_list& out,
            outcome verdict = outcome::not_run,
            milliseconds retry_after = milliseconds{0})
{
    answer reply;
    reply.m_call = request.m_id;
    reply.m_outcome = verdict;
    reply.m_status = status;
    reply.m_reason = std::move(reason);
    reply.m_retry_after = retry_after;
    auto& counters = state.m_counters;
    (verdict == outcome::not_run ? counters.m_not_run : counters.m_unknown) +=
        1;
    trace(state, request.m_id, "answered: " + reply.m_reason);
    out.emplace_back(send_decision{request.m_entry_vm, std::move(reply)});
}

void repeat_answer(core_state& state, const call_request& request,
                   const answer& recorded, command_list& out)
{
    answer reply = recorded;
    reply.m_call = request.m_id;
    trace(state, request.m_id, "duplicate: the recorded answer");
    out.emplace_back(send_decision{request.m_entry_vm, std::move(reply)});
}

/// Ends the call with a result that may come from another owner's grant.
void apply_result(core_state& state, call_row& call, call_report report,
                  command_list& out)
{
    if (call.m_state == call_state::ready)
        dequeue_ready(state, call);
    if (call.m_state != call_state::granted)
        call.m_runner = report.m_runner;
    call.m_state = call_state::granted;
    report.m_call = call.m_request.m_id;
    report.m_attempt = call.m_attempt;
    report.m_epoch = state.m_partitions[call.m_partition].m_epoch;
    on_call_reported(state, report, out);
}

/// The same entry VM submits a call that this owner already has.
void resubmitted(core_state& state, call_row& call,
                 const call_submitted& submitted, command_list& out)
{
    if (submitted.m_adopted_report)
    {
        // Entry VMs use one grant at a time, so this is the result of the last
        // one, whichever owner issued it.
        const auto& report = *submitted.m_adopted_report;
        const bool ends_it = call.m_state == call_state::granted ||
                             report.m_end == attempt_end::complete;
        if (call.m_state == call_state::ending)
            return;
        if (ends_it)
            apply_result(state, call, report, out);
        else if (report.m_no_retry)
            finish_not_run(state, call, status_gone,
                           "withdrawn by its entry VM", milliseconds{0}, out);
        return;
    }
    if (call.m_state != call_state::granted)
        return;
    // The entry VM holds no grant, so the last one was lost in transit.
    trace(state, call.m_request.m_id, "grant sent again");
    send_grant(state, call, out);
}

/// Joins the waiters for the result of a call that the last owner granted and
/// handed over; false if no such call matches.
bool joined_expected(core_state& state, session_row* session,
                     const call_request& request)
{
    if (session == nullptr)
        return false;
    const auto expected =
        std::find_if(session->m_expected.begin(), session->m_expected.end(),
                     [&request](const auto& entry) {
                         return request.m_seq
                                    ? entry.first == *request.m_seq
                                    : entry.second.m_call == request.m_id;
                     });
    if (expected == session->m_expected.end())
        return false;
    if (expected->second.m_call == request.m_id)
    {
        // Its entry VM has no result and holds no grant: it was never sent.
        session->m_expected.erase(expected);
        return false;
    }
    if (expected->second.m_digest != digest_of(request))
        return false;
    expected->second.m_waiters.push_back({request.m_entry_vm, request.m_id});
    trace(state, request.m_id, "joined " + expected->second.m_call);
    return true;
}

/// True if the request is a duplicate of \p turn and has been handled.
bool is_duplicate_of(core_state& state, session_row& session,
                     const turn_row& turn, const call_submitted& submitted,
                     command_list& out)
{
    const auto& request = submitted.m_request;
    if (digest_of(request) != turn.m_digest)
    {
        reject(state, request, status_conflict,
               "seq or idempotency key was used for another request", out);
        return true;
    }
    const auto live = session.m_calls.find(turn.m_seq);
    auto* call = live == session.m_calls.end() ? nullptr
                                               : find_call(state, live->second);
    if (call != nullptr)
    {
        call->m_waiters.push_back({request.m_entry_vm, request.m_id});
        trace(state, request.m_id, "joined " + call->m_request.m_id);
        return true;
    }
    const bool same_call = turn.m_call == request.m_id;
    const bool is_unresolved =
        turn.m_dangling || turn.m_answer.m_outcome == outcome::unknown;
    if (is_unresolved && same_call)
        return false;
    if (turn.m_dangling && joined_expected(state, &session, request))
        return true;
    if (turn.m_dangling)
    {
        reject(state, request, status_unavailable,
               "call " + turn.m_call + " is the same and may be under way", out,
               outcome::unknown, short_retry);
        return true;
    }
    repeat_answer(state, request, turn.m_answer, out);
    return true;
}

const turn_row* find_turn(const session_row& session,
                          const call_request& request)
{
    if (request.m_seq)
    {
        const auto found = session.m_turns.find(*request.m_seq);
        if (found != session.m_turns.end())
            return &found->second;
    }
    for (const auto& [seq, turn] : session.m_turns)
    {
        const bool same_key =
            !request.m_idempotency_key.empty() &&
            turn.m_idempotency_key == request.m_idempotency_key;
        if (same_key || turn.m_call == request.m_id)
            return &turn;
    }
    return nullptr;
}

/// A call of the session in progress with the request's seq or idempotency
/// key.
call_row* find_active_duplicate(core_state& state, const session_row& session,
                                const call_request& request)
{
    for (const auto& [seq, id] : session.m_calls)
    {
        const bool same_seq = request.m_seq && *request.m_seq == seq;
        auto* call = find_call(state, id);
        if (call == nullptr)
            continue;
        const bool same_key =
            !request.m_idempotency_key.empty() &&
            call->m_request.m_idempotency_key == request.m_idempotency_key;
        if (same_seq || same_key)
            return call;
    }
    return nullptr;
}

/// The program's first unrepeatable call whose outcome is unknown.
const turn_row* find_unresolved(const partition_row& partition,
                                const program_key& key)
{
    const program_key root{key.m_workspace, key.m_root, {}};
    auto row = partition.m_programs.lower_bound(root);
    for (; row != partition.m_programs.end(); ++row)
    {
        if (row->first.m_workspace != key.m_workspace ||
            row->first.m_root != key.m_root)
            break;
        for (const auto& [name, session] : row->second.m_sessions)
        {
            for (const auto& [seq, turn] : session.m_turns)
            {
                if (!turn.m_repeatable &&
                    turn.m_answer.m_outcome == outcome::unknown)
                    return &turn;
            }
        }
    }
    return nullptr;
}

/// A grant of an earlier owner was used after the program's end: the memory
/// that it filled at the engine is released too.
void record_late_holder(core_state& state, partition_row& partition,
                        const call_submitted& submitted)
{
    const auto& key = submitted.m_request.m_session.m_program;
    auto* root = find_root(partition, key);
    if (root == nullptr || !root->m_ended ||
        submitted.m_request.m_kind != call_kind::chat)
        return;
    const program_key root_key{key.m_workspace, key.m_root, key.m_root};
    root->m_holders.insert(submitted.m_adopted_report->m_runner);
    root->m_release_due.erase(submitted.m_adopted_report->m_runner);
    state.m_releasing.emplace(partition.m_id, root_key);
}

/// Checks that need only the program's rows; true if the call was rejected.
bool rejected_by_program(core_state& state, partition_row& partition,
                         const call_submitted& submitted, command_list& out)
{
    const auto& request = submitted.m_request;
    // A call that was sent with another owner's grant may have run.
    const auto verdict =
        submitted.m_adopted_report &&
                submitted.m_adopted_report->m_end != attempt_end::not_sent
            ? outcome::unknown
            : outcome::not_run;
    const auto& key = request.m_session.m_program;
    const auto* root = find_root(partition, key);
    const auto* program = find_program(partition, key);
    const bool over =
        (root != nullptr && (root->m_ended || root->m_ending)) ||
        (program != nullptr && (program->m_ended || program->m_ending));
    if (over)
    {
        reject(state, request, status_gone, "the program has ended", out,
               verdict);
        return true;
    }
    if (root == nullptr && key.m_program != key.m_root)
    {
        reject(state, request, status_not_found,
               "Pepperturn-Parent names no running root program", out, verdict);
        return true;
    }
    if (!state.m_runners_by_upstream.contains(request.m_upstream))
    {
        reject(state, request, status_not_found,
               "no upstream is called " + request.m_upstream, out, verdict);
        return true;
    }
    return false;
}

bool rejected_by_limits(core_state& state, partition_row& partition,
                        const call_request& request, command_list& out)
{
    const auto& key = request.m_session.m_program;
    const auto info = state.m_deployment.m_workspaces.find(key.m_workspace);
    const auto& row = state.m_workspaces[key.m_workspace];
    if (info != state.m_deployment.m_workspaces.end() &&
        row.m_live >= info->second.m_max_active + info->second.m_max_queued)
    {
        reject(state, request, status_too_many,
               "the workspace has too many calls under way", out,
               outcome::not_run, short_retry);
        return true;
    }
    auto* root = find_root(partition, key);
    if (root != nullptr &&
        root->m_turn_count >= state.m_deployment.m_limits.m_max_turns)
    {
        reject(state, request, status_too_many,
               "the program has reached its turn limit", out);
        return true;
    }
    if (state.m_store_down && !request.m_repeatable)
    {
        reject(state, request, status_unavailable,
               "the store is down; an unrepeatable call cannot be recorded",
               out, outcome::not_run, short_retry);
        return true;
    }
    const auto pending = partition.m_pending_bytes;
    if (state.m_store_down &&
        pending > state.m_deployment.m_limits.m_pending_bytes)
    {
        reject(state, request, status_unavailable,
               "the store is down and its pending records exceed the limit",
               out, outcome::not_run, short_retry);
        return true;
    }
    return false;
}

bool rejected_by_unresolved(core_state& state, partition_row& partition,
                            const call_request& request, command_list& out)
{
    if (request.m_repeatable)
        return false;
    const auto* turn = find_unresolved(partition, request.m_session.m_program);
    if (turn == nullptr || turn->m_call == request.m_id)
        return false;
    reject(state, request, status_conflict,
           "call " + turn->m_call +
               " is unknown; resolve it before further unrepeatable calls",
           out);
    return true;
}

bool rejected_by_seq(core_state& state, const session_row* session,
                     const call_request& request, command_list& out)
{
    if (!request.m_seq)
        return false;
    const std::uint64_t next = session == nullptr ? 1 : session->m_next_seq;
    const auto window = state.m_deployment.m_limits.m_seq_window;
    if (*request.m_seq >= next + window)
    {
        reject(state, request, status_conflict,
               "seq is too far ahead: next is " + std::to_string(next), out);
        return true;
    }
    if (*request.m_seq < next)
    {
        reject(state, request, status_conflict,
               "seq is in the past and holds no such request: next is " +
                   std::to_string(next),
               out);
        return true;
    }
    return false;
}

std::uint64_t free_seq(const session_row& session)
{
    if (session.m_calls.empty())
        return session.m_next_seq;
    return std::max(session.m_next_seq, session.m_calls.rbegin()->first + 1);
}

void open_program(core_state& state, partition_row& partition,
                  const call_row& call)
{
    const auto& key = call.m_request.m_session.m_program;
    auto [row, inserted] = partition.m_programs.try_emplace(key);
    if (inserted && key.m_program == key.m_root)
    {
        row->second.m_budget = state.m_policy.m_budget(facts_of(state, call));
        row->second.m_opened_epoch = partition.m_epoch;
    }
    row->second.m_last_active = state.m_now;
}

call_row& insert_call(core_state& state, partition_row& partition,
                      const call_request& request)
{
    auto& call = state.m_calls[request.m_id];
    call.m_request = request;
    call.m_digest = digest_of(request);
    call.m_partition = partition.m_id;
    call.m_arrived = state.m_now;
    call.m_deadline = state.m_now + request.m_queue_timeout;
    call.m_waiters.push_back({request.m_entry_vm, request.m_id});
    open_program(state, partition, call);
    auto& program = partition.m_programs.at(request.m_session.m_program);
    auto& session = program.m_sessions[request.m_session.m_session];
    call.m_seq = request.m_seq ? *request.m_seq : free_seq(session);
    session.m_calls[call.m_seq] = request.m_id;
    program.m_live_calls += 1;
    state.m_workspaces[request.m_session.m_program.m_workspace].m_live += 1;
    state.m_deadlines.emplace(call.m_deadline, request.m_id);
    const auto gap = state.m_now + state.m_deployment.m_limits.m_gap_timeout;
    if (call.m_seq > session.m_next_seq && gap < call.m_deadline)
        state.m_deadlines.emplace(gap, request.m_id);
    trace(state, request.m_id,
          "arrived as seq " + std::to_string(call.m_seq) + " of " +
              cache_key_of(request.m_session) + " through " +
              request.m_entry_vm);
    return call;
}

/// The same request arrived through another VM as well, while the result of an
/// earlier owner's grant was in transit: the result completes both.
void complete_duplicate(core_state& state, call_row& duplicate,
                        const call_request& request, const call_report& report,
                        command_list& out)
{
    duplicate.m_waiters.push_back({request.m_entry_vm, request.m_id});
    if (report.m_end != attempt_end::complete ||
        duplicate.m_state == call_state::ending)
        return;
    apply_result(state, duplicate, report, out);
}

/// A grant of an earlier owner was used; its result becomes a turn of this
/// owner's log.
void adopt(core_state& state, partition_row& partition,
           const call_submitted& submitted, command_list& out)
{
    const auto& request = submitted.m_request;
    auto report = *submitted.m_adopted_report;
    const auto* session = find_session(partition, request.m_session);
    const std::uint64_t next = session == nullptr ? 1 : session->m_next_seq;
    const turn_row* turn =
        session == nullptr ? nullptr : find_turn(*session, request);
    const bool ends_dangling = turn != nullptr && turn->m_call == request.m_id;
    auto* duplicate = session == nullptr || !request.m_repeatable
                          ? nullptr
                          : find_active_duplicate(state, *session, request);
    if (duplicate != nullptr && duplicate->m_digest == digest_of(request) &&
        duplicate->m_seq == next)
    {
        complete_duplicate(state, *duplicate, request, report, out);
        return;
    }
    const bool is_next =
        request.m_seq ? *request.m_seq == next : turn == nullptr;
    const bool free = session == nullptr || session->m_active.empty();
    if (!ends_dangling && !(is_next && free && request.m_repeatable))
    {
        reject(state, request, status_conflict,
               "ran under an earlier owner; the session has moved on", out,
               outcome::unknown);
        return;
    }
    auto copy = request;
    copy.m_seq = ends_dangling ? turn->m_seq : next;
    auto& call = insert_call(state, partition, copy);
    auto& row = partition.m_programs.at(request.m_session.m_program)
                    .m_sessions[request.m_session.m_session];
    if (call.m_seq == row.m_next_seq)
        row.m_active = request.m_id;
    call.m_state = call_state::granted;
    call.m_started = ends_dangling;
    call.m_attempt = 1;
    call.m_runner = report.m_runner;
    report.m_attempt = 1;
    report.m_epoch = partition.m_epoch;
    const auto expected = row.m_expected.find(call.m_seq);
    if (expected != row.m_expected.end())
    {
        const auto& waiting = expected->second.m_waiters;
        call.m_waiters.insert(call.m_waiters.end(), waiting.begin(),
                              waiting.end());
        row.m_expected.erase(expected);
    }
    trace(state, request.m_id, "result of an earlier owner's grant adopted");
    log_decision(out, "call_adopted",
                 {{"call", request.m_id}, {"runner", report.m_runner}});
    on_call_reported(state, report, out);
}

/// Resumes a call that an earlier owner recorded as `started`. Only its entry
/// VM could have sent it, and that VM reports that it did not.
void resume_started(core_state& state, partition_row& partition,
                    const call_request& request, std::uint64_t seq,
                    command_list& out)
{
    auto copy = request;
    copy.m_seq = seq;
    auto& call = insert_call(state, partition, copy);
    call.m_started = true;
    auto& session = partition.m_programs.at(request.m_session.m_program)
                        .m_sessions[request.m_session.m_session];
    if (seq == session.m_next_seq)
        session.m_active = request.m_id;
    trace(state, request.m_id, "started under an earlier owner, never sent");
    enqueue_ready(state, call, out);
}

void handle_submission(core_state& state, partition_row& partition,
                       session_row* session, const call_submitted& submitted,
                       command_list& out)
{
    const auto& request = submitted.m_request;
    const turn_row* turn =
        session == nullptr ? nullptr : find_turn(*session, request);
    if (turn != nullptr &&
        is_duplicate_of(state, *session, *turn, submitted, out))
        return;
    if (submitted.m_adopted_report)
    {
        adopt(state, partition, submitted, out);
        return;
    }
    if (turn != nullptr)
    {
        resume_started(state, partition, request, turn->m_seq, out);
        return;
    }
    if (joined_expected(state, session, request))
        return;
    auto* duplicate = session == nullptr
                          ? nullptr
                          : find_active_duplicate(state, *session, request);
    if (duplicate != nullptr)
    {
        if (duplicate->m_digest != digest_of(request))
        {
            reject(state, request, status_conflict,
                   "seq or idempotency key is in use for another request", out);
            return;
        }
        duplicate->m_waiters.push_back({request.m_entry_vm, request.m_id});
        trace(state, request.m_id, "joined " + duplicate->m_request.m_id);
        return;
    }
    if (rejected_by_limits(state, partition, request, out) ||
        rejected_by_unresolved(state, partition, request, out) ||
        rejected_by_seq(state, session, request, out))
        return;
    insert_call(state, partition, request);
    start_next_call(state, partition, request.m_session, out);
}

} // namespace

void on_call_submitted(core_state& state, const call_submitted& submitted,
                       command_list& out)
{
    const auto& request = submitted.m_request;
    const auto& key = request.m_session.m_program;
    const auto id = partition_of(
        key, static_cast<std::uint32_t>(state.m_partitions.size()));
    auto& partition = state.m_partitions[id];
    state.m_counters.m_submitted += 1;
    if (partition.m_role != partition_role::owner)
    {
        const auto& known = partition.m_known_owner;
        const bool useful = known != state.m_self && vm_alive(state, known);
        const auto owner = useful ? known : owner_by_heartbeats(state, id);
        out.emplace_back(send_decision{request.m_entry_vm,
                                       redirect{request.m_id, id, owner}});
        return;
    }
    if (auto* call = find_call(state, request.m_id))
    {
        resubmitted(state, *call, submitted, out);
        return;
    }
    if (submitted.m_adopted_report)
        record_late_holder(state, partition, submitted);
    if (rejected_by_program(state, partition, submitted, out))
        return;
    auto* session = find_session(partition, request.m_session);
    handle_submission(state, partition, session, submitted, out);
}

void start_next_call(core_state& state, partition_row& partition,
                     const session_key& key, command_list& out)
{
    auto* session = find_session(partition, key);
    if (session == nullptr || !session->m_active.empty())
        return;
    const auto found = session->m_calls.find(session->m_next_seq);
    if (found == session->m_calls.end())
        return;
    auto& call = state.m_calls.at(found->second);
    session->m_active = found->second;
    switch (reserve_budget(state, partition, call))
    {
    case reservation::ready:
        enqueue_ready(state, call, out);
        return;
    case reservation::refused:
        finish_not_run(state, call, status_payment,
                       "the program's budget does not cover this call",
                       milliseconds{0}, out);
        return;
    case reservation::needs_commit:
        break;
    }
    if (state.m_store_down)
    {
        finish_not_run(state, call, status_unavailable,
                       "the store is down; no budget can be reserved",
                       short_retry, out);
        return;
    }
    call.m_state = call_state::reserving;
    const auto& program = key.m_program;
    const program_key root{program.m_workspace, program.m_root, program.m_root};
    auto record = program_record_of(root, partition.m_programs.at(root));
    append_record(state, partition,
                  {std::move(record),
                   commit_action::admit_call,
                   call.m_request.m_id,
                   {},
                   {}});
}

} // namespace pepperturn::detail
