// SPDX-License-Identifier: BSL-1.0
// A workspace that starts more programs than its limit can serve, on a virtual
// clock.
#include "pepperturn/tenancy/limiter.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using namespace pepperturn;

constexpr std::uint64_t some_workspace = 9;
constexpr milliseconds tick{20};

/// A program of a workspace: it makes its calls one after the other, at a fixed
/// interval. A refused call is retried once, at the time given in the reply; a
/// second refusal ends the program.
struct simulated_program
{
    std::uint64_t m_id = 0;
    int m_calls_left = 0;
    instant m_next{};
    bool m_started = false;
    bool m_retried = false;
};

struct simulation_result
{
    int m_started = 0;
    int m_refused_first = 0;
    int m_completed = 0;
    int m_interrupted = 0;
};

constexpr int calls_a_program = 16;
constexpr milliseconds between_calls{250};
/// Queue timeout of a call, as edge VMs set it.
constexpr std::uint32_t queue_timeout_ms = 500;

/// \param load_factor requested load as a multiple of what the limit can serve
simulation_result play(double load_factor, const request_limit& limit)
{
    limiter limiter_under_test;
    simulation_result out;
    std::vector<simulated_program> programs;
    const instant start = instant{} + std::chrono::seconds(100);
    const double started_per_tick =
        load_factor * limit.m_rate_per_s / calls_a_program * to_seconds(tick);
    double due = 0;
    for (instant now = start; now < start + std::chrono::seconds(40);
         now += tick)
    {
        for (due += started_per_tick; due >= 1; --due)
            programs.push_back({programs.size() + 1, calls_a_program, now});
        for (auto& row : programs)
        {
            if (row.m_calls_left == 0 || now < row.m_next)
                continue;
            const auto reply = limiter_under_test.handle(
                {some_workspace, limit, 1, row.m_id, !row.m_started, false,
                 queue_timeout_ms},
                1.0, instant{} + milliseconds(1), now);
            if (reply.m_outcome == quota_outcome::granted)
            {
                out.m_started += row.m_started ? 0 : 1;
                row.m_started = true;
                row.m_retried = false;
                row.m_next =
                    now + between_calls + wait_of_grant(reply.m_packed_grant);
                if (--row.m_calls_left == 0)
                    ++out.m_completed;
            }
            else if (!row.m_retried)
            {
                row.m_retried = true;
                row.m_next = now + milliseconds(reply.m_retry_after_ms);
            }
            else
            {
                row.m_calls_left = 0;
                out.m_interrupted += row.m_started ? 1 : 0;
                out.m_refused_first += row.m_started ? 0 : 1;
            }
        }
    }
    return out;
}

} // namespace

TEST_CASE(
    "a workspace far over its limit completes the programs that it starts",
    "[tenancy][load]")
{
    struct sample
    {
        double m_load_factor;
        double m_max_interrupted;
    };
    const auto each = GENERATE(values<sample>({
        {0.6, 0.0},
        {2.6, 0.1},
        {7.5, 0.1},
    }));
    const request_limit limit{80, 80};
    const auto seen = play(each.m_load_factor, limit);
    INFO("started " << seen.m_started << ", completed " << seen.m_completed
                    << ", interrupted " << seen.m_interrupted << ", refused "
                    << seen.m_refused_first);
    CHECK(seen.m_interrupted <= each.m_max_interrupted * seen.m_started);
    // Forty seconds at five programs per second, less the active ones.
    if (each.m_load_factor > 1)
        CHECK(seen.m_completed >= 150);
    else
        CHECK(seen.m_refused_first == 0);
}

TEST_CASE("a small workspace starts one program at a time", "[tenancy][load]")
{
    const auto seen = play(0.6, {2, 2});
    INFO("started " << seen.m_started << ", completed " << seen.m_completed
                    << ", refused " << seen.m_refused_first);
    CHECK(seen.m_refused_first <= 1);
    CHECK(seen.m_interrupted == 0);
}

TEST_CASE("a returned grant is not counted", "[tenancy]")
{
    limiter limiter_under_test;
    const instant now = instant{} + std::chrono::seconds(100);
    const instant since = instant{} + std::chrono::seconds(1);
    quota_request request{some_workspace, {10, 10}, 1, 0, false, false};
    int granted = 0;
    quota_reply last;
    while (true)
    {
        const auto reply = limiter_under_test.handle(request, 1.0, since, now);
        if (reply.m_outcome != quota_outcome::granted)
            break;
        last = reply;
        ++granted;
    }
    // A window holds 82.5; a quarter second holds 32.5 at once and 2.5 more.
    CHECK(granted == 35);
    request.m_is_return = true;
    request.m_packed_grant = last.m_packed_grant;
    (void)limiter_under_test.handle(request, 1.0, since, now);
    request.m_is_return = false;
    request.m_packed_grant = 0;
    CHECK(limiter_under_test.handle(request, 1.0, since, now).m_outcome ==
          quota_outcome::granted);
    const auto reply = limiter_under_test.handle(request, 1.0, since, now);
    CHECK(reply.m_outcome == quota_outcome::over_limit);
    CHECK(reply.m_retry_after_ms == 300);
    // A VM that owns no share grants nothing.
    CHECK(limiter_under_test.handle(request, 0.0, since, now).m_outcome ==
          quota_outcome::not_owner);
    CHECK(limiter_under_test.count(quota_outcome::granted) == 36);
}

TEST_CASE("a packed grant holds its slot and the wait", "[tenancy]")
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

/// A workspace whose window has no capacity for the next quarter second.
struct saturated_limit
{
    saturated_limit()
    {
        while (send(0).m_outcome == quota_outcome::granted)
        {}
    }
    quota_reply send(std::uint32_t wait_ms, std::uint64_t program = 1)
    {
        return m_limiter.handle(
            {some_workspace, m_limit, 1, program, false, false, wait_ms}, 1.0,
            instant{} + milliseconds(1), m_now);
    }

    request_limit m_limit{10, 10};
    limiter m_limiter;
    instant m_now = instant{} + std::chrono::seconds(100);
};

} // namespace

TEST_CASE("a call waits for the next free slot within its timeout", "[tenancy]")
{
    saturated_limit saturated;
    const auto reply = saturated.send(600);
    CHECK(reply.m_outcome == quota_outcome::granted);
    CHECK(wait_of_grant(reply.m_packed_grant) > milliseconds(250));
    CHECK(wait_of_grant(reply.m_packed_grant) < milliseconds(350));
    // It is first in the queue: no later request overtakes it.
    saturated.m_now += milliseconds(310);
    int granted = 0;
    while (saturated.send(0, 2).m_outcome == quota_outcome::granted)
        ++granted;
    // Half a second holds 37.5.
    CHECK(granted == 37 - 35 - 1);
}

TEST_CASE("a retry at the reported time finds its reserved slot", "[tenancy]")
{
    saturated_limit saturated;
    const auto reply = saturated.send(100);
    REQUIRE(reply.m_outcome == quota_outcome::over_limit);
    saturated.m_now += milliseconds(reply.m_retry_after_ms + 50);
    while (saturated.send(0, 2).m_outcome == quota_outcome::granted)
    {}
    CHECK(saturated.send(0).m_outcome == quota_outcome::granted);
    // Only once.
    CHECK(saturated.send(0).m_outcome == quota_outcome::over_limit);
}

TEST_CASE("a reserved slot that is not claimed is freed", "[tenancy]")
{
    saturated_limit reserved;
    saturated_limit plain;
    REQUIRE(reserved.send(100).m_outcome == quota_outcome::over_limit);
    reserved.m_now += milliseconds(2000);
    plain.m_now += milliseconds(2000);
    const auto count = [](saturated_limit& at) {
        int out = 0;
        while (at.send(0, 2).m_outcome == quota_outcome::granted)
            ++out;
        return out;
    };
    CHECK(count(reserved) == count(plain));
}

TEST_CASE("extreme limits are neither starved nor exceeded", "[tenancy]")
{
    struct sample
    {
        request_limit m_limit;
        int m_min;
        int m_max;
    };
    // Grants of three owners in one window: they never exceed what the operator
    // tolerates, and each owner grants some.
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
        limiter limiter_under_test;
        for (instant now = instant{} + std::chrono::seconds(100);
             now < instant{} + std::chrono::milliseconds(104900);
             now += milliseconds(50))
        {
            quota_request request{some_workspace, each.m_limit, 1, 0,
                                  false,          false};
            while (granted < 100000 &&
                   limiter_under_test
                           .handle(request, 1.0 / owners,
                                   instant{} + milliseconds(1), now)
                           .m_outcome == quota_outcome::granted)
                ++granted;
        }
    }
    CHECK(granted >= each.m_min);
    CHECK(granted <= each.m_max);
}

TEST_CASE("an excessive queue timeout is capped", "[tenancy]")
{
    saturated_limit saturated;
    // No slot is granted further ahead than a window.
    for (int i = 0; i < 300; ++i)
    {
        const auto reply = saturated.send(UINT32_MAX);
        if (reply.m_outcome == quota_outcome::granted)
            CHECK(wait_of_grant(reply.m_packed_grant) <= milliseconds(5001));
        else
            CHECK(reply.m_retry_after_ms <= 5000);
    }
    CHECK(saturated.send(UINT32_MAX).m_outcome == quota_outcome::over_limit);
}

TEST_CASE("a limit lowered to almost nothing with a full queue admits no more",
          "[tenancy]")
{
    saturated_limit saturated;
    for (std::uint64_t program = 1; program < 20; ++program)
        (void)saturated.send(500, program);
    saturated.m_limit = {0.001, 0};
    int granted = 0;
    const auto send = [&] {
        return saturated.m_limiter.handle(
            {some_workspace, saturated.m_limit, 2, 3, false, false, 500}, 1.0,
            instant{} + milliseconds(1), saturated.m_now);
    };
    for (int i = 0; i < 1000; ++i)
        granted += send().m_outcome == quota_outcome::granted ? 1 : 0;
    CHECK(granted <= 20);
    // The workspace is not starved either once its queue has drained.
    saturated.m_now += milliseconds(7000);
    CHECK(send().m_outcome == quota_outcome::granted);
}

TEST_CASE("deferred programs start before those that arrive later", "[tenancy]")
{
    limiter limiter_under_test;
    const request_limit limit{10, 10};
    instant now = instant{} + std::chrono::seconds(100);
    const auto begin = [&](std::uint64_t program) {
        return limiter_under_test.handle(
            {some_workspace, limit, 1, program, true, false, queue_timeout_ms},
            1.0, instant{} + milliseconds(1), now);
    };
    std::uint64_t next = 1;
    while (begin(next).m_outcome == quota_outcome::granted)
        ++next;
    const auto reply = begin(next);
    REQUIRE(reply.m_retry_after_ms >= 300);
    // The active programs make no more calls, so capacity becomes free
    // gradually; programs that arrive in between are not admitted.
    const auto first = next;
    int overtaken = 0;
    const auto until = now + milliseconds(reply.m_retry_after_ms);
    for (; now < until; now += milliseconds(20))
        overtaken += begin(++next).m_outcome == quota_outcome::granted ? 1 : 0;
    CHECK(overtaken == 0);
    bool started = false;
    for (int tries = 0; tries < 10 && !started; ++tries)
    {
        const auto again = begin(first);
        started = again.m_outcome == quota_outcome::granted;
        now += milliseconds(again.m_retry_after_ms);
    }
    CHECK(started);
}
