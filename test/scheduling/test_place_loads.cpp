// SPDX-License-Identifier: BSL-1.0
// Loads of hard sites, replayed on a virtual clock.
#include "scheduling/place_policies.hpp"

#include <catch2/catch.hpp>

#include <sstream>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

std::string describe(const std::string& name, const simulation_result& result)
{
    std::ostringstream out;
    out << name << ": programs " << result.m_all.m_programs << ", late "
        << result.m_all.late_share() << ", refused "
        << result.m_all.refused_share() << ", stretch "
        << result.m_all.mean_stretch() << ", shared tokens read "
        << result.m_shared_tokens_read << ", busiest over mean "
        << result.m_busiest;
    return out.str();
}

simulation_result run_placed(const simulation_config& shape, std::uint64_t seed,
                             std::uint32_t vms, int until_ms)
{
    placement_simulation site(shape, seed);
    central_policy policy(site);
    return site.run(policy, vms, 2000, until_ms);
}

simulation_result run_own(const simulation_config& shape, std::uint64_t seed,
                          std::uint32_t vms, int until_ms)
{
    placement_simulation site(shape, seed);
    local_policy policy(site, vms);
    return site.run(policy, vms, 2000, until_ms);
}

simulation_config make_even_site()
{
    auto shape = make_uneven_config();
    shape.m_one_slow_in = 0;
    shape.m_engine.m_noise_share = 0;
    return shape;
}

/// Every fourth engine is slow, the one before it is not.
constexpr int hurt_engines = 6;

std::uint32_t hurt_engine(int number)
{
    return static_cast<std::uint32_t>(4 * number + 3);
}

/// Calls a second that begin at the engines that are hurt.
double hurt_rate(const simulation_result& result, int from_ms, int until_ms)
{
    double sum = 0;
    for (int i = 0; i < hurt_engines; ++i)
    {
        const auto& begun = result.m_begun.at(hurt_engine(i));
        for (int at = from_ms / 100; at < until_ms / 100; ++at)
            sum += at < static_cast<int>(begun.size()) ? begun.at(at) : 0;
    }
    return sum * 1000 / (until_ms - from_ms);
}

simulation_config make_tenants_site()
{
    simulation_config shape;
    shape.m_engines = 48;
    shape.m_engine.m_slots = 8;
    shape.m_engine.m_token_capacity = 220'527;
    shape.m_engine.m_reported_capacity = 220'527;
    shape.m_engine.m_token_ms = 1.09;
    shape.m_engine.m_prefill_tokens_per_ms = 374;
    shape.m_engine.m_batch_token_share = 0;
    shape.m_engine.m_concurrency_share = 0.027;
    shape.m_one_slow_in = 0;
    shape.m_engine.m_noise_share = 0;
    shape.m_kinds = {{48.7, 4, 1680}, {28.7, 9, 840}};
    shape.m_events = 7;
    shape.m_workspaces = 86;
    return shape;
}

} // namespace

TEST_CASE("uneven engines: one who places serves more in time", "[places]")
{
    const auto seed = GENERATE(1U, 2U);
    const double load = GENERATE(1.0, 3.0);
    const auto shape = with_load(make_uneven_config(), load);
    const auto placed = run_placed(shape, seed, 51, 14'000);
    const auto own = run_own(shape, seed, 51, 14'000);
    CAPTURE(seed, load, describe("placed", placed), describe("own", own));
    CHECK(placed.m_all.late_share() < own.m_all.late_share() / 3);
    CHECK(placed.m_all.m_refused == 0);
    CHECK(placed.m_shared_tokens_read <= own.m_shared_tokens_read / 3);
}

TEST_CASE("even engines: however many ask, none is herded to", "[places]")
{
    const std::uint32_t vms = GENERATE(50U, 300U);
    const double load = GENERATE(2.0, 4.0);
    const auto shape = with_load(make_even_site(), load);
    const auto placed = run_placed(shape, 1, vms, 10'000);
    const auto own = run_own(shape, 1, vms, 10'000);
    CAPTURE(vms, load, describe("placed", placed), describe("own", own));
    CHECK(placed.m_busiest < 2);
    CHECK(placed.m_busiest < own.m_busiest);
}

TEST_CASE("engines that turn slow or hang lose their calls and get them back",
          "[places]")
{
    struct sample
    {
        std::string m_name;
        double m_factor;
    };
    const auto each = GENERATE(values<sample>({
        {"five times slower", 5},
        {"hang", 1e9},
    }));
    INFO(each.m_name);
    // Enough load that the engines are needed again.
    auto shape = with_load(make_uneven_config(), 3);
    shape.m_demand = [](int) { return 1.0; };
    placement_simulation site(shape, 1);
    central_policy policy(site);
    site.m_at = [&site, &each](int ms) {
        for (int i = 0; i < hurt_engines; ++i)
        {
            if (ms == 6000)
                site.set_slowdown(hurt_engine(i), each.m_factor);
            if (ms == 9000)
                site.set_slowdown(hurt_engine(i), 1);
        }
    };
    const auto result = site.run(policy, 51, 2000, 15'000);
    const double before = hurt_rate(result, 4000, 6000);
    const double hurt = hurt_rate(result, 6300, 9000);
    const double after = hurt_rate(result, 11'000, 14'000);
    CAPTURE(describe("placed", result), before, hurt, after);
    CHECK(hurt < before / 5);
    CHECK(after > before / 2);
}

TEST_CASE("a VM that takes over learns within two seconds", "[places]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    auto shape = with_load(make_uneven_config(), 2);
    shape.m_demand = [](int) { return 1.0; };
    placement_simulation site(shape, seed);
    central_policy policy(site);
    site.m_at = [&policy](int ms) {
        if (ms == 6000)
            policy.replace_service(instant(seconds(1006)));
    };
    const auto result = site.run(policy, 51, 2000, 12'000);
    CAPTURE(seed, describe("placed", result));
    for (const auto& [second, counts] : result.m_by_second)
    {
        CAPTURE(second, counts.m_programs, counts.m_late);
        if (second < 5 || (second >= 8 && second < 11))
            CHECK(counts.late_share() < 0.02);
        else
            CHECK(counts.late_share() < 0.2);
    }
}

TEST_CASE("a burst of one workspace is its own affair", "[places]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    auto shape = make_tenants_site();
    // A quarter of the engines is left, and the largest workspace asks for
    // 7.5 times its usual.
    shape.m_engines = 12;
    shape.m_first_workspace_load = [](int ms) {
        return ms > 4000 && ms < 8000 ? 7.5 * 5 : 5;
    };
    placement_simulation site(shape, seed);
    central_policy policy(site);
    const auto result = site.run(policy, 76, 4000, 12'000);
    simulation_result::counts others;
    for (const auto& [workspace, counts] : result.m_by_workspace)
    {
        if (workspace != 1)
            others = others + counts;
    }
    const auto& first = result.m_by_workspace.at(1);
    CAPTURE(seed, describe("placed", result), first.refused_share(),
            first.late_share(), first.mean_wait_ms(), others.refused_share(),
            others.late_share(), others.mean_wait_ms());
    CHECK(others.m_refused == 0);
    CHECK(others.late_share() < 0.05);
    CHECK(others.mean_wait_ms() < 20);
    CHECK(first.refused_share() < 0.5);
    CHECK(result.m_all.m_refused_begun == 0);
}

TEST_CASE("more than all engines can do: who has begun is served", "[places]")
{
    const auto seed = GENERATE(1U, 2U);
    const auto shape = with_load(make_uneven_config(), 5);
    const auto placed = run_placed(shape, seed, 51, 10'000);
    const auto own = run_own(shape, seed, 51, 10'000);
    CAPTURE(seed, describe("placed", placed), describe("own", own));
    CHECK(placed.m_all.m_refused_begun == 0);
    // Most are told so at once.
    CHECK(placed.m_all.m_refused_waited * 10 < placed.m_all.m_refused);
    const auto in_time = [](const simulation_result& result) {
        return result.m_all.m_programs - result.m_all.m_late;
    };
    CHECK(in_time(placed) > 2 * in_time(own));
}

TEST_CASE("engines that hold less than they tell are still found", "[places]")
{
    auto shape = make_uneven_config();
    shape.m_engine.m_token_capacity = shape.m_engine.m_reported_capacity / 2;
    const auto placed = run_placed(shape, 1, 51, 10'000);
    const auto own = run_own(shape, 1, 51, 10'000);
    CAPTURE(describe("placed", placed), describe("own", own));
    CHECK(placed.m_all.late_share() < own.m_all.late_share() / 3);
    CHECK(placed.m_shared_tokens_read <= own.m_shared_tokens_read / 3);
}

TEST_CASE("ways of placing, by load", "[.ways]")
{
    std::ostringstream table;
    for (const double load : {1.0, 2.0, 3.0, 4.0})
    {
        const auto shape = with_load(make_uneven_config(), load);
        const auto add = [&](const std::string& name, auto make) {
            simulation_result::counts sum;
            std::uint64_t shared = 0;
            for (const std::uint64_t seed : {1U, 2U, 3U})
            {
                placement_simulation site(shape, seed);
                const auto policy = make(site);
                const auto result = site.run(*policy, 51, 2000, 14'000);
                sum = sum + result.m_all;
                shared += result.m_shared_tokens_read;
            }
            table << load << ' ' << name << ": late " << sum.late_share()
                  << ", stretch " << sum.mean_stretch()
                  << ", shared tokens read " << shared / 3 << '\n';
        };
        add("own calls", [](const placement_simulation& site) {
            return std::make_unique<local_policy>(site, 51);
        });
        add("told loads of 300 ms, two drawn",
            [](const placement_simulation& site) {
                return std::make_unique<stale_load_policy>(site, 51,
                                                           milliseconds(300));
            });
        add("one who places", [](const placement_simulation& site) {
            return std::make_unique<central_policy>(site);
        });
    }
    WARN(table.str());
}

TEST_CASE("many engines with room for few parts: each keeps its own",
          "[places]")
{
    const std::uint64_t capacity = GENERATE(40'000U, 72'000U);
    auto shape = make_even_site();
    shape.m_engines = 128;
    shape.m_engine.m_slots = 6;
    shape.m_engine.m_token_capacity = capacity;
    shape.m_engine.m_reported_capacity = capacity;
    shape.m_kinds = {{100, 6, 1500}, {80, 4, 800}};
    const auto placed = run_placed(shape, 1, 259, 7'000);
    const auto own = run_own(shape, 1, 259, 7'000);
    CAPTURE(capacity, describe("placed", placed), describe("own", own));
    CHECK(placed.m_all.late_share() <= own.m_all.late_share() / 3);
    CHECK(placed.m_shared_tokens_read <= own.m_shared_tokens_read / 3);
}
