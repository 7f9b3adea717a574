// SPDX-License-Identifier: BSL-1.0
// What a cold runner bears, over all VMs, through random histories of those
// that count it.
#include "pepperturn/tenancy/cold_allowance.hpp"

#include "owner_fleet.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("a cold runner's bound holds over all that count it", "[tenancy]")
{
    const auto bound = GENERATE(
        values<cold_runner_bound>({{20, 1.5, 5}, {4, 1, 0}, {300, 1.2, 20}}));
    const double most = bound.m_per_s * bound.m_excess + bound.m_slack;
    const auto play = [&](bool exact) {
        owner_fleet all(5);
        auto question = cold_runner_request(some_workspace, bound);
        question.m_workspace = some_workspace;
        question.m_exact = exact;
        int granted = 0;
        for (int tick = 0; tick < 600; ++tick)
        {
            for (std::size_t i = 0; i < 5; ++i)
            {
                all.hear(all.vm(i));
                granted += all.ask(all.vm(i), 1000, question);
            }
            // An owner restarts, one after the other.
            if (tick % 100 == 99)
                all.restart(all.vm(static_cast<std::size_t>(tick) / 100), true);
            all.pass(milliseconds(20));
        }
        return std::pair(all.most_in(milliseconds(1000) + max_cold_grant_age),
                         granted);
    };
    const auto [busiest, granted] = play(true);
    CHECK(static_cast<double>(busiest) <= most);
    // Of 12 seconds, with what three owners round down and restarts cost.
    CHECK(granted >= 12 * 0.3 * most);
    // With what workspaces are tolerated it is passed.
    CHECK(static_cast<double>(play(false).first) > most);
}

TEST_CASE("no history of owners overruns a cold runner", "[tenancy][property]")
{
    const cold_runner_bound bound{20, 1.5, 5};
    CHECK(rc::check("cold runners", [&] {
        const std::size_t size = 4;
        owner_fleet all(size);
        auto question = cold_runner_request(some_workspace, bound);
        question.m_workspace = some_workspace;
        const auto steps = *rc::gen::inRange(0, 100);
        for (int i = 0; i < steps; ++i)
        {
            auto& vm = all.vm(*rc::gen::inRange<std::size_t>(0, size));
            switch (*rc::gen::inRange(0, 8))
            {
            case 0:
                all.toggle_member(*rc::gen::inRange<std::size_t>(0, size));
                break;
            case 1:
            case 2:
                all.hear(vm);
                break;
            case 3:
                all.restart(vm, *rc::gen::arbitrary<bool>());
                break;
            default:
                for (std::size_t each = 0; each < size; ++each)
                    (void)all.ask(all.vm(each), *rc::gen::inRange(0, 50),
                                  question);
                break;
            }
            all.pass(milliseconds(*rc::gen::inRange(0, 800)));
        }
        RC_ASSERT(static_cast<double>(
                      all.most_in(milliseconds(1000) + max_cold_grant_age)) <=
                  bound.m_per_s * bound.m_excess + bound.m_slack);
    }));
}
