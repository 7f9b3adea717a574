// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement_service.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace pepperturn {

namespace {

/// Upper bound on the queue timeout that a caller requests.
constexpr std::uint32_t max_queue_timeout_ms = 10'000;

std::uint32_t to_count(double value)
{
    constexpr double max_count = std::numeric_limits<std::uint32_t>::max();
    // Also catches NaN, which compares false.
    if (!(value > 0))
        return 0;
    return static_cast<std::uint32_t>(std::min(value, max_count));
}

/// Removes the rows that are not good, unless none is.
template <class Row, class Good>
void keep_if_any(std::vector<Row>& rows, Good good)
{
    if (std::any_of(rows.begin(), rows.end(), good))
        std::erase_if(rows, std::not_fn(good));
}

/// True if the regions that the call may use include the engine's.
bool is_allowed(const engine_info& engine, const placement_request& request)
{
    const auto& regions = request.m_regions;
    return regions.empty() || std::find(regions.begin(), regions.end(),
                                        engine.m_region) != regions.end();
}

bool contains(const std::vector<std::uint64_t>& values, std::uint64_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

placement_counters operator+(const placement_counters& left,
                             const placement_counters& right)
{
    placement_counters sum = left;
    sum.m_placed += right.m_placed;
    sum.m_prompt_tokens += right.m_prompt_tokens;
    sum.m_cached_tokens += right.m_cached_tokens;
    sum.m_waited += right.m_waited;
    sum.m_no_room += right.m_no_room;
    sum.m_forced += right.m_forced;
    sum.m_moved += right.m_moved;
    sum.m_unknown_reports += right.m_unknown_reports;
    sum.m_lost += right.m_lost;
    sum.m_broken += right.m_broken;
    sum.m_not_run += right.m_not_run;
    return sum;
}

void placement_service::set_engines(const std::vector<engine_info>& engines)
{
    std::vector<engine_record> next;
    std::unordered_map<std::uint64_t, std::size_t> index;
    next.reserve(engines.size());
    index.reserve(engines.size());
    for (const auto& facts : engines)
    {
        if (!index.emplace(facts.m_runner, next.size()).second)
            continue;
        auto* known = find(facts.m_runner);
        next.push_back(known == nullptr ? engine_record{} : std::move(*known));
        next.back().m_info = facts;
    }
    m_engines = std::move(next);
    m_index = std::move(index);
    std::erase_if(m_placements, [this](const auto& row) {
        return find(row.second) == nullptr;
    });
}

std::optional<placement_reply>
placement_service::request_placement(const placement_request& request,
                                     instant now)
{
    abandon(request.m_call);
    if (!has_engines())
        return placement_reply{.m_outcome = placement_outcome::not_placing};
    if (m_queue.m_size == 0)
    {
        if (auto reply = place(request, slot_policy::free_slots, now))
            return reply;
    }
    return queue_request(request, now);
}

std::optional<placement_reply>
placement_service::queue_request(const placement_request& request, instant now)
{
    const auto timeout = milliseconds(
        std::min(request.m_queue_timeout_ms, max_queue_timeout_ms));
    const queued_call entry{.m_call = request.m_call,
                            .m_workspace = request.m_workspace,
                            .m_rank = request.m_rank,
                            .m_priority = request.m_priority,
                            .m_enqueued = now,
                            .m_deadline = now + timeout,
                            .m_work_ms = expected_work_ms(request)};
    const double wait = expected_wait_ms(entry, now);
    if (wait > static_cast<double>(timeout.count()))
    {
        ++m_counters.m_no_room;
        return placement_reply{.m_outcome = placement_outcome::no_room,
                               .m_retry_after_ms = to_count(wait) + 1};
    }
    ++m_counters.m_waited;
    enqueue_call(m_queue, entry);
    m_queued_requests.emplace(request.m_call, request);
    advance_queue(now);
    // The call may have been placed at once.
    if (m_decisions.empty() || m_decisions.back().m_call != request.m_call)
        return std::nullopt;
    const auto reply = m_decisions.back().m_reply;
    m_decisions.pop_back();
    return reply;
}

void placement_service::report(const placement_report& report, instant now)
{
    const auto row = m_placements.find(report.m_call);
    if (row == m_placements.end())
    {
        // The caller of a queued call may have abandoned it.
        if (!leave_queue(report.m_call))
            ++m_counters.m_unknown_reports;
        return;
    }
    auto* engine = find(row->second);
    m_placements.erase(row);
    auto call = engine == nullptr ? std::nullopt
                                  : remove_running_call(*engine, report.m_call);
    if (!call)
        return;
    if (report.m_end == placement_end::broken)
        ++m_counters.m_broken;
    if (report.m_end == placement_end::not_run)
        ++m_counters.m_not_run;
    if (report.m_runner == 0 || report.m_runner == engine->m_info.m_runner)
        learn_from_end(*engine, m_profile, *call, report, now);
    else
        end_on_other_engine(std::move(*call), report, *engine, now);
    advance_queue(now);
}

void placement_service::end_on_other_engine(running_call call,
                                            const placement_report& report,
                                            engine_record& assigned,
                                            instant now)
{
    ++m_counters.m_moved;
    forget_parts(assigned.m_cache, call.m_call);
    auto* engine = find(report.m_runner);
    if (engine == nullptr)
        return;
    // Which calls ran beside it there and what it prefilled is unknown, so its
    // times are not used.
    auto adjusted = report;
    adjusted.m_run_ms = 0;
    adjusted.m_first_byte_ms = 0;
    call.m_uncached_tokens = 0;
    learn_from_end(*engine, m_profile, call, adjusted, now);
}

void placement_service::take_decisions(instant now,
                                       std::vector<placement_decision>& out)
{
    for (auto& engine : m_engines)
    {
        for (const auto& call : remove_lost_calls(engine, now))
        {
            m_placements.erase(call.m_call);
            ++m_counters.m_lost;
        }
    }
    if (m_queue.m_size > 0 && !has_engines())
        close(m_decisions);
    advance_queue(now);
    expire_queued(now);
    out.insert(out.end(), m_decisions.begin(), m_decisions.end());
    m_decisions.clear();
}

void placement_service::close(std::vector<placement_decision>& out)
{
    for (const auto& row : m_queue.m_workspaces)
    {
        for (const auto& entry : row.m_calls)
            out.push_back({.m_call = entry.m_call, .m_reply = {}});
    }
    m_queue = {};
    m_queued_requests.clear();
}

void placement_service::advance_queue(instant now)
{
    while (const auto* next = next_queued(m_queue))
    {
        const auto call = next->m_call;
        const auto reply =
            place(m_queued_requests.at(call), slot_policy::free_slots, now);
        if (!reply)
            return;
        dequeue_next(m_queue, now);
        m_queued_requests.erase(call);
        decide(call, *reply);
    }
}

void placement_service::expire_queued(instant now)
{
    for (const auto& entry : remove_expired(m_queue, now))
    {
        const auto row = m_queued_requests.find(entry.m_call);
        if (row == m_queued_requests.end())
            continue;
        const auto request = std::move(row->second);
        m_queued_requests.erase(row);
        std::optional<placement_reply> reply;
        if (has_begun_program(entry))
            reply = place(request, slot_policy::engine_queues, now);
        if (reply)
            ++m_counters.m_forced;
        else
            ++m_counters.m_no_room;
        decide(entry.m_call,
               reply.value_or(placement_reply{
                   .m_outcome = placement_outcome::no_room,
                   .m_retry_after_ms =
                       to_count(expected_wait_ms(entry, now)) + 1}));
    }
}

std::size_t placement_service::full_engines() const
{
    return static_cast<std::size_t>(std::count_if(
        m_engines.begin(), m_engines.end(), [](const engine_record& row) {
            return row.m_calls.size() >= row.m_info.m_slots;
        }));
}

bool placement_service::has_engines() const
{
    return std::any_of(
        m_engines.begin(), m_engines.end(),
        [](const engine_record& row) { return !row.m_info.m_draining; });
}

std::optional<placement_reply>
placement_service::place(const placement_request& request, slot_policy policy,
                         instant now)
{
    evaluate_engines(request, policy, now);
    const auto chosen = choose_engine(request);
    if (!chosen)
        return std::nullopt;
    const auto& choice = m_candidates[*chosen];
    auto& engine = m_engines[choice.m_engine];
    start_call(engine, m_profile, request, choice.m_estimate, now);
    m_placements[request.m_call] = engine.m_info.m_runner;
    ++m_counters.m_placed;
    m_counters.m_prompt_tokens += request.m_prompt_tokens;
    m_counters.m_cached_tokens += choice.m_estimate.m_cached_tokens;
    return placement_reply{
        .m_outcome = placement_outcome::placed,
        .m_runner = engine.m_info.m_runner,
        .m_cached_tokens = choice.m_estimate.m_cached_tokens,
        .m_under_way = static_cast<std::uint32_t>(engine.m_calls.size()),
        .m_expected_ms = to_count(engine.m_calls.back().m_expected_ms)};
}

void placement_service::evaluate_engines(const placement_request& request,
                                         slot_policy policy, instant now)
{
    m_candidates.clear();
    for (std::size_t i = 0; i < m_engines.size(); ++i)
    {
        const auto& engine = m_engines[i];
        if (engine.m_info.m_draining || is_cold_limited(engine, now) ||
            !is_allowed(engine.m_info, request))
            continue;
        candidate row;
        row.m_engine = i;
        row.m_estimate = estimate_engine(engine, m_profile, request, now);
        row.m_deprioritised = is_deprioritised(row.m_estimate, m_profile);
        row.m_excluded = contains(request.m_excluded, engine.m_info.m_runner);
        row.m_cost = engine_cost(row.m_estimate, predict_run(row.m_estimate));
        m_candidates.push_back(row);
    }
    if (policy == slot_policy::free_slots && !has_free_slot())
        return m_candidates.clear();
    // Engines that refused the call or appear to hang are used only if all do.
    keep_if_any(m_candidates,
                [](const candidate& row) { return !row.m_excluded; });
    keep_if_any(m_candidates,
                [](const candidate& row) { return !row.m_deprioritised; });
    std::erase_if(m_candidates, [](const candidate& row) {
        return is_overloaded(row.m_estimate.m_under_way,
                             row.m_estimate.m_slots);
    });
}

bool placement_service::has_free_slot() const
{
    // An engine that has refused this one call is available to others: a call
    // that cannot use it goes into another engine's queue rather than blocking
    // the placement queue.
    const bool all_deprioritised =
        std::all_of(m_candidates.begin(), m_candidates.end(),
                    [](const candidate& row) { return row.m_deprioritised; });
    return std::any_of(m_candidates.begin(), m_candidates.end(),
                       [all_deprioritised](const candidate& row) {
                           return (all_deprioritised || !row.m_deprioritised) &&
                                  !is_full(row.m_estimate.m_under_way,
                                           row.m_estimate.m_slots);
                       });
}

std::optional<std::size_t>
placement_service::choose_engine(const placement_request& request) const
{
    double best = std::numeric_limits<double>::infinity();
    for (const auto& row : m_candidates)
        best = std::min(best, row.m_cost);
    std::optional<std::size_t> chosen;
    std::pair<bool, std::uint64_t> lowest;
    for (std::size_t i = 0; i < m_candidates.size(); ++i)
    {
        const auto& row = m_candidates[i];
        if (!nearly_equal(row.m_cost, best))
            continue;
        const auto runner = m_engines[row.m_engine].m_info.m_runner;
        // Prefers the caller's zone, then decides by hash.
        const std::pair order(row.m_estimate.m_other_zone,
                              hash_combine(request.m_call, runner));
        if (chosen && order >= lowest)
            continue;
        chosen = i;
        lowest = order;
    }
    return chosen;
}

double
placement_service::expected_work_ms(const placement_request& request) const
{
    // What the engine has cached is unknown until one is chosen; the last part
    // is the conversation's own, and new in some of its tokens.
    const double tokens = expected_output_tokens(m_profile, request);
    const double own = request.m_parts.empty()
                           ? request.m_prompt_tokens
                           : request.m_parts.back().m_tokens;
    return tokens * typical_decode_token_ms(m_profile) +
           own * typical_prefill_token_ms(m_profile);
}

double placement_service::expected_wait_ms(const queued_call& entry,
                                           instant now) const
{
    double places = 0;
    for (const auto& engine : m_engines)
    {
        if (!engine.m_info.m_draining)
            places += std::max(engine.m_info.m_slots, 1U);
    }
    return expected_queue_wait(m_queue, entry, places, now);
}

bool placement_service::leave_queue(std::uint64_t call)
{
    if (m_queued_requests.erase(call) == 0)
        return false;
    return remove_queued(m_queue, call);
}

void placement_service::abandon(std::uint64_t call)
{
    (void)leave_queue(call);
    std::erase_if(m_decisions, [call](const placement_decision& row) {
        return row.m_call == call;
    });
    const auto row = m_placements.find(call);
    if (row == m_placements.end())
        return;
    if (auto* engine = find(row->second))
    {
        if (remove_running_call(*engine, call))
            forget_parts(engine->m_cache, call);
    }
    m_placements.erase(row);
}

void placement_service::decide(std::uint64_t call, const placement_reply& reply)
{
    m_decisions.push_back({.m_call = call, .m_reply = reply});
}

engine_record* placement_service::find(std::uint64_t runner)
{
    const auto row = m_index.find(runner);
    return row == m_index.end() ? nullptr : &m_engines[row->second];
}

} // namespace pepperturn
