// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/prediction.hpp"

#include <algorithm>
#include <limits>

namespace pepperturn::detail {

namespace {

/// Number of this VM's attempts that were in progress at \p when.
std::uint32_t own_attempts_at(const runner_row& runner, instant when)
{
    const auto in_progress = [when](const sent_attempt& attempt) {
        return attempt.m_sent <= when &&
               (!attempt.m_ended || *attempt.m_ended > when);
    };
    return static_cast<std::uint32_t>(std::count_if(
        runner.m_attempts.begin(), runner.m_attempts.end(), in_progress));
}

/// Seconds until the runner has prefilled all prompts sent to it.
double prefill_backlog(const core_state& state, const runner_row& runner)
{
    const double own = to_seconds(runner.m_prefill_free_at - state.m_now);
    const double elapsed = to_seconds(state.m_now - runner.m_load_at) +
                           to_seconds(runner.m_load.m_age);
    const double reported = static_cast<double>(runner.m_load.m_queued_tokens) /
                                runner.m_info.m_prefill_rate -
                            elapsed;
    return std::max({0.0, own, reported});
}

double slot_wait(const runner_row& runner, std::uint32_t load)
{
    const auto slots = std::max(1U, runner.m_info.m_slots);
    if (load < slots)
        return 0;
    const double one_call = runner.m_mean_output / runner.m_info.m_decode_rate;
    return (load - slots + 1) * one_call / slots;
}

} // namespace

std::uint32_t estimated_load(const runner_row& runner)
{
    const auto measured = runner.m_load_at - runner.m_load.m_age;
    const std::uint32_t reported =
        runner.m_load.m_running + runner.m_load.m_queued;
    const std::uint32_t own = own_attempts_at(runner, measured);
    const std::uint32_t others = reported > own ? reported - own : 0;
    return runner.m_in_flight + others;
}

bool is_usable(const core_state& state, const runner_row& runner)
{
    return !runner.m_info.m_leaving && !runner.m_listed_leaving &&
           runner.m_reachable && state.m_now >= runner.m_backoff_until;
}

candidate predict(const core_state& state, runner_row& runner,
                  const call_row& call, const session_row& session)
{
    candidate entry;
    entry.m_runner = &runner;
    entry.m_cached = estimated_cached_tokens(runner, session);
    const auto history =
        std::min(call.m_prompt_tokens, session.m_history_tokens);
    const auto recomputed =
        history > entry.m_cached ? history - entry.m_cached : 0;
    const auto fresh = call.m_prompt_tokens - history;
    const double weight = state.m_deployment.m_limits.m_recompute_weight;
    entry.m_wait = prefill_backlog(state, runner) +
                   slot_wait(runner, estimated_load(runner));
    entry.m_finish = entry.m_wait + fresh / runner.m_info.m_prefill_rate +
                     weight * recomputed / runner.m_info.m_prefill_rate +
                     runner.m_mean_output / runner.m_info.m_decode_rate;
    return entry;
}

std::uint32_t estimated_cached_tokens(const runner_row& runner,
                                      const session_row& session)
{
    const auto found = session.m_prefixes.find(runner.m_info.m_name);
    if (found == session.m_prefixes.end())
        return 0;
    const auto& prefix = found->second;
    if (prefix.m_at < runner.m_cache_reset_at)
        return 0;
    // Engines evict the least recently used tokens; if more than the cache
    // holds has been sent since, the prefix has been evicted.
    const auto since = runner.m_sent_tokens -
                       std::min(runner.m_sent_tokens, prefix.m_sent_mark);
    if (since + prefix.m_tokens > runner.m_info.m_cache_tokens)
        return 0;
    return prefix.m_tokens;
}

double predicted_wait(const core_state& state, const std::string& upstream)
{
    const auto names = state.m_runners_by_upstream.find(upstream);
    if (names == state.m_runners_by_upstream.end())
        return 0;
    double best = std::numeric_limits<double>::max();
    double total_rate = 0;
    for (const auto& name : names->second)
    {
        const auto& runner = state.m_runners.at(name);
        if (!is_usable(state, runner))
            continue;
        const double wait = prefill_backlog(state, runner) +
                            slot_wait(runner, estimated_load(runner));
        best = std::min(best, wait);
        total_rate += runner.m_info.m_slots * runner.m_info.m_decode_rate /
                      std::max(1.0, runner.m_mean_output);
    }
    if (total_rate <= 0)
        return 0;
    const auto ready = state.m_ready.find(upstream);
    const double ahead =
        ready == state.m_ready.end()
            ? 0
            : static_cast<double>(ready->second.size()) / total_rate;
    return best + ahead;
}

bool runner_usable(const core_state& state, const std::string& name)
{
    const auto runner = state.m_runners.find(name);
    return runner != state.m_runners.end() &&
           is_usable(state, runner->second) && !state.m_resumed_at;
}

} // namespace pepperturn::detail
