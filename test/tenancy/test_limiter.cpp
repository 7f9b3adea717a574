// SPDX-License-Identifier: BSL-1.0
// A workspace that begins more than its limit bears, on a virtual clock.
#include "pepperturn/tenancy/limiter.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using namespace pepperturn;

constexpr std::uint64_t some_workspace = 9;
constexpr milliseconds tick{20};

/// Programs of one workspace: each has some calls one after the other, each
/// some tenths of a second after the one before. A refused call comes back
/// once when it is told to, and is then given up.
struct program
{
    std::uint64_t m_id = 0;
    int m_calls_left = 0;
    instant m_next{};
    bool m_begun = false;
    bool m_came_back = false;
};

struct tally
{
    int m_begun = 0;
    int m_refused_at_once = 0;
    int m_whole = 0;
    int m_broken_off = 0;
};

constexpr int calls_a_program = 16;
constexpr milliseconds between_calls{250};

/// \param times how many times what the limit bears is begun
tally play(double times, const request_limit& limit)
{
    limiter counting;
    tally out;
    std::vector<program> programs;
    const instant start = instant{} + std::chrono::seconds(100);
    const double begun_per_tick =
        times * limit.m_rate_per_s / calls_a_program * to_seconds(tick);
    double due = 0;
    for (instant now = start; now < start + std::chrono::seconds(40);
         now += tick)
    {
        for (due += begun_per_tick; due >= 1; --due)
            programs.push_back({programs.size() + 1, calls_a_program, now});
        for (auto& row : programs)
        {
            if (row.m_calls_left == 0 || now < row.m_next)
                continue;
            const auto told = counting.ask(
                {some_workspace, limit, 1, row.m_id, !row.m_begun, false}, 1.0,
                instant{} + milliseconds(1), now);
            if (told.m_outcome == quota_outcome::granted)
            {
                out.m_begun += row.m_begun ? 0 : 1;
                row.m_begun = true;
                row.m_came_back = false;
                row.m_next = now + between_calls;
                if (--row.m_calls_left == 0)
                    ++out.m_whole;
            }
            else if (!row.m_came_back)
            {
                row.m_came_back = true;
                row.m_next = now + milliseconds(told.m_retry_ms);
            }
            else
            {
                row.m_calls_left = 0;
                out.m_broken_off += row.m_begun ? 1 : 0;
                out.m_refused_at_once += row.m_begun ? 0 : 1;
            }
        }
    }
    return out;
}

} // namespace

TEST_CASE("a workspace far over its limit ends the programs that it begins",
          "[tenancy][load]")
{
    struct sample
    {
        double m_times;
        double m_most_broken_off;
    };
    const auto each = GENERATE(values<sample>({
        {0.6, 0.0},
        {2.6, 0.1},
        {7.5, 0.1},
    }));
    const request_limit limit{80, 80};
    const auto seen = play(each.m_times, limit);
    INFO("begun " << seen.m_begun << ", whole " << seen.m_whole
                  << ", broken off " << seen.m_broken_off << ", refused "
                  << seen.m_refused_at_once);
    CHECK(seen.m_broken_off <= each.m_most_broken_off * seen.m_begun);
    // Forty seconds at five programs a second, less those under way.
    if (each.m_times > 1)
        CHECK(seen.m_whole >= 150);
    else
        CHECK(seen.m_refused_at_once == 0);
}

TEST_CASE("a small workspace begins one program at a time", "[tenancy][load]")
{
    const auto seen = play(0.6, {2, 2});
    INFO("begun " << seen.m_begun << ", whole " << seen.m_whole << ", refused "
                  << seen.m_refused_at_once);
    CHECK(seen.m_refused_at_once <= 1);
    CHECK(seen.m_broken_off == 0);
}

TEST_CASE("a grant that was not used counts for nothing", "[tenancy]")
{
    limiter counting;
    const instant now = instant{} + std::chrono::seconds(100);
    const instant since = instant{} + std::chrono::seconds(1);
    quota_question question{some_workspace, {10, 10}, 1, 0, false, false};
    int granted = 0;
    while (counting.ask(question, 1.0, since, now).m_outcome ==
           quota_outcome::granted)
        ++granted;
    CHECK(granted == 26);
    question.m_returned = true;
    (void)counting.ask(question, 1.0, since, now);
    question.m_returned = false;
    CHECK(counting.ask(question, 1.0, since, now).m_outcome ==
          quota_outcome::granted);
    const auto told = counting.ask(question, 1.0, since, now);
    CHECK(told.m_outcome == quota_outcome::over_limit);
    CHECK(told.m_retry_ms == 100);
    // Who owns no share grants nothing.
    CHECK(counting.ask(question, 0.0, since, now).m_outcome ==
          quota_outcome::not_owner);
    CHECK(counting.count(quota_outcome::granted) == 27);
}
