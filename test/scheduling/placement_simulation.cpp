// SPDX-License-Identifier: BSL-1.0
#include "scheduling/placement_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn::test {

namespace {

constexpr std::uint32_t shared_tokens = 12'600;
constexpr std::uint32_t shared_parts = 8;
/// Tokens that a turn adds to the next one's prompt, besides its response.
constexpr std::uint32_t added_tokens = 100;
constexpr std::uint32_t max_event_tokens = 31;
/// Network delay between VM and engine, and between client and VM, one way;
/// the overhead allowed per turn in the deadline.
constexpr int way_ms = 1;
constexpr int client_ms = 8;
constexpr double overhead_ms = 27;
constexpr int pause_ms = 20;
constexpr int deadline_ms = 3000;

} // namespace

simulation_result::counts
simulation_result::counts::operator+(const counts& other) const
{
    counts sum = *this;
    sum.m_programs += other.m_programs;
    sum.m_late += other.m_late;
    sum.m_refused += other.m_refused;
    sum.m_refused_waited += other.m_refused_waited;
    sum.m_refused_begun += other.m_refused_begun;
    sum.m_stretch += other.m_stretch;
    sum.m_wait_ms += other.m_wait_ms;
    sum.m_requests += other.m_requests;
    return sum;
}

double simulation_result::counts::late_share() const
{
    return m_programs == 0 ? 0 : 1.0 * m_late / m_programs;
}

double simulation_result::counts::refused_share() const
{
    return m_programs == 0 ? 0 : 1.0 * m_refused / m_programs;
}

double simulation_result::counts::mean_stretch() const
{
    const auto served = m_programs - m_refused;
    return served == 0 ? 0 : m_stretch / served;
}

double simulation_result::counts::mean_wait_ms() const
{
    return m_requests == 0 ? 0 : m_wait_ms / m_requests;
}

placement_simulation::placement_simulation(simulation_config config,
                                           std::uint64_t seed)
    : m_config(std::move(config)), m_random(seed)
{
    const auto slow_in = m_config.m_one_slow_in;
    for (std::uint32_t i = 0; i < m_config.m_engines; ++i)
    {
        double speed = 1;
        if (slow_in != 0)
            speed = i % slow_in == 0 ? m_config.m_slow_speed
                                     : m_config.m_usual_speed;
        // Separate random numbers for noise, so that it is the same for each
        // policy.
        m_engines.emplace_back(m_config.m_engine, speed, seed * 1000 + i);
    }
    m_result.m_begun.resize(m_engines.size());
}

void placement_simulation::set_slowdown(std::uint32_t engine, double factor)
{
    m_engines[engine].set_slowdown(factor);
}

std::vector<engine_info> placement_simulation::engines() const
{
    std::vector<engine_info> facts;
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        facts.push_back(
            {.m_runner = i + 1,
             .m_availability_zone = std::to_string(i / 4 % 3),
             .m_slots = m_config.m_engine.m_slots,
             .m_token_capacity = m_config.m_engine.m_reported_capacity});
    return facts;
}

simulation_result placement_simulation::run(placement_policy& policy,
                                            std::uint32_t vms, int from_ms,
                                            int until_ms)
{
    m_policy = &policy;
    m_vms = vms;
    m_from = from_ms;
    for (m_now = 0; m_now < until_ms; ++m_now)
    {
        m_at(m_now);
        begin_programs();
        take_events();
        run_engines();
        time_out_hung();
        for (const auto& row : policy.take_decisions(now()))
            apply_reply(row.m_call, row.m_reply);
        sample();
    }
    for (const auto& engine : m_engines)
        m_result.m_shared_tokens_read += engine.long_part_tokens_prefilled();
    m_result.m_busiest /= std::max(m_samples, 1.0);
    return m_result;
}

void placement_simulation::take_events()
{
    while (!m_events.empty() && m_events.begin()->first <= m_now)
    {
        const auto next = m_events.begin()->second;
        m_events.erase(m_events.begin());
        if (next.m_step == step::turn)
            begin_turn(next.m_id);
        else if (next.m_step == step::report)
            m_policy->report(next.m_report, next.m_vm, now());
        else if (const auto row = m_calls.find(next.m_id); row != m_calls.end())
            m_engines[row->second.m_engine].add({row->first,
                                                 row->second.m_request.m_parts,
                                                 row->second.m_tokens});
    }
}

void placement_simulation::run_engines()
{
    for (auto& engine : m_engines)
    {
        for (const auto& end : engine.run(m_now))
            end_call(end.m_call, placement_end::whole, end.m_first_byte_at);
    }
}

std::uint64_t placement_simulation::draw_shared()
{
    // The n-th part is requested 1/n as often as the first.
    double sum = 0;
    for (std::uint32_t i = 1; i <= shared_parts; ++i)
        sum += 1.0 / i;
    double left = draw(m_random) * sum;
    std::uint64_t chosen = 1;
    while (chosen < shared_parts && (left -= 1.0 / chosen) > 0)
        ++chosen;
    return chosen;
}

instant placement_simulation::now() const
{
    return instant(seconds(1000) + milliseconds(m_now));
}

void placement_simulation::begin_programs()
{
    const double first = m_config.m_first_workspace_load(m_now);
    const double others = m_config.m_workspaces - 1;
    const double extra = m_config.m_workspaces == 1
                             ? 1
                             : (first + others) / m_config.m_workspaces;
    for (std::uint32_t kind = 0; kind < m_config.m_kinds.size(); ++kind)
    {
        const double expected = m_config.m_kinds[kind].m_per_second / 1000 *
                                m_config.m_demand(m_now) * extra;
        // Poisson arrivals, by exponential intervals.
        for (double at = -std::log(1 - draw(m_random)); at < expected;
             at -= std::log(1 - draw(m_random)))
        {
            program next;
            next.m_kind = kind;
            next.m_shared = kind * shared_parts + draw_shared();
            next.m_started = m_now;
            const double share = first / (first + others);
            next.m_workspace =
                draw(m_random) < share
                    ? 1
                    : 2 + static_cast<std::uint64_t>(draw(m_random) * others);
            next.m_random.seed(m_random());
            m_programs.emplace(++m_last_id, next);
            begin_turn(m_last_id);
        }
    }
}

void placement_simulation::begin_turn(std::uint64_t id)
{
    auto& program = m_programs.at(id);
    const auto& kind = m_config.m_kinds[program.m_kind];
    turn_call call;
    for (std::uint32_t i = 0; i < m_config.m_events; ++i)
        call.m_tokens += 1 + static_cast<std::uint32_t>(draw(program.m_random) *
                                                        max_event_tokens);
    const auto own =
        kind.m_own_tokens + program.m_turn * (added_tokens + call.m_tokens);
    const double deadline =
        m_config.m_deadline_factor * (program.m_ideal_ms + 200) +
        m_config.m_deadline_ms;
    const milliseconds left(
        static_cast<int>(program.m_started + deadline - m_now));
    const auto rank = program.m_turn == 0 ? call_rank::first
                      : left.count() < 0  ? call_rank::late
                                          : call_rank::under_way;
    call.m_program = id;
    call.m_vm = static_cast<std::uint32_t>(draw(program.m_random) * m_vms);
    call.m_requested = m_now;
    call.m_request = {
        .m_service = simulated_service,
        .m_call = ++m_last_id,
        .m_workspace = program.m_workspace,
        .m_parts = {{program.m_shared, shared_tokens}, {1'000'000 + id, own}},
        .m_prompt_tokens = shared_tokens + own,
        .m_max_output_tokens = m_config.m_events * max_event_tokens,
        .m_rank = rank,
        .m_priority = 0,
        .m_queue_timeout_ms = static_cast<std::uint32_t>(
            queue_timeout(rank, left, milliseconds(deadline_ms)).count()),
        .m_program_time_left_ms =
            static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count())),
        .m_availability_zone = std::to_string(call.m_vm % 3),
        .m_excluded = {}};
    const auto uncached =
        program.m_turn == 0 ? own : added_tokens + call.m_tokens;
    program.m_ideal_ms +=
        overhead_ms + pause_ms +
        uncached / m_config.m_engine.m_prefill_tokens_per_ms +
        call.m_tokens * m_config.m_engine.m_token_ms *
            (1 + m_config.m_engine.m_batch_token_share * (shared_tokens + own));
    const auto number = call.m_request.m_call;
    const auto request = call.m_request;
    const auto vm = call.m_vm;
    m_calls.emplace(number, std::move(call));
    if (const auto reply = m_policy->request_placement(request, vm, now()))
        apply_reply(number, *reply);
}

void placement_simulation::apply_reply(std::uint64_t number,
                                       const placement_reply& reply)
{
    const auto row = m_calls.find(number);
    if (row == m_calls.end())
        return;
    auto& call = row->second;
    auto& counts = m_result.m_by_workspace[call.m_request.m_workspace];
    if (m_programs.at(call.m_program).m_started >= m_from)
    {
        counts.m_wait_ms += m_now - call.m_requested;
        ++counts.m_requests;
    }
    if (reply.m_outcome != placement_outcome::placed)
    {
        const auto program = call.m_program;
        const bool waited = m_now > call.m_requested;
        m_calls.erase(row);
        end_program(program, true, waited);
        return;
    }
    call.m_sent = m_now;
    call.m_engine = static_cast<std::uint32_t>(reply.m_runner - 1);
    auto& begun = m_result.m_begun[call.m_engine];
    begun.resize(std::max<std::size_t>(begun.size(), m_now / 100 + 1));
    ++begun.back();
    m_events.emplace(m_now + way_ms, event{step::arrive, number, {}, 0});
}

void placement_simulation::end_call(std::uint64_t number, placement_end end,
                                    int first_ms)
{
    const auto row = m_calls.find(number);
    if (row == m_calls.end())
        return;
    const auto call = std::move(row->second);
    m_calls.erase(row);
    const auto ms = [](int value) {
        return static_cast<std::uint32_t>(std::max(value, 0));
    };
    placement_report report{.m_service = simulated_service,
                            .m_call = number,
                            .m_runner = call.m_engine + 1,
                            .m_end = end};
    if (end == placement_end::whole)
    {
        report.m_first_byte_ms = ms(first_ms + way_ms - call.m_sent);
        report.m_run_ms = ms(m_now - first_ms);
        report.m_output_tokens = call.m_tokens;
    }
    m_events.emplace(m_now + 2 * way_ms,
                     event{step::report, number, report, call.m_vm});
    auto& program = m_programs.at(call.m_program);
    const auto& kind = m_config.m_kinds[program.m_kind];
    if (end == placement_end::whole && ++program.m_turn == kind.m_turns)
        return end_program(call.m_program, false);
    m_events.emplace(m_now + way_ms + client_ms + pause_ms,
                     event{step::turn, call.m_program, {}, 0});
}

void placement_simulation::time_out_hung()
{
    // Calls are ordered by number, which is their order of arrival.
    if (m_calls.empty() ||
        m_calls.begin()->second.m_requested + deadline_ms > m_now)
        return;
    while (!m_calls.empty() &&
           m_calls.begin()->second.m_requested + deadline_ms <= m_now)
        end_call(m_calls.begin()->first, placement_end::broken, 0);
    for (auto& engine : m_engines)
        engine.cancel(
            [this](std::uint64_t call) { return m_calls.count(call) == 0; });
}

void placement_simulation::end_program(std::uint64_t id, bool refused,
                                       bool waited)
{
    const auto program = m_programs.at(id);
    m_programs.erase(id);
    if (program.m_started < m_from)
        return;
    const double deadline = m_config.m_deadline_factor * program.m_ideal_ms +
                            m_config.m_deadline_ms;
    const int taken = m_now + client_ms - program.m_started;
    const bool late = refused || taken > deadline;
    for (auto* counts :
         {&m_result.m_all, &m_result.m_by_second[program.m_started / 1000],
          &m_result.m_by_workspace[program.m_workspace]})
    {
        ++counts->m_programs;
        counts->m_late += late ? 1 : 0;
        counts->m_refused += refused ? 1 : 0;
        counts->m_refused_waited += waited ? 1 : 0;
        counts->m_refused_begun += refused && program.m_turn > 0 ? 1 : 0;
        counts->m_stretch += refused ? 0 : taken / program.m_ideal_ms;
    }
}

void placement_simulation::sample()
{
    if (m_now < m_from)
        return;
    double max_calls = 0;
    double sum = 0;
    for (const auto& engine : m_engines)
    {
        const auto calls = 1.0 * engine.calls();
        max_calls = std::max(max_calls, calls);
        sum += calls;
    }
    if (sum == 0)
        return;
    m_result.m_busiest +=
        max_calls / (sum / static_cast<double>(m_engines.size()));
    ++m_samples;
}

} // namespace pepperturn::test
