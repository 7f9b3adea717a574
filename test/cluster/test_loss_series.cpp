// SPDX-License-Identifier: BSL-1.0
/// \file
/// Losses of disks one after the other, each within what is tolerated, while
/// copies take longer than the time that a VM is given to catch up. More copies
/// may be lost than are tolerated then. Turns must be served again, what is
/// left on any disk must be found, and nothing acknowledged may be denied.
#include "support/cluster/modelled_set.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <functional>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;
using test::modelled_set;

/// Names in one history: the members and their successors.
constexpr std::size_t max_vms = 9;

void random_step(modelled_set& cluster)
{
    const auto names = cluster.names();
    const auto name = *rc::gen::elementOf(names);
    switch (*rc::gen::weightedElement<int>({{6, 0},
                                            {6, 1},
                                            {6, 2},
                                            {4, 3},
                                            {2, 4},
                                            {3, 5},
                                            {4, 6},
                                            {1, 7},
                                            {1, 8},
                                            {1, 9},
                                            {1, 10}}))
    {
    case 0:
        cluster.write(*rc::gen::arbitrary<std::uint32_t>());
        break;
    case 1:
        cluster.copy(name, *rc::gen::elementOf(names));
        break;
    case 2:
        cluster.decide(name);
        break;
    case 3:
        cluster.kill(name, *rc::gen::arbitrary<bool>(), false);
        break;
    case 4:
        cluster.exceed_timeout(name);
        break;
    case 5:
        cluster.revive(name);
        break;
    case 6:
        cluster.end_catching_up(name);
        break;
    case 7:
        if (names.size() < max_vms)
            cluster.kill(name, *rc::gen::arbitrary<bool>(), true);
        break;
    case 8:
        cluster.partition(name);
        break;
    case 9:
        cluster.restart(name);
        break;
    case 10:
        cluster.presume_gone(name);
        break;
    }
}

/// What is wrong with the state; empty: nothing.
std::string fault_of(const modelled_set& cluster)
{
    if (cluster.denies())
        return "an acknowledged write is denied: ";
    auto later = cluster;
    later.recover_from_series();
    if (!later.serves())
        return "no way back to service: ";
    if (!later.sees_surviving())
        return "a write that is left is not found: ";
    if (later.denies())
        return "an acknowledged write is denied later: ";
    return "";
}

/// All states that one step leads to.
std::vector<modelled_set> next_states(const modelled_set& from)
{
    std::vector<modelled_set> out;
    const auto step = [&](const auto& play) {
        auto next = from;
        play(next);
        out.push_back(std::move(next));
    };
    const auto names = from.names();
    // One write, to any members, at any time.
    const bool writes = from.writes() == 0;
    for (std::uint32_t mask = 1; writes && mask < 1U << names.size(); ++mask)
        step([&](modelled_set& cluster) { cluster.write(mask); });
    for (const auto& name : names)
    {
        step([&](modelled_set& cluster) { cluster.decide(name); });
        step([&](modelled_set& cluster) { cluster.kill(name, false, false); });
        step([&](modelled_set& cluster) { cluster.kill(name, true, false); });
        if (names.size() < 5)
            step([&](modelled_set& cluster) {
                cluster.kill(name, false, true);
            });
        step([&](modelled_set& cluster) { cluster.revive(name); });
        step([&](modelled_set& cluster) { cluster.exceed_timeout(name); });
        step([&](modelled_set& cluster) { cluster.end_catching_up(name); });
        step([&](modelled_set& cluster) { cluster.restart(name); });
        step([&](modelled_set& cluster) { cluster.presume_gone(name); });
        for (const auto& other : names)
            step([&](modelled_set& cluster) { cluster.copy(name, other); });
    }
    return out;
}

struct start
{
    const char* m_what;
    std::function<void(modelled_set&)> m_play;
};

/// States that a first loss leads to; a walk from the beginning would reach
/// what follows from them only after very many states.
const std::vector<start> starts{
    {"nothing is lost", [](modelled_set& /*cluster*/) {}},
    {"a copy outlasts the time to catch up",
     [](modelled_set& cluster) {
         cluster.write(3);
         cluster.kill("m0", true, false);
         cluster.revive("m0");
         cluster.decide("m0");
         cluster.end_catching_up("m0");
     }},
    {"so does the copy of a successor",
     [](modelled_set& cluster) {
         cluster.write(3);
         cluster.kill("m0", false, true);
         cluster.exceed_timeout("m0");
         cluster.decide("m1");
         cluster.decide("m3");
         cluster.end_catching_up("m3");
     }},
    {"two members are without their copies",
     [](modelled_set& cluster) {
         cluster.write(3);
         cluster.kill("m0", true, false);
         cluster.revive("m0");
         cluster.decide("m0");
         cluster.end_catching_up("m0");
         cluster.kill("m1", true, false);
         cluster.revive("m1");
         cluster.decide("m1");
     }},
    {"one copies, another one is gone",
     [](modelled_set& cluster) {
         cluster.write(3);
         cluster.kill("m0", true, false);
         cluster.revive("m0");
         cluster.decide("m0");
         cluster.end_catching_up("m0");
         cluster.kill("m1", false, true);
         cluster.exceed_timeout("m1");
         cluster.decide("m2");
     }},
};

} // namespace

TEST_CASE(
    "no series of losses ends the service or denies an acknowledged write",
    "[membership][property][series]")
{
    const auto losses = GENERATE(1U, 2U);
    const auto size = GENERATE(3U, 4U, 5U, 6U);
    // Fewer members cannot keep a majority through this many losses.
    if (size < 2 * losses + 1)
        return;
    INFO("losses " << losses << " size " << size);
    CHECK(rc::check("views", [&] {
        modelled_set cluster(size, losses);
        cluster.allow_series();
        const auto steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i)
        {
            random_step(cluster);
            if (cluster.denies())
                RC_FAIL("denied: " + cluster.trace());
        }
        const auto fault = fault_of(cluster);
        if (!fault.empty())
            RC_FAIL(fault + cluster.trace());
    }));
}

TEST_CASE("each state within reach of a series of losses has a way back",
          "[membership][exhaustive][series]")
{
    // Breadth first. PEPPERTURN_STATES raises the number of states.
    constexpr std::size_t default_states = 5000;
    const char* requested = std::getenv("PEPPERTURN_STATES");
    const std::size_t max_states =
        requested == nullptr ? default_states : std::stoull(requested);
    const auto& begin = GENERATE_REF(from_range(starts));
    INFO(begin.m_what);
    modelled_set first(3, 1);
    first.allow_series();
    begin.m_play(first);
    std::set<std::string> seen{first.digest()};
    std::deque<modelled_set> queue{first};
    while (!queue.empty() && seen.size() < max_states)
    {
        const auto cluster = std::move(queue.front());
        queue.pop_front();
        const auto fault = fault_of(cluster);
        if (!fault.empty())
            FAIL(fault << cluster.trace());
        for (auto& next : next_states(cluster))
        {
            if (seen.insert(next.digest()).second)
                queue.push_back(std::move(next));
        }
    }
    WARN(begin.m_what << ": states " << seen.size() << ", not looked at "
                      << queue.size());
    CHECK(seen.size() >= default_states);
}

TEST_CASE("what a lost member held is copied at the first loss",
          "[membership][series]")
{
    // Guards against turns that keep a copy less than promised for good.
    modelled_set cluster(5, 2);
    REQUIRE(cluster.write(7));
    REQUIRE(cluster.fewest_copies() == 3);
    cluster.kill("m0", false, false);
    cluster.exceed_timeout("m0");
    cluster.settle();
    INFO(cluster.trace());
    CHECK(cluster.fewest_copies() >= 3);
    CHECK(cluster.serves());
}
