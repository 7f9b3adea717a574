// SPDX-License-Identifier: BSL-1.0
#include "scheduling/place_messages.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("services without engines are not placed for", "[places]")
{
    engine_placements places;
    CHECK(request_placement(places, make_request(1)).m_outcome ==
          placement_outcome::not_placing);
    auto engines = make_engines(1, 2);
    engines[0].m_draining = true;
    places.set_engines(service, engines, start);
    CHECK(request_placement(places, make_request(1)).m_outcome ==
          placement_outcome::not_placing);
    places.set_engines(service, make_engines(1, 2), start);
    CHECK(request_placement(places, make_request(1)).m_outcome ==
          placement_outcome::placed);
    places.retain_services({});
    CHECK(request_placement(places, make_request(2)).m_outcome ==
          placement_outcome::not_placing);
}

TEST_CASE("a place is given back by its report, once", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 4), start);
    CHECK(request_placement(places, make_request(1)).m_under_way == 1);
    CHECK(request_placement(places, make_request(2)).m_under_way == 2);
    places.report(make_report(1), start + milliseconds(100));
    CHECK(has_metric_line(places, "places_under_way 1"));
    places.report(make_report(1), start + milliseconds(100));
    places.report(make_report(99), start + milliseconds(100));
    CHECK(has_metric_line(places, "places_under_way 1"));
    CHECK(has_metric_line(places, "places_unknown_reports_total 2"));
}

TEST_CASE("the same call asking again gives up its place of before", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 4), start);
    const auto first = request_placement(places, make_request(1));
    auto again = make_request(1);
    again.m_excluded = {first.m_runner};
    const auto second = request_placement(places, again);
    CHECK(second.m_outcome == placement_outcome::placed);
    CHECK(second.m_runner != first.m_runner);
    CHECK(second.m_under_way == 1);
    CHECK(has_metric_line(places, "places_under_way 1"));
}

TEST_CASE("a call refused by all still gets one", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 4), start);
    auto question = make_request(1);
    question.m_excluded = {1, 2};
    CHECK(request_placement(places, question).m_outcome ==
          placement_outcome::placed);
}

TEST_CASE("a place whose end is never told comes back", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 4), start);
    (void)request_placement(places, make_request(1));
    CHECK(places.take_decisions(start + seconds(5)).empty());
    CHECK(has_metric_line(places, "places_under_way 1"));
    CHECK(places.take_decisions(start + seconds(7)).empty());
    CHECK(has_metric_line(places, "places_under_way 0"));
    CHECK(has_metric_line(places, "places_lost_total 1"));
    places.report(make_report(1), start + seconds(8));
    CHECK(has_metric_line(places, "places_unknown_reports_total 1"));
}

TEST_CASE("a runner born anew starts without any knowledge", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 12), start);
    (void)request_placement(places, make_request(1));
    auto engines = make_engines(1, 12);
    engines[0].m_runner = 55;
    places.set_engines(service, engines, start + milliseconds(10));
    const auto answer =
        request_placement(places, make_request(2), start + milliseconds(20));
    CHECK(answer.m_runner == 55);
    CHECK(answer.m_cached_tokens == 0);
    CHECK(answer.m_under_way == 1);
}

TEST_CASE("an end at another runner counts there", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 12), start);
    const auto first = request_placement(places, make_request(1));
    auto report = make_report(1);
    report.m_runner = 3 - first.m_runner;
    places.report(report, start + milliseconds(160));
    const auto second =
        request_placement(places, make_request(2), start + milliseconds(200));
    CHECK(second.m_runner == report.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    CHECK(has_metric_line(places, "places_moved_total 1"));
}

TEST_CASE("with all engines full a call waits and goes at the next end",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
        CHECK(request_placement(places, make_request(call)).m_outcome ==
              placement_outcome::placed);
    CHECK_FALSE(places.request_placement(make_request(4), start).has_value());
    CHECK(has_metric_line(places, "places_engines_full 1"));
    CHECK(has_metric_line(places, "places_waiting 1"));
    CHECK(places.take_decisions(start + milliseconds(50)).empty());
    places.report(make_report(1), start + milliseconds(100));
    const auto decided = places.take_decisions(start + milliseconds(100));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 4);
    CHECK(decided[0].m_reply.m_outcome == placement_outcome::placed);
}

TEST_CASE("a call that only full engines would take does not stop the line",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(2, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
    {
        auto question = make_request(call);
        question.m_excluded = {2};
        CHECK(request_placement(places, question).m_runner == 1);
    }
    auto refused = make_request(4);
    refused.m_excluded = {2};
    CHECK(request_placement(places, refused).m_runner == 1);
    CHECK(request_placement(places, make_request(5)).m_runner == 2);
}

TEST_CASE("a call that waits too long is told so", "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 1), start);
    (void)request_placement(places, make_request(1));
    (void)request_placement(places, make_request(2));
    REQUIRE_FALSE(places.request_placement(make_request(3), start).has_value());
    auto urgent = make_request(5);
    urgent.m_queue_timeout_ms = 20;
    CHECK(request_placement(places, urgent).m_outcome ==
          placement_outcome::no_room);
    CHECK(request_placement(places, urgent).m_retry_after_ms > 20);
    const auto decided = places.take_decisions(start + milliseconds(1001));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 3);
    CHECK(decided[0].m_reply.m_outcome == placement_outcome::no_room);
}

TEST_CASE("a call under way in its program is not refused for new ones",
          "[places]")
{
    engine_placements places;
    places.set_engines(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 30; ++call)
        (void)places.request_placement(make_request(call), start);
    auto begun = make_request(99);
    begun.m_rank = GENERATE(call_rank::under_way, call_rank::late);
    begun.m_queue_timeout_ms = 30;
    REQUIRE_FALSE(places.request_placement(begun, start).has_value());
    const auto decided = places.take_decisions(start + milliseconds(31));
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].m_call == 99);
    CHECK(decided[0].m_reply.m_outcome == placement_outcome::placed);
}
