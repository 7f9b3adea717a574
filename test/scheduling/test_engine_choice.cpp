// SPDX-License-Identifier: BSL-1.0
// Which engine a call is placed at, given what was learnt of the engines.
#include "scheduling/placement_messages.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("calls go to the engine that has their shared part cached",
          "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(4, 12), start);
    const auto first = request_placement(placements, make_request(1));
    CHECK(first.m_cached_tokens == 0);
    placements.report(make_report(1), start + milliseconds(160));
    const auto second = request_placement(placements, make_request(2),
                                          start + milliseconds(200));
    CHECK(second.m_runner == first.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    CHECK(has_metric_line(placements, "places_prompt_tokens_total 27200"));
    CHECK(has_metric_line(placements, "places_cached_tokens_total 12600"));
    const auto other = request_placement(placements, make_request(3, 2),
                                         start + milliseconds(200));
    CHECK(other.m_runner != first.m_runner);
}

TEST_CASE("only a completed call leaves its prompt in the cache", "[places]")
{
    struct sample
    {
        std::string m_name;
        placement_end m_end;
        std::uint32_t m_cached;
    };
    const auto each = GENERATE(values<sample>({
        {"whole", placement_end::whole, shared_tokens},
        {"broken", placement_end::broken, 0},
        {"not run", placement_end::not_run, 0},
    }));
    INFO(each.m_name);
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 12), start);
    (void)request_placement(placements, make_request(1));
    auto report = make_report(1);
    report.m_end = each.m_end;
    placements.report(report, start + milliseconds(160));
    CHECK(request_placement(placements, make_request(2),
                            start + milliseconds(200))
              .m_cached_tokens == each.m_cached);
}

TEST_CASE(
    "a slow engine gets fewer calls, and overdue calls show a hang at once",
    "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    // Engine 1 takes three times as long as engine 2.
    for (int i = 0; i < 100; ++i)
    {
        auto request = make_request(++call);
        request.m_excluded = {1U + i % 2};
        const auto reply = request_placement(placements, request, now);
        const std::uint32_t run = reply.m_runner == 1 ? 300 : 100;
        now += milliseconds(run);
        placements.report(make_report(call, run), now);
    }
    for (int i = 0; i < 3; ++i)
        CHECK(
            request_placement(placements, make_request(++call), now).m_runner ==
            2);
    // Engine 2 hangs: none of its calls ends.
    now += milliseconds(600);
    CHECK(request_placement(placements, make_request(++call), now).m_runner ==
          1);
}

TEST_CASE("an engine whose callers died is tried again before their placements "
          "are released",
          "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    const auto run = [&](std::uint64_t other) {
        auto request = make_request(++call);
        request.m_excluded = {other};
        (void)request_placement(placements, request, now);
        now += milliseconds(110);
        placements.report(make_report(call), now);
    };
    for (int i = 0; i < 60; ++i)
        run(1U + static_cast<std::uint64_t>(i % 2));
    auto lost = make_request(++call);
    lost.m_excluded = {2};
    REQUIRE(request_placement(placements, lost, now).m_runner == 1);
    now += milliseconds(1000);
    // It appears to hang.
    CHECK(request_placement(placements, make_request(++call), now).m_runner ==
          2);
    placements.report(make_report(call), now + milliseconds(110));
    now += milliseconds(1100);
    std::set<std::uint64_t> used;
    for (int i = 0; i < 6; ++i)
        used.insert(
            request_placement(placements, make_request(++call), now).m_runner);
    CHECK(used.contains(1));
    CHECK(has_metric_line(placements, "places_lost_total 0"));
}

TEST_CASE("an engine that fails calls is used less and tried again later",
          "[places]")
{
    const auto end = GENERATE(placement_end::broken, placement_end::not_run);
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    const auto count_at_first = [&](int calls) {
        int count = 0;
        for (int i = 0; i < calls; ++i)
        {
            const auto runner =
                request_placement(placements, make_request(++call), now)
                    .m_runner;
            now += milliseconds(50);
            auto report = make_report(call);
            if (runner == 1)
            {
                ++count;
                report.m_end = end;
            }
            placements.report(report, now);
        }
        return count;
    };
    // Each failure costs a call, so that a few must suffice.
    CHECK(count_at_first(100) <= 10);
    now += seconds(20);
    // The calls are concurrent, so that one engine alone is not enough.
    std::set<std::uint64_t> used;
    for (int i = 0; i < 12; ++i)
        used.insert(
            request_placement(placements, make_request(++call), now).m_runner);
    CHECK(used.contains(1));
}

TEST_CASE("the caller's zone decides among equals", "[places]")
{
    engine_placements placements;
    auto engines = make_engines(6, 12);
    engines[4].m_availability_zone = "b";
    placements.set_engines(service, engines, start);
    auto request = make_request(1);
    request.m_availability_zone = "b";
    CHECK(request_placement(placements, request).m_runner == 5);
}

TEST_CASE("duration of one placement decision", "[.benchmark]")
{
    const std::size_t count = GENERATE(48U, 128U);
    engine_placements placements;
    auto engines = make_engines(count, 12);
    for (auto& engine : engines)
        engine.m_token_capacity = 290'745;
    placements.set_engines(service, engines, start);
    auto now = start;
    std::uint64_t call = 0;
    const auto decide = [&] {
        // About eighty calls are in progress at any time.
        constexpr std::uint64_t under_way = 80;
        ++call;
        now += milliseconds(2);
        const auto reply =
            placements.request_placement(make_request(call, call % 16), now);
        if (call > under_way)
            placements.report(make_report(call - under_way, 150), now);
        return reply.has_value();
    };
    for (int i = 0; i < 20'000; ++i)
        decide();
    constexpr int decisions = 100'000;
    const auto began = std::chrono::steady_clock::now();
    int decided = 0;
    for (int i = 0; i < decisions; ++i)
        decided += decide() ? 1 : 0;
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - began;
    CHECK(decided == decisions);
    const double each_us = taken.count() * 1e6 / decisions;
    WARN(count << " engines, one request and one report: " << each_us << " us");
}
