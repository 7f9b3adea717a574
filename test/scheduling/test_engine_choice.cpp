// SPDX-License-Identifier: BSL-1.0
// Which engine a call goes to, by what was learnt of them.
#include "scheduling/place_messages.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("a shared part is read where it is, until there is better",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(4, 12), start);
    const auto first = request_placement(places, make_request(1));
    CHECK(first.m_cached_tokens == 0);
    places.report(make_report(1), start + milliseconds(160));
    const auto second =
        request_placement(places, make_request(2), start + milliseconds(200));
    CHECK(second.m_runner == first.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    CHECK(has_metric_line(places, "places_prompt_tokens_total 27200"));
    CHECK(has_metric_line(places, "places_cached_tokens_total 12600"));
    const auto other = request_placement(places, make_request(3, 2),
                                         start + milliseconds(200));
    CHECK(other.m_runner != first.m_runner);
}

TEST_CASE("what an ended call leaves in memory", "[places]")
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
    engine_placements places;
    places.set_engines(service, make_engines(1, 12), start);
    (void)request_placement(places, make_request(1));
    auto report = make_report(1);
    report.m_end = each.m_end;
    places.report(report, start + milliseconds(160));
    CHECK(request_placement(places, make_request(2), start + milliseconds(200))
              .m_cached_tokens == each.m_cached);
}

TEST_CASE("a slow engine gets less, and calls that hang tell it at once",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    // Engine 1 takes three times as long as engine 2.
    for (int i = 0; i < 100; ++i)
    {
        auto question = make_request(++call);
        question.m_excluded = {1U + i % 2};
        const auto answer = request_placement(places, question, now);
        const std::uint32_t run = answer.m_runner == 1 ? 300 : 100;
        now += milliseconds(run);
        places.report(make_report(call, run), now);
    }
    for (int i = 0; i < 3; ++i)
        CHECK(request_placement(places, make_request(++call), now).m_runner ==
              2);
    // Engine 2 hangs: none of its calls ends.
    now += milliseconds(600);
    CHECK(request_placement(places, make_request(++call), now).m_runner == 1);
}

TEST_CASE("an engine whose callers died is tried again before their places "
          "come back",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    const auto run = [&](std::uint64_t other) {
        auto question = make_request(++call);
        question.m_excluded = {other};
        (void)request_placement(places, question, now);
        now += milliseconds(110);
        places.report(make_report(call), now);
    };
    for (int i = 0; i < 60; ++i)
        run(1U + static_cast<std::uint64_t>(i % 2));
    auto lost = make_request(++call);
    lost.m_excluded = {2};
    REQUIRE(request_placement(places, lost, now).m_runner == 1);
    now += milliseconds(1000);
    // It seems to hang.
    CHECK(request_placement(places, make_request(++call), now).m_runner == 2);
    places.report(make_report(call), now + milliseconds(110));
    now += milliseconds(1100);
    std::set<std::uint64_t> used;
    for (int i = 0; i < 6; ++i)
        used.insert(
            request_placement(places, make_request(++call), now).m_runner);
    CHECK(used.contains(1));
    CHECK(has_metric_line(places, "places_lost_total 0"));
}

TEST_CASE("an engine that fails calls is used less, and tried again",
          "[places]")
{
    const auto end = GENERATE(placement_end::broken, placement_end::not_run);
    engine_placements places;
    places.set_engines(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    const auto count_at_first = [&](int calls) {
        int count = 0;
        for (int i = 0; i < calls; ++i)
        {
            const auto runner =
                request_placement(places, make_request(++call), now).m_runner;
            now += milliseconds(50);
            auto report = make_report(call);
            if (runner == 1)
            {
                ++count;
                report.m_end = end;
            }
            places.report(report, now);
        }
        return count;
    };
    // Each failure costs a call, so that a few show it.
    CHECK(count_at_first(100) <= 10);
    now += seconds(20);
    // Both are asked for at once, so that one alone is not enough.
    std::set<std::uint64_t> used;
    for (int i = 0; i < 12; ++i)
        used.insert(
            request_placement(places, make_request(++call), now).m_runner);
    CHECK(used.contains(1));
}

TEST_CASE("the own zone decides among equals", "[places]")
{
    engine_placements places;
    auto engines = make_engines(6, 12);
    engines[4].m_availability_zone = "b";
    places.set_engines(service, engines, start);
    auto question = make_request(1);
    question.m_availability_zone = "b";
    CHECK(request_placement(places, question).m_runner == 5);
}

TEST_CASE("what one decision costs", "[.benchmark]")
{
    const std::size_t count = GENERATE(48U, 128U);
    engine_placements places;
    auto engines = make_engines(count, 12);
    for (auto& engine : engines)
        engine.m_token_capacity = 290'745;
    places.set_engines(service, engines, start);
    auto now = start;
    std::uint64_t call = 0;
    const auto decide = [&] {
        // Some eighty calls are under way at each time.
        constexpr std::uint64_t under_way = 80;
        ++call;
        now += milliseconds(2);
        const auto answer =
            places.request_placement(make_request(call, call % 16), now);
        if (call > under_way)
            places.report(make_report(call - under_way, 150), now);
        return answer.has_value();
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
    WARN(count << " engines, one ask and one report: " << each_us << " us");
}
