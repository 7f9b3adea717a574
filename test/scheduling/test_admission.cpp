// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/admission.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <vector>

namespace {

using namespace pepperturn;

/// Simulates engines with a fixed number of slots and a FIFO queue, one VM,
/// and programs of three turns that arrive at even intervals: at twice the
/// capacity of the engines, for six seconds.
class burst
{
public:
    struct outcome
    {
        unsigned m_in_time = 0;
        unsigned m_refusals = 0;
        double m_longest_engine_wait_ms = 0;
    };

    explicit burst(bool limited) : m_limited(limited) {}

    outcome simulate()
    {
        constexpr milliseconds normal{2000};
        constexpr milliseconds end{8000};
        auto next = instant{} + milliseconds(1);
        while (next < instant{} + end)
        {
            m_programs.emplace_back(program{next + deadline});
            const auto id = m_programs.size() - 1;
            at(next, [this, id] { request(id); });
            next +=
                next < instant{} + normal ? normal_interval : burst_interval;
        }
        while (!m_events.empty())
        {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        return m_out;
    }

private:
    static constexpr unsigned turns = 3;
    static constexpr std::uint32_t slots = 30;
    static constexpr milliseconds prefill{20};
    static constexpr milliseconds run{250};
    static constexpr milliseconds think{60};
    /// About 1.6 times the duration of a program on idle engines, plus a
    /// quarter of a second.
    static constexpr milliseconds deadline{1770};
    /// The engines complete 111 turns, 37 programs a second.
    static constexpr milliseconds normal_interval{54};
    static constexpr milliseconds burst_interval{14};
    static constexpr milliseconds call_time{4000};
    static constexpr unsigned max_attempts = 6;

    struct program
    {
        instant m_deadline{};
        unsigned m_turn = 0;
        unsigned m_attempts = 0;
    };
    struct queued
    {
        waiting_call m_call;
        std::size_t m_program = 0;
        instant m_timeout_at{};
    };

    void at(instant when, std::function<void()> what)
    {
        m_events.emplace(when, std::move(what));
    }
    void request(std::size_t id)
    {
        const auto& row = m_programs[id];
        if (!m_limited)
        {
            send(id);
            return;
        }
        const auto left =
            std::max(elapsed(m_now, row.m_deadline), milliseconds(0));
        const auto rank = left == milliseconds(0) ? call_rank::late
                          : row.m_turn > 0        ? call_rank::under_way
                                                  : call_rank::first;
        const waiting_call call{rank, ++m_number};
        const auto ahead = static_cast<std::size_t>(std::count_if(
            m_queue_entries.begin(), m_queue_entries.end(),
            [&](const auto& other) { return precedes(other.m_call, call); }));
        const auto timeout = queue_timeout(rank, left, call_time);
        const auto expected = expected_wait(m_rates[rank], ahead, m_now);
        if (expected > timeout)
        {
            refuse(id, expected);
            return;
        }
        m_queue_entries.push_back({call, id, m_now + timeout});
        at(m_now + timeout,
           [this, number = call.m_sequence] { time_out(number); });
        admit();
    }
    void time_out(std::uint64_t number)
    {
        const auto found = std::find_if(
            m_queue_entries.begin(), m_queue_entries.end(),
            [&](const auto& row) { return row.m_call.m_sequence == number; });
        if (found == m_queue_entries.end())
            return;
        const auto id = found->m_program;
        m_queue_entries.erase(found);
        refuse(id, milliseconds(0));
    }
    void refuse(std::size_t id, milliseconds expected)
    {
        ++m_out.m_refusals;
        if (++m_programs[id].m_attempts < max_attempts)
            at(m_now + retry_delay(expected, id), [this, id] { request(id); });
    }
    void admit()
    {
        while (!m_queue_entries.empty() && m_under_way < m_limit.m_limit)
        {
            const auto next =
                std::min_element(m_queue_entries.begin(), m_queue_entries.end(),
                                 [](const auto& left, const auto& right) {
                                     return precedes(left.m_call, right.m_call);
                                 });
            const auto chosen = *next;
            m_queue_entries.erase(next);
            auto& rate = m_rates[chosen.m_call.m_rank];
            rate = add_admission(rate, m_now);
            send(chosen.m_program);
        }
    }
    void send(std::size_t id)
    {
        ++m_under_way;
        m_queue.push_back({id, m_now});
        start();
    }
    void start()
    {
        while (m_running < slots && !m_queue.empty())
        {
            const auto [id, sent] = m_queue.front();
            m_queue.erase(m_queue.begin());
            ++m_running;
            const auto wait = elapsed(sent, m_now + prefill);
            m_out.m_longest_engine_wait_ms =
                std::max(m_out.m_longest_engine_wait_ms,
                         static_cast<double>(wait.count()));
            at(m_now + prefill + run, [this, id = id, wait] { end(id, wait); });
        }
    }
    void end(std::size_t id, milliseconds wait)
    {
        --m_running;
        --m_under_way;
        m_latency = add_call(m_latency, static_cast<double>(wait.count()),
                             static_cast<double>(run.count()));
        m_limit = adjust_limit(m_limit, m_latency, m_under_way);
        auto& row = m_programs[id];
        if (++row.m_turn < turns)
            at(m_now + think, [this, id] { request(id); });
        else if (m_now <= row.m_deadline)
            ++m_out.m_in_time;
        start();
        admit();
    }

    bool m_limited;
    instant m_now{};
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<program> m_programs;
    std::vector<std::pair<std::size_t, instant>> m_queue;
    std::uint32_t m_running = 0;
    std::uint32_t m_under_way = 0;
    std::uint64_t m_number = 0;
    std::vector<queued> m_queue_entries;
    std::map<call_rank, admission_rate> m_rates;
    call_latency m_latency;
    concurrency_limit m_limit;
    outcome m_out;
};

} // namespace

TEST_CASE("in a burst, programs that have begun finish in time", "[scheduling]")
{
    // Without admission control every program waits at every turn and misses
    // its deadline.
    const auto unlimited = burst(false).simulate();
    const auto limited = burst(true).simulate();
    INFO("open " << unlimited.m_in_time << " gated " << limited.m_in_time
                 << " refusals " << limited.m_refusals);
    CHECK(limited.m_in_time > 2 * unlimited.m_in_time);
    CHECK(unlimited.m_longest_engine_wait_ms > 1500);
    CHECK(limited.m_longest_engine_wait_ms < 700);
    CHECK(unlimited.m_refusals == 0);
}

TEST_CASE("engines with free slots are not limited", "[scheduling]")
{
    CHECK(rc::check("short waits", [] {
        call_latency latency;
        concurrency_limit limit;
        const auto calls = *rc::gen::inRange<std::uint32_t>(0, 200);
        for (int i = 0; i < 200; ++i)
        {
            latency = add_call(latency, *rc::gen::inRange(15, 60), 250);
            limit = adjust_limit(limit, latency, calls);
            RC_ASSERT(limit == concurrency_limit{});
        }
    }));
}

TEST_CASE("the limit follows the concurrency that a short wait allows",
          "[scheduling]")
{
    struct sample
    {
        std::string m_name;
        call_latency m_latency;
        double m_limit;
        std::uint32_t m_under_way;
        bool m_falls;
        bool m_rises;
    };
    const double none = concurrency_limit{}.m_limit;
    const auto each = GENERATE_COPY(values<sample>({
        {"a short burst sets no limit", {100, 20, 250}, none, 40, false, false},
        {"long waits set one", {500, 20, 250}, none, 40, true, false},
        {"waits above the unqueued one lower it",
         {150, 20, 250},
         30,
         30,
         true,
         false},
        {"short waits raise it", {30, 20, 250}, 30, 30, false, true},
        {"low load does not lower it", {30, 20, 250}, 30, 20, false, false},
        {"it ends once it has no effect", {30, 20, 250}, 30, 5, false, true},
        {"waits of a few milliseconds indicate no queue",
         {50, 2, 20},
         30,
         29,
         false,
         true},
    }));
    INFO(each.m_name);
    const auto after =
        adjust_limit({each.m_limit}, each.m_latency, each.m_under_way);
    CHECK((after.m_limit < each.m_limit) == each.m_falls);
    CHECK((after.m_limit > each.m_limit) == each.m_rises);
    CHECK(after.m_limit >= 2);
}

TEST_CASE("queue timeout by rank and remaining time", "[scheduling]")
{
    struct sample
    {
        call_rank m_rank;
        std::optional<milliseconds> m_program_left;
        milliseconds m_call_left;
        milliseconds m_timeout;
    };
    const auto each = GENERATE(values<sample>({
        {call_rank::under_way, milliseconds(100), milliseconds(4000),
         milliseconds(1500)},
        {call_rank::under_way, {}, milliseconds(1000), milliseconds(500)},
        {call_rank::first, milliseconds(2000), milliseconds(4000),
         milliseconds(400)},
        {call_rank::first, {}, milliseconds(4000), milliseconds(700)},
        {call_rank::first, milliseconds(9000), milliseconds(800),
         milliseconds(200)},
        {call_rank::late, milliseconds(0), milliseconds(4000),
         milliseconds(700)},
    }));
    CHECK(queue_timeout(each.m_rank, each.m_program_left, each.m_call_left) ==
          each.m_timeout);
}

TEST_CASE("expected wait in a queue", "[scheduling]")
{
    admission_rate rate;
    instant now{milliseconds(1000)};
    CHECK(expected_wait(rate, 100, now) == milliseconds(0));
    for (int i = 0; i < 100; ++i)
    {
        now += milliseconds(20);
        rate = add_admission(rate, now);
    }
    CHECK(expected_wait(rate, 0, now) == milliseconds(0));
    CHECK(expected_wait(rate, 10, now) == milliseconds(200));
    // Grows while no call is admitted.
    CHECK(expected_wait(rate, 10, now + milliseconds(100)) ==
          milliseconds(1000));
    // A queue that was empty for long has no known rate.
    CHECK(expected_wait(rate, 10, now + milliseconds(1500)) == milliseconds(0));
}

TEST_CASE("retry delays are bounded and spread", "[scheduling]")
{
    CHECK(rc::check("bounds", [](std::uint16_t expected, std::uint64_t random) {
        const auto after = retry_delay(milliseconds(expected), random);
        RC_ASSERT(after >= milliseconds(250));
        RC_ASSERT(after < milliseconds(1050));
    }));
    CHECK(retry_delay(milliseconds(0), 1) != retry_delay(milliseconds(0), 2));
}
