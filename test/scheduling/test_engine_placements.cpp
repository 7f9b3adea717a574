// SPDX-License-Identifier: BSL-1.0
#include "scheduling/placement_messages.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("no placements for services without engines", "[places]")
{
    engine_placements placements;
    CHECK(request_placement(placements, make_request(1)).m_outcome ==
          placement_outcome::not_placing);
    auto engines = make_engines(1, 2);
    engines[0].m_draining = true;
    placements.set_engines(service, engines, start);
    CHECK(request_placement(placements, make_request(1)).m_outcome ==
          placement_outcome::not_placing);
    placements.set_engines(service, make_engines(1, 2), start);
    CHECK(request_placement(placements, make_request(1)).m_outcome ==
          placement_outcome::placed);
    placements.retain_services({});
    CHECK(request_placement(placements, make_request(2)).m_outcome ==
          placement_outcome::not_placing);
}

TEST_CASE("a report releases a placement once", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 4), start);
    CHECK(request_placement(placements, make_request(1)).m_under_way == 1);
    CHECK(request_placement(placements, make_request(2)).m_under_way == 2);
    placements.report(make_report(1), start + milliseconds(100));
    CHECK(has_metric_line(placements, "places_under_way 1"));
    placements.report(make_report(1), start + milliseconds(100));
    placements.report(make_report(99), start + milliseconds(100));
    CHECK(has_metric_line(placements, "places_under_way 1"));
    CHECK(has_metric_line(placements, "places_unknown_reports_total 2"));
}

TEST_CASE("a second request of a call releases its earlier placement",
          "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 4), start);
    const auto first = request_placement(placements, make_request(1));
    auto again = make_request(1);
    again.m_excluded = {first.m_runner};
    const auto second = request_placement(placements, again);
    CHECK(second.m_outcome == placement_outcome::placed);
    CHECK(second.m_runner != first.m_runner);
    CHECK(second.m_under_way == 1);
    CHECK(has_metric_line(placements, "places_under_way 1"));
}

TEST_CASE("a call refused by all engines is still placed", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 4), start);
    auto request = make_request(1);
    request.m_excluded = {1, 2};
    CHECK(request_placement(placements, request).m_outcome ==
          placement_outcome::placed);
}

TEST_CASE("a placement whose end is never reported is released", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 4), start);
    (void)request_placement(placements, make_request(1));
    CHECK(placements.take_decisions(start + seconds(5)).empty());
    CHECK(has_metric_line(placements, "places_under_way 1"));
    CHECK(placements.take_decisions(start + seconds(7)).empty());
    CHECK(has_metric_line(placements, "places_under_way 0"));
    CHECK(has_metric_line(placements, "places_lost_total 1"));
    placements.report(make_report(1), start + seconds(8));
    CHECK(has_metric_line(placements, "places_unknown_reports_total 1"));
}

TEST_CASE("a new incarnation of a runner starts without estimates", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 12), start);
    (void)request_placement(placements, make_request(1));
    auto engines = make_engines(1, 12);
    engines[0].m_runner = 55;
    placements.set_engines(service, engines, start + milliseconds(10));
    const auto reply = request_placement(placements, make_request(2),
                                         start + milliseconds(20));
    CHECK(reply.m_runner == 55);
    CHECK(reply.m_cached_tokens == 0);
    CHECK(reply.m_under_way == 1);
}

TEST_CASE("a call that ended at another runner counts there", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 12), start);
    const auto first = request_placement(placements, make_request(1));
    auto report = make_report(1);
    report.m_runner = 3 - first.m_runner;
    placements.report(report, start + milliseconds(160));
    const auto second = request_placement(placements, make_request(2),
                                          start + milliseconds(200));
    CHECK(second.m_runner == report.m_runner);
    CHECK(second.m_cached_tokens == shared_tokens);
    CHECK(has_metric_line(placements, "places_moved_total 1"));
}

TEST_CASE("with all engines full a call is queued until the next one ends",
          "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
        CHECK(request_placement(placements, make_request(call)).m_outcome ==
              placement_outcome::placed);
    CHECK_FALSE(
        placements.request_placement(make_request(4), start).has_value());
    CHECK(has_metric_line(placements, "places_engines_full 1"));
    CHECK(has_metric_line(placements, "places_waiting 1"));
    CHECK(placements.take_decisions(start + milliseconds(50)).empty());
    placements.report(make_report(1), start + milliseconds(100));
    const auto decisions = placements.take_decisions(start + milliseconds(100));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].m_call == 4);
    CHECK(decisions[0].m_reply.m_outcome == placement_outcome::placed);
}

TEST_CASE("a call limited to full engines does not block the queue", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(2, 2), start);
    for (std::uint64_t call = 1; call <= 3; ++call)
    {
        auto request = make_request(call);
        request.m_excluded = {2};
        CHECK(request_placement(placements, request).m_runner == 1);
    }
    auto refused = make_request(4);
    refused.m_excluded = {2};
    CHECK(request_placement(placements, refused).m_runner == 1);
    CHECK(request_placement(placements, make_request(5)).m_runner == 2);
}

TEST_CASE("a call that would wait too long is refused", "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 1), start);
    (void)request_placement(placements, make_request(1));
    (void)request_placement(placements, make_request(2));
    REQUIRE_FALSE(
        placements.request_placement(make_request(3), start).has_value());
    auto urgent = make_request(5);
    urgent.m_queue_timeout_ms = 20;
    CHECK(request_placement(placements, urgent).m_outcome ==
          placement_outcome::no_room);
    CHECK(request_placement(placements, urgent).m_retry_after_ms > 20);
    const auto decisions =
        placements.take_decisions(start + milliseconds(1001));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].m_call == 3);
    CHECK(decisions[0].m_reply.m_outcome == placement_outcome::no_room);
}

TEST_CASE("a call of a program that has begun is not refused for new programs",
          "[places]")
{
    engine_placements placements;
    placements.set_engines(service, make_engines(1, 2), start);
    for (std::uint64_t call = 1; call <= 30; ++call)
        (void)placements.request_placement(make_request(call), start);
    auto begun = make_request(99);
    begun.m_rank = GENERATE(call_rank::under_way, call_rank::late);
    begun.m_queue_timeout_ms = 30;
    REQUIRE_FALSE(placements.request_placement(begun, start).has_value());
    const auto decisions = placements.take_decisions(start + milliseconds(31));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].m_call == 99);
    CHECK(decisions[0].m_reply.m_outcome == placement_outcome::placed);
}
