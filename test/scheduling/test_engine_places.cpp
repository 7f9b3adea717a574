// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_places.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

namespace {

using namespace pepperturn;

constexpr std::uint64_t service = 7;
constexpr std::uint32_t shared_tokens = 12'600;
constexpr instant start{seconds(1000)};

std::vector<engine_facts> make_engines(std::size_t count, std::uint32_t slots)
{
    std::vector<engine_facts> engines;
    for (std::size_t i = 1; i <= count; ++i)
        engines.push_back({.m_runner = i,
                           .m_availability_zone = "a",
                           .m_slots = slots,
                           .m_token_capacity = 100'000});
    return engines;
}

place_question make_question(std::uint64_t call, std::uint64_t shared = 1)
{
    return {.m_service = service,
            .m_call = call,
            .m_parts = {{shared, shared_tokens}, {1000 + call, 1000}},
            .m_prompt_tokens = shared_tokens + 1000,
            .m_most_tokens = 248,
            .m_rank = call_rank::first,
            .m_patience_ms = 1000,
            .m_program_left_ms = 0,
            .m_availability_zone = "a",
            .m_excluded = {}};
}

place_report make_report(std::uint64_t call, std::uint32_t run_ms = 100)
{
    return {.m_service = service,
            .m_call = call,
            .m_end = place_end::whole,
            .m_first_byte_ms = 10,
            .m_run_ms = run_ms,
            .m_tokens = 100};
}

place_answer ask(engine_places& places, const place_question& question,
                 instant now = start)
{
    return places.ask(question, now).value_or(place_answer{});
}

std::string metrics(const engine_places& places)
{
    std::string out;
    places.write_metrics(out);
    return out;
}

bool shows(const engine_places& places, const std::string& line)
{
    return metrics(places).find(line + '\n') != std::string::npos;
}

} // namespace

TEST_CASE("services without engines are not placed for", "[places]")
{
    engine_places places;
    CHECK(ask(places, make_question(1)).m_outcome ==
          place_outcome::not_placing);
    auto engines = make_engines(1, 2);
    engines[0].m_draining = true;
    places.follow(service, engines, start);
    CHECK(ask(places, make_question(1)).m_outcome ==
          place_outcome::not_placing);
    places.follow(service, make_engines(1, 2), start);
    CHECK(ask(places, make_question(1)).m_outcome == place_outcome::placed);
    places.retain({});
    CHECK(ask(places, make_question(2)).m_outcome ==
          place_outcome::not_placing);
}

TEST_CASE("a place is given back by its report, once", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 4), start);
    CHECK(ask(places, make_question(1)).m_under_way == 1);
    CHECK(ask(places, make_question(2)).m_under_way == 2);
    places.report(make_report(1), start + milliseconds(100));
    CHECK(shows(places, "places_under_way 1"));
    places.report(make_report(1), start + milliseconds(100));
    places.report(make_report(99), start + milliseconds(100));
    CHECK(shows(places, "places_under_way 1"));
    CHECK(shows(places, "places_unknown_reports_total 2"));
}

TEST_CASE("the same call asking again gives up its place of before", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 4), start);
    const auto first = ask(places, make_question(1));
    auto again = make_question(1);
    again.m_excluded = {first.m_runner};
    const auto second = ask(places, again);
    CHECK(second.m_outcome == place_outcome::placed);
    CHECK(second.m_runner != first.m_runner);
    CHECK(second.m_under_way == 1);
    CHECK(shows(places, "places_under_way 1"));
}

TEST_CASE("a call refused by all still gets one", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 4), start);
    auto question = make_question(1);
    question.m_excluded = {1, 2};
    CHECK(ask(places, question).m_outcome == place_outcome::placed);
}

TEST_CASE("a place whose end is never told comes back", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 4), start);
    (void)ask(places, make_question(1));
    CHECK(places.take_decided(start + seconds(5)).empty());
    CHECK(shows(places, "places_under_way 1"));
    CHECK(places.take_decided(start + seconds(7)).empty());
    CHECK(shows(places, "places_under_way 0"));
    CHECK(shows(places, "places_lost_total 1"));
    places.report(make_report(1), start + seconds(8));
    CHECK(shows(places, "places_unknown_reports_total 1"));
}

TEST_CASE("a shared part is read where it is, until there is better",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(4, 12), start);
    const auto first = ask(places, make_question(1));
    CHECK(first.m_cached_tokens == 0);
    places.report(make_report(1), start + milliseconds(160));
    const auto second =
        ask(places, make_question(2), start + milliseconds(200));
    CHECK(second.m_runner == first.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    const auto other =
        ask(places, make_question(3, 2), start + milliseconds(200));
    CHECK(other.m_runner != first.m_runner);
}

TEST_CASE("what an ended call leaves in memory", "[places]")
{
    struct sample
    {
        std::string m_name;
        place_end m_end;
        std::uint32_t m_cached;
    };
    const auto each = GENERATE(values<sample>({
        {"whole", place_end::whole, shared_tokens},
        {"broken", place_end::broken, 0},
        {"not run", place_end::not_run, 0},
    }));
    INFO(each.m_name);
    engine_places places;
    places.follow(service, make_engines(1, 12), start);
    (void)ask(places, make_question(1));
    auto report = make_report(1);
    report.m_end = each.m_end;
    places.report(report, start + milliseconds(160));
    CHECK(ask(places, make_question(2), start + milliseconds(200))
              .m_cached_tokens == each.m_cached);
}

TEST_CASE("a runner born anew starts without any knowledge", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 12), start);
    (void)ask(places, make_question(1));
    auto engines = make_engines(1, 12);
    engines[0].m_runner = 55;
    places.follow(service, engines, start + milliseconds(10));
    const auto answer = ask(places, make_question(2), start + milliseconds(20));
    CHECK(answer.m_runner == 55);
    CHECK(answer.m_cached_tokens == 0);
    CHECK(answer.m_under_way == 1);
}

TEST_CASE("an end at another runner counts there", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 12), start);
    const auto first = ask(places, make_question(1));
    auto report = make_report(1);
    report.m_runner = 3 - first.m_runner;
    places.report(report, start + milliseconds(160));
    const auto second =
        ask(places, make_question(2), start + milliseconds(200));
    CHECK(second.m_runner == report.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    CHECK(shows(places, "places_moved_total 1"));
}

TEST_CASE("with all engines full a call waits and goes at the next end",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
        CHECK(ask(places, make_question(call)).m_outcome ==
              place_outcome::placed);
    CHECK_FALSE(places.ask(make_question(4), start).has_value());
    CHECK(places.take_decided(start + milliseconds(50)).empty());
    places.report(make_report(1), start + milliseconds(100));
    const auto decided = places.take_decided(start + milliseconds(100));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 4);
    CHECK(decided[0].m_answer.m_outcome == place_outcome::placed);
}

TEST_CASE("a call that only full engines would take does not stop the line",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
    {
        auto question = make_question(call);
        question.m_excluded = {2};
        CHECK(ask(places, question).m_runner == 1);
    }
    auto refused = make_question(4);
    refused.m_excluded = {2};
    CHECK(ask(places, refused).m_runner == 1);
    CHECK(ask(places, make_question(5)).m_runner == 2);
}

TEST_CASE("a call that waits too long is told so", "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 1), start);
    (void)ask(places, make_question(1));
    (void)ask(places, make_question(2));
    REQUIRE_FALSE(places.ask(make_question(3), start).has_value());
    auto urgent = make_question(5);
    urgent.m_patience_ms = 20;
    CHECK(ask(places, urgent).m_outcome == place_outcome::no_room);
    CHECK(ask(places, urgent).m_retry_ms > 20);
    const auto decided = places.take_decided(start + milliseconds(1001));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 3);
    CHECK(decided[0].m_answer.m_outcome == place_outcome::no_room);
}

TEST_CASE("a call under way in its program is not refused for new ones",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 30; ++call)
        (void)places.ask(make_question(call), start);
    auto begun = make_question(99);
    begun.m_rank = GENERATE(call_rank::under_way, call_rank::late);
    begun.m_patience_ms = 30;
    REQUIRE_FALSE(places.ask(begun, start).has_value());
    const auto decided = places.take_decided(start + milliseconds(31));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 99);
    CHECK(decided[0].m_answer.m_outcome == place_outcome::placed);
}

TEST_CASE("a slow engine gets less, and calls that hang tell it at once",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    // Engine 1 takes three times as long as engine 2.
    for (int i = 0; i < 100; ++i)
    {
        auto question = make_question(++call);
        question.m_excluded = {1U + i % 2};
        const auto answer = ask(places, question, now);
        const std::uint32_t run = answer.m_runner == 1 ? 300 : 100;
        now += milliseconds(run);
        places.report(make_report(call, run), now);
    }
    for (int i = 0; i < 3; ++i)
        CHECK(ask(places, make_question(++call), now).m_runner == 2);
    // Engine 2 hangs: none of its calls ends.
    now += milliseconds(600);
    CHECK(ask(places, make_question(++call), now).m_runner == 1);
}

TEST_CASE("an engine whose callers died is tried again before their places "
          "come back",
          "[places]")
{
    engine_places places;
    places.follow(service, make_engines(2, 12), start);
    auto now = start;
    std::uint64_t call = 0;
    const auto run = [&](std::uint64_t other) {
        auto question = make_question(++call);
        question.m_excluded = {other};
        (void)ask(places, question, now);
        now += milliseconds(110);
        places.report(make_report(call), now);
    };
    for (int i = 0; i < 60; ++i)
        run(1U + static_cast<std::uint64_t>(i % 2));
    auto lost = make_question(++call);
    lost.m_excluded = {2};
    REQUIRE(ask(places, lost, now).m_runner == 1);
    now += milliseconds(1000);
    // It seems to hang.
    CHECK(ask(places, make_question(++call), now).m_runner == 2);
    places.report(make_report(call), now + milliseconds(110));
    now += milliseconds(1100);
    std::set<std::uint64_t> used;
    for (int i = 0; i < 6; ++i)
        used.insert(ask(places, make_question(++call), now).m_runner);
    CHECK(used.contains(1));
    CHECK(shows(places, "places_lost_total 0"));
}

TEST_CASE("the own zone decides among equals", "[places]")
{
    engine_places places;
    auto engines = make_engines(6, 12);
    engines[4].m_availability_zone = "b";
    places.follow(service, engines, start);
    auto question = make_question(1);
    question.m_availability_zone = "b";
    CHECK(ask(places, question).m_runner == 5);
}

TEST_CASE("what one decision costs", "[.benchmark]")
{
    const std::size_t count = GENERATE(48U, 128U);
    engine_places places;
    auto engines = make_engines(count, 12);
    for (auto& engine : engines)
        engine.m_token_capacity = 290'745;
    places.follow(service, engines, start);
    auto now = start;
    std::uint64_t call = 0;
    const auto decide = [&] {
        // Some eighty calls are under way at each time.
        constexpr std::uint64_t under_way = 80;
        ++call;
        now += milliseconds(2);
        const auto answer = places.ask(make_question(call, call % 16), now);
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
