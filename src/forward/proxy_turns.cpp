// SPDX-License-Identifier: BSL-1.0
// Turns before they are sent: their budget is reserved, and the prompt is built
// from their history.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/forward/allowed_regions.hpp"
#include "pepperturn/scheduling/retry_after.hpp"
#include "pepperturn/turns/crash_ledger.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// How long a turn waits for the storage VMs before it is refused: they
/// reply within milliseconds, a restarted one within a second.
constexpr milliseconds begin_timeout{1500};
/// Input of one turn, in bytes: it is stored in one record with its output.
constexpr std::size_t max_turn_input_bytes =
    max_frame_bytes - 2 * max_turn_output_bytes;

} // namespace

bool proxy::holds_history(call& work, std::uint64_t bytes)
{
    return work.m_buffered->set(buffer_kind::history, bytes);
}

void proxy::take_history(call& work, std::vector<turn_record> history)
{
    const auto& input = work.m_request.body();
    std::size_t bytes = input.size();
    for (const auto& turn : history)
        bytes += turn.m_input.size() + turn.m_output.size();
    work.m_body.reserve(bytes);
    for (auto& turn : history)
    {
        // Its memory is freed at once: the prompt grows by as much.
        const auto taken = std::move(turn);
        work.m_ancestors.push_back(key_of(taken.m_id));
        work.m_body += taken.m_input;
        work.m_body += taken.m_output;
    }
    std::reverse(work.m_ancestors.begin(), work.m_ancestors.end());
    work.m_body += input;
}

task<std::optional<upstream_response>>
proxy::begin_turn(std::shared_ptr<call> work)
{
    const auto& fields = work->m_fields;
    auto& begin = work->m_begin;
    // A turn that names no program has a budget of its own; one shared ledger
    // for all such turns would grow without bound.
    const auto* owner = work->m_workspace;
    begin.m_program = key_of(scoped_id(
        owner, fields.m_program.empty() ? fields.m_id : fields.m_program));
    begin.m_attempt =
        turn_attempt_key(work->m_fingerprint, scoped_id(owner, fields.m_id));
    begin.m_tokens = fields.m_max_tokens;
    begin.m_budget = fields.m_token_budget.value_or(UINT64_MAX);
    begin.m_retention_ms =
        static_cast<std::uint32_t>(stored_retention(*work->m_route).count());
    if (work->m_route->m_stateful)
        begin.m_parent = scoped_id(owner, fields.m_parent_turn);
    if (work->m_route->m_stateful &&
        work->m_request.body().size() > max_turn_input_bytes)
        co_return fail(*work, 413, "input is larger than a turn can be");
    if (begin.m_tokens > begin.m_budget)
    {
        work->m_reason = "budget=" + std::to_string(begin.m_budget) + ' ';
        co_return fail(*work, 402,
                       "token budget is smaller than the tokens of this turn");
    }
    if (!m_turns.connected())
        co_await wait_for_startup(work, [this] { return m_turns.connected(); });
    if (!m_turns.connected())
    {
        // Isolated from all storage VMs: another edge VM may not be, so the
        // caller has to reconnect.
        work->m_keep_alive = false;
        log_turn_refused(*work, m_turns.isolation());
        co_return refuse(*work, "this VM can reach no storage VM",
                         retry_after_isolated);
    }
    const auto homes = allowed_regions(*work->m_route, owner);
    if (homes && work->m_route->m_stateful &&
        !m_turns.stored_within(begin.m_program, *homes))
        co_return refuse(
            *work, "turn history cannot be stored within the allowed regions",
            retry_after_no_reply);
    work->m_budget_reserved = true;
    const auto deadline =
        std::min(work->m_deadline, std::max(m_time.now() + begin_timeout,
                                            startup_deadline(*work)));
    // A long history takes longer than a quorum's replies.
    history_options options;
    options.m_deadline = work->m_deadline;
    options.m_admit = [work](std::uint64_t bytes) {
        return holds_history(*work, bytes);
    };
    auto result = co_await m_turns.begin(begin, deadline, std::move(options));
    m_metrics.record_turn_begin(elapsed(work->m_arrived, m_time.now()));
    work->m_reason = result.m_reason + ' ';
    work->m_continues_program =
        work->m_continues_program || !result.m_prompt_locations.empty();
    if (result.m_outcome == begin_outcome::granted &&
        count_other_tries(result.m_unsettled, begin.m_attempt) >=
            max_runner_ends)
    {
        settle(*work, 0);
        m_metrics.count("turn_tries_refused");
        co_return refuse(*work,
                         "as many tries of the turn are under way as may end "
                         "runners",
                         retry_after_crashes);
    }
    if (result.m_outcome == begin_outcome::granted)
    {
        const auto last_runner = result.m_history.empty()
                                     ? std::string{}
                                     : result.m_history.back().m_runner;
        take_history(*work, std::move(result.m_history));
        const auto home = find_cached_prompt(fields.m_prompt_parts,
                                             result.m_prompt_locations);
        if (!last_runner.empty())
            work->m_preferred_runner = last_runner;
        else if (const auto* row =
                     home ? m_runners.find_incarnation_hash(home->m_runner)
                          : nullptr)
            work->m_preferred_runner = row->m_incarnation;
        if (holds_history(*work, work->m_body.size()) &&
            (m_memory.level() != pressure_level::cutting ||
             m_memory.may_read_body(work->m_body.size())))
            co_return std::nullopt;
        result.m_outcome = begin_outcome::out_of_memory;
        result.m_evidence.m_fault = begin_fault::out_of_memory;
    }
    settle(*work, 0);
    // A spent budget is told by its figures.
    if (result.m_outcome != begin_outcome::over_budget)
        log_turn_refused(*work, result.m_evidence);
    if (result.m_outcome == begin_outcome::out_of_memory)
    {
        m_memory.count_refused_request();
        co_return refuse(*work, "not enough memory for the turn history",
                         retry_after_no_reply);
    }
    if (result.m_outcome == begin_outcome::over_budget)
        co_return fail(*work, 402, "budget is spent");
    if (result.m_outcome == begin_outcome::no_such_turn)
        co_return fail(*work, 404, "parent turn does not exist");
    co_return refuse(*work, "storage", retry_after_no_reply);
}

prompt_location proxy::locate_prompt(const call& work) const
{
    const auto& parts = work.m_fields.m_prompt_parts;
    const auto* row = m_runners.find_incarnation(work.m_runner);
    // Plain services process no prompts.
    if (row == nullptr || parts.empty())
        return {};
    return {parts.back().m_id, work.m_fields.m_prompt_tokens,
            row->m_incarnation_hash};
}

void proxy::settle(call& work, std::uint32_t tokens)
{
    if (!std::exchange(work.m_budget_reserved, false))
        return;
    m_turns.settle(work.m_begin, tokens, locate_prompt(work));
}

} // namespace pepperturn
