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
/// How long a call waits for room, as an edge VM would have it.
constexpr std::uint32_t patience_ms = 500;

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
            const auto told =
                counting.handle({some_workspace, limit, 1, row.m_id,
                                 !row.m_begun, false, patience_ms},
                                1.0, instant{} + milliseconds(1), now);
            if (told.m_outcome == quota_outcome::granted)
            {
                out.m_begun += row.m_begun ? 0 : 1;
                row.m_begun = true;
                row.m_came_back = false;
                row.m_next =
                    now + between_calls + wait_of_grant(told.m_packed_grant);
                if (--row.m_calls_left == 0)
                    ++out.m_whole;
            }
            else if (!row.m_came_back)
            {
                row.m_came_back = true;
                row.m_next = now + milliseconds(told.m_retry_after_ms);
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
    quota_request question{some_workspace, {10, 10}, 1, 0, false, false};
    int granted = 0;
    quota_reply last;
    while (true)
    {
        const auto told = counting.handle(question, 1.0, since, now);
        if (told.m_outcome != quota_outcome::granted)
            break;
        last = told;
        ++granted;
    }
    // Of a window's 82.5 a quarter second holds 32.5 and 2.5.
    CHECK(granted == 35);
    question.m_is_return = true;
    question.m_packed_grant = last.m_packed_grant;
    (void)counting.handle(question, 1.0, since, now);
    question.m_is_return = false;
    question.m_packed_grant = 0;
    CHECK(counting.handle(question, 1.0, since, now).m_outcome ==
          quota_outcome::granted);
    const auto told = counting.handle(question, 1.0, since, now);
    CHECK(told.m_outcome == quota_outcome::over_limit);
    CHECK(told.m_retry_after_ms == 300);
    // Who owns no share grants nothing.
    CHECK(counting.handle(question, 0.0, since, now).m_outcome ==
          quota_outcome::not_owner);
    CHECK(counting.count(quota_outcome::granted) == 36);
}

TEST_CASE("a place tells its slot and the wait until then", "[tenancy]")
{
    const auto now = GENERATE(std::int64_t{0}, std::int64_t{2000},
                              std::int64_t{65535}, std::int64_t{1} << 33);
    const auto offset = GENERATE(0, 1, 100, -100);
    const auto packed = pack_grant(now + offset, milliseconds(550));
    CHECK(wait_of_grant(packed) == milliseconds(550));
    CHECK(slot_of_grant(packed, now) == now + offset);
    CHECK(wait_of_grant(pack_grant(now, milliseconds(-3))) == milliseconds(0));
    CHECK(wait_of_grant(pack_grant(now, milliseconds(100000))) ==
          milliseconds(65535));
}

namespace {

/// A workspace whose window has no room for the next quarter second.
struct full_limit
{
    full_limit()
    {
        while (ask(0).m_outcome == quota_outcome::granted)
        {}
    }
    quota_reply ask(std::uint32_t wait_ms, std::uint64_t program = 1)
    {
        return m_counting.handle(
            {some_workspace, m_limit, 1, program, false, false, wait_ms}, 1.0,
            instant{} + milliseconds(1), m_now);
    }

    request_limit m_limit{10, 10};
    limiter m_counting;
    instant m_now = instant{} + std::chrono::seconds(100);
};

} // namespace

TEST_CASE("a call waits for the next place if that comes in time", "[tenancy]")
{
    full_limit full;
    const auto told = full.ask(600);
    CHECK(told.m_outcome == quota_outcome::granted);
    CHECK(wait_of_grant(told.m_packed_grant) > milliseconds(250));
    CHECK(wait_of_grant(told.m_packed_grant) < milliseconds(350));
    // It is the first in line: nobody who comes later goes before it.
    full.m_now += milliseconds(310);
    int granted = 0;
    while (full.ask(0, 2).m_outcome == quota_outcome::granted)
        ++granted;
    // Half a second holds 37.5.
    CHECK(granted == 37 - 35 - 1);
}

TEST_CASE("who is told to come back finds a place", "[tenancy]")
{
    full_limit full;
    const auto told = full.ask(100);
    REQUIRE(told.m_outcome == quota_outcome::over_limit);
    full.m_now += milliseconds(told.m_retry_after_ms + 50);
    while (full.ask(0, 2).m_outcome == quota_outcome::granted)
    {}
    CHECK(full.ask(0).m_outcome == quota_outcome::granted);
    // Once only.
    CHECK(full.ask(0).m_outcome == quota_outcome::over_limit);
}

TEST_CASE("a kept place that nobody comes for is free again", "[tenancy]")
{
    full_limit kept;
    full_limit plain;
    REQUIRE(kept.ask(100).m_outcome == quota_outcome::over_limit);
    kept.m_now += milliseconds(2000);
    plain.m_now += milliseconds(2000);
    const auto count = [](full_limit& at) {
        int out = 0;
        while (at.ask(0, 2).m_outcome == quota_outcome::granted)
            ++out;
        return out;
    };
    CHECK(count(kept) == count(plain));
}

TEST_CASE("limits that are odd or absurd neither starve nor break", "[tenancy]")
{
    struct sample
    {
        request_limit m_limit;
        int m_least;
        int m_most;
    };
    // Of one window, three owners: what the operator tolerates is never
    // passed, and each owner grants something of it.
    const auto each = GENERATE(values<sample>({
        {{0.001, 0}, 3, 20},
        {{0.5, 0.25}, 3, 23},
        {{1, 0}, 3, 25},
        {{0, 40}, 50, 64},
        {{1e9, 1e9}, 100000, 100000},
    }));
    constexpr int owners = 3;
    int granted = 0;
    for (int owner = 0; owner < owners; ++owner)
    {
        limiter counting;
        for (instant now = instant{} + std::chrono::seconds(100);
             now < instant{} + std::chrono::milliseconds(104900);
             now += milliseconds(50))
        {
            quota_request question{some_workspace, each.m_limit, 1, 0,
                                   false,          false};
            while (granted < 100000 &&
                   counting.handle(question, 1.0 / owners,
                                   instant{} + milliseconds(1), now)
                           .m_outcome == quota_outcome::granted)
                ++granted;
        }
    }
    CHECK(granted >= each.m_least);
    CHECK(granted <= each.m_most);
}

TEST_CASE("a time to wait beyond all reason is cut short", "[tenancy]")
{
    full_limit full;
    // Nobody is promised a place further ahead than a window.
    for (int i = 0; i < 300; ++i)
    {
        const auto told = full.ask(UINT32_MAX);
        if (told.m_outcome == quota_outcome::granted)
            CHECK(wait_of_grant(told.m_packed_grant) <= milliseconds(5001));
        else
            CHECK(told.m_retry_after_ms <= 5000);
    }
    CHECK(full.ask(UINT32_MAX).m_outcome == quota_outcome::over_limit);
}

TEST_CASE("a limit lowered to nothing while its line is full lets nobody past",
          "[tenancy]")
{
    full_limit full;
    for (std::uint64_t program = 1; program < 20; ++program)
        (void)full.ask(500, program);
    full.m_limit = {0.001, 0};
    int granted = 0;
    const auto ask = [&] {
        return full.m_counting.handle(
            {some_workspace, full.m_limit, 2, 3, false, false, 500}, 1.0,
            instant{} + milliseconds(1), full.m_now);
    };
    for (int i = 0; i < 1000; ++i)
        granted += ask().m_outcome == quota_outcome::granted ? 1 : 0;
    CHECK(granted <= 20);
    // Nor is it starved when its line is over.
    full.m_now += milliseconds(7000);
    CHECK(ask().m_outcome == quota_outcome::granted);
}

TEST_CASE("programs that were put off begin before those that come later",
          "[tenancy]")
{
    limiter counting;
    const request_limit limit{10, 10};
    instant now = instant{} + std::chrono::seconds(100);
    const auto begin = [&](std::uint64_t program) {
        return counting.handle(
            {some_workspace, limit, 1, program, true, false, patience_ms}, 1.0,
            instant{} + milliseconds(1), now);
    };
    std::uint64_t next = 1;
    while (begin(next).m_outcome == quota_outcome::granted)
        ++next;
    const auto told = begin(next);
    REQUIRE(told.m_retry_after_ms >= 300);
    // Programs under way do not go on, so there is room by and by; who comes
    // in between is not let past.
    const auto first = next;
    int went_past = 0;
    const auto until = now + milliseconds(told.m_retry_after_ms);
    for (; now < until; now += milliseconds(20))
        went_past += begin(++next).m_outcome == quota_outcome::granted ? 1 : 0;
    CHECK(went_past == 0);
    bool begun = false;
    for (int tries = 0; tries < 10 && !begun; ++tries)
    {
        const auto again = begin(first);
        begun = again.m_outcome == quota_outcome::granted;
        now += milliseconds(again.m_retry_after_ms);
    }
    CHECK(begun);
}
