// SPDX-License-Identifier: BSL-1.0
// The request limit of a cold runner holds over all VMs, through random
// histories of the VMs that count it.
#include "pepperturn/tenancy/cold_runner_limit.hpp"

#include "owner_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("a cold runner's limit holds over all its owners", "[tenancy]")
{
    const auto bound = GENERATE(
        values<cold_runner_bound>({{20, 1.5, 5}, {4, 1, 0}, {300, 1.2, 20}}));
    const double max_per_s = bound.m_per_s * bound.m_excess + bound.m_slack;
    const auto play = [&](bool exact) {
        owner_fleet fleet(5);
        auto request = cold_runner_request(some_workspace, bound);
        request.m_workspace = some_workspace;
        request.m_exact = exact;
        int granted = 0;
        for (int tick = 0; tick < 600; ++tick)
        {
            for (std::size_t i = 0; i < 5; ++i)
            {
                fleet.read_views(fleet.vm(i));
                granted += fleet.request_grants(fleet.vm(i), 1000, request);
            }
            // Restarts the owners one after the other.
            if (tick % 100 == 99)
                fleet.restart(fleet.vm(static_cast<std::size_t>(tick) / 100),
                              true);
            fleet.advance(milliseconds(20));
        }
        return std::pair(
            fleet.max_granted_in(milliseconds(1000) + max_cold_grant_age),
            granted);
    };
    const auto [busiest, granted] = play(true);
    CHECK(static_cast<double>(busiest) <= max_per_s);
    // In 12 seconds, less what owners round down and what restarts cost.
    CHECK(granted >= 12 * 0.3 * max_per_s);
    // With the tolerance that workspaces have, it is exceeded.
    CHECK(static_cast<double>(play(false).first) > max_per_s);
}

TEST_CASE("no history of owners overruns a cold runner", "[tenancy][property]")
{
    const cold_runner_bound bound{20, 1.5, 5};
    CHECK(rc::check("cold runners", [&] {
        const std::size_t size = 4;
        owner_fleet fleet(size);
        auto request = cold_runner_request(some_workspace, bound);
        request.m_workspace = some_workspace;
        const auto steps = *rc::gen::inRange(0, 100);
        for (int i = 0; i < steps; ++i)
        {
            auto& vm = fleet.vm(*rc::gen::inRange<std::size_t>(0, size));
            switch (*rc::gen::inRange(0, 8))
            {
            case 0:
                fleet.toggle_member(*rc::gen::inRange<std::size_t>(0, size));
                break;
            case 1:
            case 2:
                fleet.read_views(vm);
                break;
            case 3:
                fleet.restart(vm, *rc::gen::arbitrary<bool>());
                break;
            default:
                for (std::size_t each = 0; each < size; ++each)
                    (void)fleet.request_grants(
                        fleet.vm(each), *rc::gen::inRange(0, 50), request);
                break;
            }
            fleet.advance(milliseconds(*rc::gen::inRange(0, 800)));
        }
        RC_ASSERT(static_cast<double>(fleet.max_granted_in(
                      milliseconds(1000) + max_cold_grant_age)) <=
                  bound.m_per_s * bound.m_excess + bound.m_slack);
    }));
}
