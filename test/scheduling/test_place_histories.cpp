// SPDX-License-Identifier: BSL-1.0
// Random histories of asks, reports and changes, true and untrue.
#include "pepperturn/scheduling/place_service.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <set>

namespace {

using namespace pepperturn;

constexpr std::uint64_t service = 7;

std::uint32_t any_figure()
{
    return *rc::gen::oneOf(rc::gen::element<std::uint32_t>(
                               0, 1, std::numeric_limits<std::uint32_t>::max()),
                           rc::gen::inRange<std::uint32_t>(0, 20'000));
}

std::uint64_t any_call()
{
    return *rc::gen::inRange<std::uint64_t>(1, 40);
}

std::vector<engine_info> any_engines()
{
    std::vector<engine_info> engines;
    const int count = *rc::gen::inRange(0, 5);
    engines.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        engines.push_back(
            {.m_runner = *rc::gen::inRange<std::uint64_t>(1, 6),
             .m_availability_zone = "a",
             .m_slots = *rc::gen::element<std::uint32_t>(0, 1, 2, 3, 4),
             .m_token_capacity = *rc::gen::element<std::uint64_t>(0, 30'000),
             .m_draining = *rc::gen::inRange(0, 6) == 0});
    return engines;
}

placement_request any_question()
{
    placement_request question;
    question.m_service = service;
    question.m_call = any_call();
    question.m_workspace = *rc::gen::inRange<std::uint64_t>(0, 3);
    const int parts = *rc::gen::inRange(0, 4);
    for (int i = 0; i < parts; ++i)
        question.m_parts.push_back(
            {*rc::gen::inRange<std::uint64_t>(0, 6), any_figure()});
    question.m_prompt_tokens = any_figure();
    question.m_max_output_tokens = any_figure();
    question.m_rank = *rc::gen::element(call_rank::under_way, call_rank::first,
                                        call_rank::late);
    question.m_priority = any_figure();
    question.m_queue_timeout_ms = any_figure();
    question.m_program_time_left_ms = any_figure();
    question.m_availability_zone = *rc::gen::element<std::string>("a", "b");
    if (*rc::gen::inRange(0, 4) == 0)
        question.m_excluded = {1, 2, 3};
    return question;
}

placement_report any_report()
{
    return {.m_service = service,
            .m_call = any_call(),
            .m_runner = *rc::gen::inRange<std::uint64_t>(0, 7),
            .m_end =
                *rc::gen::element(placement_end::whole, placement_end::broken,
                                  placement_end::not_run),
            .m_first_byte_ms = any_figure(),
            .m_run_ms = any_figure(),
            .m_output_tokens = any_figure()};
}

/// Each call has at most one place, and the books agree.
void check_places(const placement_service& places)
{
    std::set<std::uint64_t> seen;
    for (const auto& engine : places.engines())
    {
        RC_ASSERT(engine.m_cache.m_parts.size() <= max_cached_parts);
        for (const auto& call : engine.m_calls)
        {
            RC_ASSERT(seen.insert(call.m_call).second);
            RC_ASSERT(std::isfinite(call.m_expected_ms));
        }
    }
    RC_ASSERT(seen.size() == places.under_way());
}

} // namespace

TEST_CASE("random histories: one place a call, and all that wait are decided",
          "[places]")
{
    CHECK(rc::check("places", [] {
        placement_service places;
        places.set_engines(any_engines());
        instant now{seconds(1000)};
        std::set<std::uint64_t> waiting;
        const auto take = [&] {
            std::vector<placement_decision> decided;
            places.take_decisions(now, decided);
            for (const auto& row : decided)
                RC_ASSERT(waiting.erase(row.m_call) == 1);
        };
        const int steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i)
        {
            now += milliseconds(*rc::gen::element(0, 1, 20, 500));
            const int what = *rc::gen::inRange(0, 20);
            if (what == 0)
                places.set_engines(any_engines());
            else if (what < 12)
            {
                const auto question = any_question();
                if (places.request_placement(question, now))
                    waiting.erase(question.m_call);
                else
                    waiting.insert(question.m_call);
            }
            else
            {
                // Told by a caller in line: it has given up. One that has
                // been decided hears so first.
                take();
                const auto report = any_report();
                places.report(report, now);
                waiting.erase(report.m_call);
            }
            if (what % 3 == 0)
                take();
            check_places(places);
            RC_ASSERT(places.queued() <= waiting.size());
        }
        now += seconds(20);
        take();
        RC_ASSERT(waiting.empty());
        RC_ASSERT(places.queued() == 0);
    }));
}
