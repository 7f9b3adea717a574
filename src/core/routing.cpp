// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/prediction.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn::detail {

namespace {

/// Ended attempts are kept this long to correct delayed load reports.
constexpr seconds attempt_retention{10};
/// Bounds the memory, and the time to evaluate a report, at any call rate.
constexpr std::size_t max_recorded_attempts = 256;
/// Number of calls in a queue that are tried although none finds a runner.
constexpr int lookahead = 16;
/// Candidates this close to the best are treated as equal, in seconds.
constexpr double tie_margin = 0.005;
constexpr double output_smoothing = 0.1;
constexpr seconds failed_runner_backoff{1};

std::vector<candidate> candidates_for(core_state& state, call_row& call,
                                      const session_row& session)
{
    std::vector<candidate> out;
    const auto names =
        state.m_runners_by_upstream.find(call.m_request.m_upstream);
    if (names == state.m_runners_by_upstream.end())
        return out;
    auto facts = facts_of(state, call);
    for (const auto& name : names->second)
    {
        auto& runner = state.m_runners.at(name);
        if (!is_usable(state, runner) || call.m_excluded_runners.contains(name))
            continue;
        facts.m_runner = name;
        facts.m_runner_zone = runner.m_info.m_availability_zone;
        if (!state.m_policy.m_allow(facts))
            continue;
        out.push_back(predict(state, runner, call, session));
    }
    return out;
}

bool has_capacity(const core_state& state, const candidate& entry)
{
    const auto& info = entry.m_runner->m_info;
    return estimated_load(*entry.m_runner) <
           info.m_slots + state.m_deployment.m_limits.m_runner_queue;
}

const candidate* pick_predicted(core_state& state,
                                const std::vector<candidate>& all)
{
    double best = std::numeric_limits<double>::max();
    for (const auto& entry : all)
        best = std::min(best, entry.m_finish);
    std::vector<const candidate*> close;
    for (const auto& entry : all)
    {
        if (entry.m_finish <= best + tie_margin)
            close.push_back(&entry);
    }
    if (close.empty())
        return nullptr;
    const auto* chosen = close[state.m_random() % close.size()];
    // Waiting for the runner that has the prefix cached is faster than
    // recomputing it elsewhere, so if the best runner is full the call stays
    // in this VM's queue.
    return has_capacity(state, *chosen) ? chosen : nullptr;
}

const candidate* pick_least_loaded(core_state& state,
                                   const std::vector<candidate>& all)
{
    const candidate* best = nullptr;
    for (const auto& entry : all)
    {
        if (!has_capacity(state, entry))
            continue;
        if (best == nullptr ||
            estimated_load(*entry.m_runner) < estimated_load(*best->m_runner))
            best = &entry;
    }
    return best;
}

const candidate* pick_round_robin(core_state& state,
                                  const std::vector<candidate>& all,
                                  const std::string& upstream)
{
    if (all.empty())
        return nullptr;
    auto& next_index = state.m_round_robin[upstream];
    const auto& chosen = all[next_index % all.size()];
    if (!has_capacity(state, chosen))
        return nullptr;
    next_index += 1;
    return &chosen;
}

const candidate* pick_sticky(core_state& state,
                             const std::vector<candidate>& all,
                             const session_row& session)
{
    for (const auto& entry : all)
    {
        if (entry.m_runner->m_info.m_name == session.m_last_runner)
            return has_capacity(state, entry) ? &entry : nullptr;
    }
    return pick_least_loaded(state, all);
}

const candidate* pick(core_state& state, const std::vector<candidate>& all,
                      const call_row& call, const session_row& session)
{
    switch (state.m_deployment.m_limits.m_routing)
    {
    case routing_rule::predicted_finish:
        return pick_predicted(state, all);
    case routing_rule::round_robin:
        return pick_round_robin(state, all, call.m_request.m_upstream);
    case routing_rule::least_loaded:
        return pick_least_loaded(state, all);
    case routing_rule::session_sticky:
        return pick_sticky(state, all, session);
    }
    return nullptr;
}

/// Lists only the best candidates: with hundreds of runners the log line
/// would get too long.
std::string describe(std::vector<candidate> all)
{
    constexpr std::size_t max_shown = 5;
    const auto shown = std::min(max_shown, all.size());
    std::partial_sort(all.begin(),
                      all.begin() + static_cast<std::ptrdiff_t>(shown),
                      all.end(), [](const auto& left, const auto& right) {
                          return left.m_finish < right.m_finish;
                      });
    std::string text;
    for (std::size_t i = 0; i < shown; ++i)
    {
        const auto& entry = all[i];
        if (!text.empty())
            text += ",";
        text += entry.m_runner->m_info.m_name + ":" +
                format_seconds(entry.m_finish) + "s/" +
                std::to_string(entry.m_cached);
    }
    if (all.size() > shown)
        text += ",+" + std::to_string(all.size() - shown) + " more";
    return text;
}

void record_sent_attempt(core_state& state, runner_row& runner, call_row& call,
                         std::uint32_t cached)
{
    const auto uncached =
        call.m_prompt_tokens > cached ? call.m_prompt_tokens - cached : 0;
    const auto start = std::max(runner.m_prefill_free_at, state.m_now);
    runner.m_prefill_free_at =
        start + from_seconds(uncached / runner.m_info.m_prefill_rate);
    runner.m_in_flight += 1;
    runner.m_sent_tokens += uncached;
    runner.m_attempts.push_back({call.m_request.m_id,
                                 state.m_now,
                                 {},
                                 uncached,
                                 call.m_request.m_max_tokens});
    const auto is_expired = [&](const sent_attempt& oldest) {
        return oldest.m_ended &&
               (state.m_now - *oldest.m_ended > attempt_retention ||
                runner.m_attempts.size() > max_recorded_attempts);
    };
    while (is_expired(runner.m_attempts.front()))
        runner.m_attempts.pop_front();
}

void assign(core_state& state, call_row& call, const candidate& chosen,
            const std::vector<candidate>& all, command_list& out)
{
    auto& runner = *chosen.m_runner;
    const auto considered = describe(all);
    call.m_runner = runner.m_info.m_name;
    log_decision(out, "route",
                 {{"call", call.m_request.m_id},
                  {"runner", call.m_runner},
                  {"zone", runner.m_info.m_availability_zone},
                  {"policy", std::to_string(state.m_policy.m_revision)},
                  {"class", std::to_string(call.m_class)},
                  {"waited_s",
                   format_seconds(to_seconds(state.m_now - call.m_ready_at))},
                  {"predicted_s", format_seconds(chosen.m_finish)},
                  {"cached_tokens", std::to_string(chosen.m_cached)},
                  {"prompt_tokens", std::to_string(call.m_prompt_tokens)},
                  {"considered", considered}});
    trace(state, call.m_request.m_id,
          "routed to " + call.m_runner + " (predicted " +
              format_seconds(chosen.m_finish) + " s, cached " +
              std::to_string(chosen.m_cached) + " of " +
              std::to_string(call.m_prompt_tokens) + " tokens) among " +
              describe(all));
    record_sent_attempt(state, runner, call, chosen.m_cached);
    state.m_workspaces[call.m_request.m_session.m_program.m_workspace]
        .m_granted += 1;
    auto& partition = state.m_partitions[call.m_partition];
    if (call.m_request.m_repeatable || call.m_started)
    {
        send_grant(state, call, out);
        return;
    }
    call.m_state = call_state::starting;
    append_record(
        state, partition,
        {started_record{call.m_request.m_id, call.m_request.m_session,
                        call.m_seq, call.m_digest,
                        call.m_request.m_idempotency_key, call.m_runner},
         commit_action::grant_call,
         call.m_request.m_id,
         {},
         {}});
}

bool within_workspace_limit(const core_state& state, const call_row& call)
{
    const auto& name = call.m_request.m_session.m_program.m_workspace;
    const auto row = state.m_workspaces.find(name);
    const auto info = state.m_deployment.m_workspaces.find(name);
    if (row == state.m_workspaces.end() ||
        info == state.m_deployment.m_workspaces.end())
        return true;
    return row->second.m_granted < info->second.m_max_active;
}

/// Returns true if the call left the queue. Queued calls always have a session;
/// the null check guards this invariant.
bool try_route(core_state& state, const call_id& id, command_list& out)
{
    auto* call = find_call(state, id);
    if (call == nullptr)
        return true;
    auto& partition = state.m_partitions[call->m_partition];
    const auto* session = find_session(partition, call->m_request.m_session);
    if (session == nullptr || partition.m_unconfirmed ||
        !within_workspace_limit(state, *call))
        return false;
    auto all = candidates_for(state, *call, *session);
    if (all.empty() && !call->m_excluded_runners.empty())
    {
        call->m_excluded_runners.clear();
        all = candidates_for(state, *call, *session);
    }
    const auto* chosen = pick(state, all, *call, *session);
    if (chosen == nullptr)
        return false;
    assign(state, *call, *chosen, all, out);
    return true;
}

std::int64_t order_key(const core_state& state, const call_row& call,
                       double attained)
{
    const auto& limits = state.m_deployment.m_limits;
    if (limits.m_ordering == ordering_rule::fcfs)
        return state.m_now.time_since_epoch().count();
    const auto base = state.m_now.time_since_epoch();
    const auto step =
        std::chrono::duration_cast<microseconds>(limits.m_class_step);
    return (base + step * call.m_class +
            from_seconds(attained * limits.m_service_weight))
        .count();
}

} // namespace

void enqueue_ready(core_state& state, call_row& call, command_list& out)
{
    auto& partition = state.m_partitions[call.m_partition];
    const auto* root = find_root(partition, call.m_request.m_session.m_program);
    const double attained = root == nullptr ? 0 : root->m_attained;
    if (call.m_attempt == 0)
    {
        call.m_class = state.m_policy.m_priority(facts_of(state, call));
        call.m_ready_at = state.m_now;
        call.m_order_key = order_key(state, call, attained);
        const double wait = predicted_wait(state, call.m_request.m_upstream);
        const auto left = to_seconds(call.m_deadline - state.m_now);
        if (call.m_class <= 0 && wait > left && !call.m_started)
        {
            finish_not_run(state, call, 503,
                           "no runner is free before the deadline",
                           milliseconds(static_cast<long>(wait * 1000)), out);
            return;
        }
    }
    call.m_state = call_state::ready;
    trace(state, call.m_request.m_id,
          "queued for " + call.m_request.m_upstream + " (class " +
              std::to_string(call.m_class) + ", policy revision " +
              std::to_string(state.m_policy.m_revision) + ", attained " +
              format_seconds(attained) + " s)");
    state.m_arrivals += 1;
    state.m_ready[call.m_request.m_upstream].emplace(
        std::pair{call.m_order_key, state.m_arrivals}, call.m_request.m_id);
}

void dequeue_ready(core_state& state, const call_row& call)
{
    const auto queue = state.m_ready.find(call.m_request.m_upstream);
    if (queue == state.m_ready.end())
        return;
    std::erase_if(queue->second, [&](const auto& entry) {
        return entry.second == call.m_request.m_id;
    });
}

void run_routing(core_state& state, command_list& out)
{
    if (state.m_resumed_at)
        return;
    for (auto& [upstream, queue] : state.m_ready)
    {
        int blocked = 0;
        auto next = queue.begin();
        while (next != queue.end() && blocked < lookahead)
        {
            const call_id id = next->second;
            if (try_route(state, id, out))
            {
                next = queue.erase(next);
                continue;
            }
            blocked += 1;
            ++next;
        }
    }
}

void send_grant(core_state& state, call_row& call, command_list& out)
{
    auto& partition = state.m_partitions[call.m_partition];
    const auto& request = call.m_request;
    const auto& runner = state.m_runners.at(call.m_runner).m_info;
    call.m_attempt += 1;
    call.m_state = call_state::granted;
    call.m_granted_at = state.m_now;
    state.m_counters.m_granted += 1;
    grant permit;
    permit.m_call = request.m_id;
    permit.m_attempt = call.m_attempt;
    permit.m_partition = call.m_partition;
    permit.m_epoch = partition.m_epoch;
    permit.m_seq = call.m_seq;
    permit.m_runner = call.m_runner;
    permit.m_address = runner.m_address;
    permit.m_max_tokens = request.m_max_tokens;
    permit.m_priority = call.m_order_key;
    permit.m_cache_key = cache_key_of(request.m_session);
    permit.m_timeout = milliseconds{60000};
    const auto upstream =
        state.m_deployment.m_upstreams.find(request.m_upstream);
    if (upstream != state.m_deployment.m_upstreams.end())
        permit.m_timeout = upstream->second.m_timeout;
    if (request.m_kind == call_kind::chat)
    {
        // Every attempt fills the cache, including an aborted one.
        if (auto* row = find_program(partition, request.m_session.m_program))
            row->m_holders.insert(call.m_runner);
        const auto* session = find_session(partition, request.m_session);
        for (const auto& [seq, turn] : session->m_turns)
        {
            if (turn.m_kind != call_kind::chat || seq >= call.m_seq)
                continue;
            permit.m_prompt.insert(permit.m_prompt.end(),
                                   turn.m_messages.begin(),
                                   turn.m_messages.end());
            permit.m_prompt.push_back({"assistant", turn.m_answer.m_body});
        }
        permit.m_prompt.insert(permit.m_prompt.end(),
                               request.m_messages.begin(),
                               request.m_messages.end());
    }
    constexpr milliseconds slack{5000};
    state.m_deadlines.emplace(state.m_now + permit.m_timeout + slack,
                              request.m_id);
    out.emplace_back(send_decision{request.m_entry_vm, std::move(permit)});
}

void record_attempt_end(core_state& state, const call_row& call,
                        const call_report* report)
{
    auto& workspace =
        state.m_workspaces[call.m_request.m_session.m_program.m_workspace];
    if (workspace.m_granted > 0)
        workspace.m_granted -= 1;
    const auto found = state.m_runners.find(call.m_runner);
    if (found == state.m_runners.end())
        return;
    auto& runner = found->second;
    for (auto& attempt : runner.m_attempts)
    {
        if (attempt.m_call != call.m_request.m_id || attempt.m_ended)
            continue;
        attempt.m_ended = state.m_now;
        if (runner.m_in_flight > 0)
            runner.m_in_flight -= 1;
    }
    if (report == nullptr)
        return;
    // A runner in trouble may be the fastest to answer: calls that may run
    // elsewhere would use up the retries of all.
    if (report->m_end == attempt_end::not_sent || report->m_broken_answer)
        runner.m_backoff_until = state.m_now + failed_runner_backoff;
    const auto output = report->m_usage ? report->m_usage->m_output_tokens : 0;
    if (report->m_end == attempt_end::complete && output > 0)
        runner.m_mean_output +=
            output_smoothing * (output - runner.m_mean_output);
}

void on_load_reported(core_state& state, const load_reported& report)
{
    const auto found = state.m_runners.find(report.m_runner);
    if (found == state.m_runners.end())
        return;
    found->second.m_reachable = report.m_reachable;
    if (!report.m_reachable)
        return;
    found->second.m_load = report;
    found->second.m_load_at = state.m_now;
}

void on_cache_evicted(core_state& state, const cache_evicted& evicted)
{
    const auto key = parse_cache_key(evicted.m_cache_key);
    if (!key)
        return;
    const auto id = partition_of(
        key->m_program, static_cast<std::uint32_t>(state.m_partitions.size()));
    auto* session = find_session(state.m_partitions[id], *key);
    if (session != nullptr)
        session->m_prefixes.erase(evicted.m_runner);
}

void on_cache_gap(core_state& state, const cache_gap& gap)
{
    const auto found = state.m_runners.find(gap.m_runner);
    if (found != state.m_runners.end() && gap.m_restarted)
        found->second.m_cache_reset_at = state.m_now;
}

} // namespace pepperturn::detail
