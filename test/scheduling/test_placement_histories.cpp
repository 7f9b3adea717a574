// SPDX-License-Identifier: BSL-1.0
// Random sequences of requests, reports (correct and wrong) and engine
// changes.
#include "pepperturn/scheduling/placement_service.hpp"

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

placement_request any_request()
{
    placement_request request;
    request.m_service = service;
    request.m_call = any_call();
    request.m_workspace = *rc::gen::inRange<std::uint64_t>(0, 3);
    const int parts = *rc::gen::inRange(0, 4);
    for (int i = 0; i < parts; ++i)
        request.m_parts.push_back(
            {*rc::gen::inRange<std::uint64_t>(0, 6), any_figure()});
    request.m_prompt_tokens = any_figure();
    request.m_max_output_tokens = any_figure();
    request.m_rank = *rc::gen::element(call_rank::under_way, call_rank::first,
                                       call_rank::late);
    request.m_priority = any_figure();
    request.m_queue_timeout_ms = any_figure();
    request.m_program_time_left_ms = any_figure();
    request.m_availability_zone = *rc::gen::element<std::string>("a", "b");
    if (*rc::gen::inRange(0, 4) == 0)
        request.m_excluded = {1, 2, 3};
    return request;
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

/// Each call has at most one placement, and the counts agree.
void check_placements(const placement_service& placements)
{
    std::set<std::uint64_t> seen;
    for (const auto& engine : placements.engines())
    {
        RC_ASSERT(engine.m_cache.m_parts.size() <= max_cached_parts);
        for (const auto& call : engine.m_calls)
        {
            RC_ASSERT(seen.insert(call.m_call).second);
            RC_ASSERT(std::isfinite(call.m_expected_ms));
        }
    }
    RC_ASSERT(seen.size() == placements.under_way());
}

} // namespace

TEST_CASE("random histories: one placement per call, and all queued calls are "
          "decided",
          "[places]")
{
    CHECK(rc::check("places", [] {
        placement_service placements;
        placements.set_engines(any_engines());
        instant now{seconds(1000)};
        std::set<std::uint64_t> queued;
        const auto take = [&] {
            std::vector<placement_decision> decisions;
            placements.take_decisions(now, decisions);
            for (const auto& row : decisions)
                RC_ASSERT(queued.erase(row.m_call) == 1);
        };
        const int steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i)
        {
            now += milliseconds(*rc::gen::element(0, 1, 20, 500));
            const int what = *rc::gen::inRange(0, 20);
            if (what == 0)
                placements.set_engines(any_engines());
            else if (what < 12)
            {
                const auto request = any_request();
                if (placements.request_placement(request, now))
                    queued.erase(request.m_call);
                else
                    queued.insert(request.m_call);
            }
            else
            {
                // A report of a queued call means that its caller has
                // abandoned it. Decisions made before are delivered first.
                take();
                const auto report = any_report();
                placements.report(report, now);
                queued.erase(report.m_call);
            }
            if (what % 3 == 0)
                take();
            check_placements(placements);
            RC_ASSERT(placements.queued() <= queued.size());
        }
        now += seconds(20);
        take();
        RC_ASSERT(queued.empty());
        RC_ASSERT(placements.queued() == 0);
    }));
}
