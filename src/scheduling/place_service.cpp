// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/place_service.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace pepperturn {

namespace {

/// Longest time in line, whatever patience the caller tells.
constexpr std::uint32_t most_patience_ms = 10'000;

std::uint32_t to_count(double value)
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    // Not a number compares false.
    if (!(value > 0))
        return 0;
    return static_cast<std::uint32_t>(std::min(value, most));
}

/// Drops the rows that are not good, if any is.
template <class Row, class Good>
void keep_if_any(std::vector<Row>& rows, Good good)
{
    if (std::any_of(rows.begin(), rows.end(), good))
        std::erase_if(rows, std::not_fn(good));
}

/// By the regions that the call may go to.
bool is_allowed(const engine_facts& engine, const place_question& question)
{
    const auto& regions = question.m_regions;
    return regions.empty() || std::find(regions.begin(), regions.end(),
                                        engine.m_region) != regions.end();
}

bool contains(const std::vector<std::uint64_t>& values, std::uint64_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

place_counters operator+(const place_counters& left,
                         const place_counters& right)
{
    place_counters sum = left;
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

void place_service::follow(const std::vector<engine_facts>& engines)
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
        next.back().m_facts = facts;
    }
    m_engines = std::move(next);
    m_index = std::move(index);
    std::erase_if(m_places, [this](const auto& row) {
        return find(row.second) == nullptr;
    });
}

std::optional<place_answer> place_service::ask(const place_question& question,
                                               instant now)
{
    give_up(question.m_call);
    if (!has_engines())
        return place_answer{.m_outcome = place_outcome::not_placing};
    if (m_line.m_size == 0)
    {
        if (auto answer = place(question, reach::open, now))
            return answer;
    }
    return join_line(question, now);
}

std::optional<place_answer>
place_service::join_line(const place_question& question, instant now)
{
    const auto patience =
        milliseconds(std::min(question.m_patience_ms, most_patience_ms));
    const line_entry entry{.m_call = question.m_call,
                           .m_workspace = question.m_workspace,
                           .m_rank = question.m_rank,
                           .m_priority = question.m_priority,
                           .m_since = now,
                           .m_until = now + patience,
                           .m_work_ms = work_ms(question)};
    const double wait = wait_ms(entry, now);
    if (wait > static_cast<double>(patience.count()))
    {
        ++m_counters.m_no_room;
        return place_answer{.m_outcome = place_outcome::no_room,
                            .m_retry_ms = to_count(wait) + 1};
    }
    ++m_counters.m_waited;
    add_waiting(m_line, entry);
    m_waiting.emplace(question.m_call, question);
    advance_line(now);
    // Its turn may have come at once.
    if (m_decided.empty() || m_decided.back().m_call != question.m_call)
        return std::nullopt;
    const auto answer = m_decided.back().m_answer;
    m_decided.pop_back();
    return answer;
}

void place_service::report(const place_report& report, instant now)
{
    const auto row = m_places.find(report.m_call);
    if (row == m_places.end())
    {
        // The caller of a call in line may have given up.
        if (!leave_line(report.m_call))
            ++m_counters.m_unknown_reports;
        return;
    }
    auto* engine = find(row->second);
    m_places.erase(row);
    auto call =
        engine == nullptr ? std::nullopt : take_call(*engine, report.m_call);
    if (!call)
        return;
    if (report.m_end == place_end::broken)
        ++m_counters.m_broken;
    if (report.m_end == place_end::not_run)
        ++m_counters.m_not_run;
    if (report.m_runner == 0 || report.m_runner == engine->m_facts.m_runner)
        learn_end(*engine, m_norm, *call, report, now);
    else
        end_elsewhere(std::move(*call), report, *engine, now);
    advance_line(now);
}

void place_service::end_elsewhere(running_call call, const place_report& report,
                                  engine_record& planned, instant now)
{
    ++m_counters.m_moved;
    forget_parts(planned.m_memory, call.m_call);
    auto* engine = find(report.m_runner);
    if (engine == nullptr)
        return;
    // What ran beside it there and what it read is not known: nothing is
    // learnt of its pace.
    auto told = report;
    told.m_run_ms = 0;
    told.m_first_byte_ms = 0;
    call.m_fresh_tokens = 0;
    learn_end(*engine, m_norm, call, told, now);
}

void place_service::take_decided(instant now, std::vector<decided_place>& out)
{
    for (auto& engine : m_engines)
    {
        for (const auto& call : take_lost_calls(engine, now))
        {
            m_places.erase(call.m_call);
            ++m_counters.m_lost;
        }
    }
    if (m_line.m_size > 0 && !has_engines())
        close(m_decided);
    advance_line(now);
    end_patience(now);
    out.insert(out.end(), m_decided.begin(), m_decided.end());
    m_decided.clear();
}

void place_service::close(std::vector<decided_place>& out)
{
    for (const auto& row : m_line.m_workspaces)
    {
        for (const auto& entry : row.m_entries)
            out.push_back({.m_call = entry.m_call, .m_answer = {}});
    }
    m_line = {};
    m_waiting.clear();
}

void place_service::advance_line(instant now)
{
    while (const auto* next = next_waiting(m_line))
    {
        const auto call = next->m_call;
        const auto answer = place(m_waiting.at(call), reach::open, now);
        if (!answer)
            return;
        drop_next(m_line, now);
        m_waiting.erase(call);
        decide(call, *answer);
    }
}

void place_service::end_patience(instant now)
{
    for (const auto& entry : take_expired(m_line, now))
    {
        const auto row = m_waiting.find(entry.m_call);
        if (row == m_waiting.end())
            continue;
        const auto question = std::move(row->second);
        m_waiting.erase(row);
        std::optional<place_answer> answer;
        if (is_begun(entry))
            answer = place(question, reach::queue, now);
        if (answer)
            ++m_counters.m_forced;
        else
            ++m_counters.m_no_room;
        decide(entry.m_call,
               answer.value_or(place_answer{
                   .m_outcome = place_outcome::no_room,
                   .m_retry_ms = to_count(wait_ms(entry, now)) + 1}));
    }
}

std::size_t place_service::full_engines() const
{
    return static_cast<std::size_t>(std::count_if(
        m_engines.begin(), m_engines.end(), [](const engine_record& row) {
            return row.m_calls.size() >= row.m_facts.m_slots;
        }));
}

bool place_service::has_engines() const
{
    return std::any_of(
        m_engines.begin(), m_engines.end(),
        [](const engine_record& row) { return !row.m_facts.m_draining; });
}

std::optional<place_answer> place_service::place(const place_question& question,
                                                 reach reach, instant now)
{
    weigh_engines(question, reach, now);
    const auto chosen = choose_engine(question);
    if (!chosen)
        return std::nullopt;
    const auto& choice = m_choices[*chosen];
    auto& engine = m_engines[choice.m_engine];
    start_call(engine, m_norm, question, choice.m_outlook, now);
    m_places[question.m_call] = engine.m_facts.m_runner;
    ++m_counters.m_placed;
    m_counters.m_prompt_tokens += question.m_prompt_tokens;
    m_counters.m_cached_tokens += choice.m_outlook.m_cached_tokens;
    return place_answer{
        .m_outcome = place_outcome::placed,
        .m_runner = engine.m_facts.m_runner,
        .m_cached_tokens = choice.m_outlook.m_cached_tokens,
        .m_under_way = static_cast<std::uint32_t>(engine.m_calls.size()),
        .m_expected_ms = to_count(engine.m_calls.back().m_expected_ms)};
}

void place_service::weigh_engines(const place_question& question, reach reach,
                                  instant now)
{
    m_choices.clear();
    for (std::size_t i = 0; i < m_engines.size(); ++i)
    {
        const auto& engine = m_engines[i];
        if (engine.m_facts.m_draining || is_cold_full(engine, now) ||
            !is_allowed(engine.m_facts, question))
            continue;
        choice row;
        row.m_engine = i;
        row.m_outlook = look_at_engine(engine, m_norm, question, now);
        row.m_shunned = is_shunned(row.m_outlook, m_norm);
        row.m_excluded = contains(question.m_excluded, engine.m_facts.m_runner);
        row.m_cost = engine_cost(row.m_outlook, predict_run(row.m_outlook));
        m_choices.push_back(row);
    }
    if (reach == reach::open && !has_room())
        return m_choices.clear();
    // Those that refused or seem to hang come in only if all do.
    keep_if_any(m_choices, [](const choice& row) { return !row.m_excluded; });
    keep_if_any(m_choices, [](const choice& row) { return !row.m_shunned; });
    std::erase_if(m_choices, [](const choice& row) {
        return is_overfull(row.m_outlook.m_under_way, row.m_outlook.m_slots);
    });
}

bool place_service::has_room() const
{
    // One that has refused a single call is there for others: a call that
    // can't use it goes into another's queue rather than to stop the line.
    const bool all_shunned =
        std::all_of(m_choices.begin(), m_choices.end(),
                    [](const choice& row) { return row.m_shunned; });
    return std::any_of(
        m_choices.begin(), m_choices.end(), [all_shunned](const choice& row) {
            return (all_shunned || !row.m_shunned) &&
                   !is_full(row.m_outlook.m_under_way, row.m_outlook.m_slots);
        });
}

std::optional<std::size_t>
place_service::choose_engine(const place_question& question) const
{
    double best = std::numeric_limits<double>::infinity();
    for (const auto& row : m_choices)
        best = std::min(best, row.m_cost);
    std::optional<std::size_t> chosen;
    std::pair<bool, std::uint64_t> lowest;
    for (std::size_t i = 0; i < m_choices.size(); ++i)
    {
        const auto& row = m_choices[i];
        if (!nearly_equal(row.m_cost, best))
            continue;
        const auto runner = m_engines[row.m_engine].m_facts.m_runner;
        // The own zone first, then by lot.
        const std::pair order(row.m_outlook.m_other_zone,
                              hash_combine(question.m_call, runner));
        if (chosen && order >= lowest)
            continue;
        chosen = i;
        lowest = order;
    }
    return chosen;
}

double place_service::work_ms(const place_question& question) const
{
    // What the engine has in memory is not known before one is chosen; the
    // last part is the conversation's own, and new in some of its tokens.
    const double tokens = expected_tokens(m_norm, question);
    const double own = question.m_parts.empty()
                           ? question.m_prompt_tokens
                           : question.m_parts.back().m_tokens;
    return tokens * usual_token_ms(m_norm) + own * usual_read_token_ms(m_norm);
}

double place_service::wait_ms(const line_entry& entry, instant now) const
{
    double places = 0;
    for (const auto& engine : m_engines)
    {
        if (!engine.m_facts.m_draining)
            places += std::max(engine.m_facts.m_slots, 1U);
    }
    return expected_line_wait(m_line, entry, places, now);
}

bool place_service::leave_line(std::uint64_t call)
{
    if (m_waiting.erase(call) == 0)
        return false;
    return remove_waiting(m_line, call);
}

void place_service::give_up(std::uint64_t call)
{
    (void)leave_line(call);
    std::erase_if(m_decided, [call](const decided_place& row) {
        return row.m_call == call;
    });
    const auto row = m_places.find(call);
    if (row == m_places.end())
        return;
    if (auto* engine = find(row->second))
    {
        if (take_call(*engine, call))
            forget_parts(engine->m_memory, call);
    }
    m_places.erase(row);
}

void place_service::decide(std::uint64_t call, const place_answer& answer)
{
    m_decided.push_back({.m_call = call, .m_answer = answer});
}

engine_record* place_service::find(std::uint64_t runner)
{
    const auto row = m_index.find(runner);
    return row == m_index.end() ? nullptr : &m_engines[row->second];
}

} // namespace pepperturn
