// SPDX-License-Identifier: BSL-1.0
// Simulated deployments under high load, on a virtual clock.
#include "scheduling/placement_policies.hpp"

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

simulation_result run_central(const simulation_config& config,
                              std::uint64_t seed, std::uint32_t vms,
                              int until_ms)
{
    placement_simulation simulation(config, seed);
    central_policy policy(simulation);
    return simulation.run(policy, vms, 2000, until_ms);
}

simulation_result run_local(const simulation_config& config, std::uint64_t seed,
                            std::uint32_t vms, int until_ms)
{
    placement_simulation simulation(config, seed);
    local_policy policy(simulation, vms);
    return simulation.run(policy, vms, 2000, until_ms);
}

simulation_config make_even_config()
{
    auto config = make_uneven_config();
    config.m_one_slow_in = 0;
    config.m_engine.m_noise_share = 0;
    return config;
}

/// Every fourth engine is slow, the one before it is not.
constexpr int faulty_engines = 6;

std::uint32_t faulty_engine(int number)
{
    return static_cast<std::uint32_t>(4 * number + 3);
}

/// Calls per second sent to the faulty engines.
double faulty_engine_rate(const simulation_result& result, int from_ms,
                          int until_ms)
{
    double sum = 0;
    for (int i = 0; i < faulty_engines; ++i)
    {
        const auto& begun = result.m_begun.at(faulty_engine(i));
        for (int at = from_ms / 100; at < until_ms / 100; ++at)
            sum += at < static_cast<int>(begun.size()) ? begun.at(at) : 0;
    }
    return sum * 1000 / (until_ms - from_ms);
}

simulation_config make_workspaces_config()
{
    simulation_config config;
    config.m_engines = 48;
    config.m_engine.m_slots = 8;
    config.m_engine.m_token_capacity = 220'527;
    config.m_engine.m_reported_capacity = 220'527;
    config.m_engine.m_token_ms = 1.09;
    config.m_engine.m_prefill_tokens_per_ms = 374;
    config.m_engine.m_batch_token_share = 0;
    config.m_engine.m_concurrency_share = 0.027;
    config.m_one_slow_in = 0;
    config.m_engine.m_noise_share = 0;
    config.m_kinds = {{48.7, 4, 1680}, {28.7, 9, 840}};
    config.m_events = 7;
    config.m_workspaces = 86;
    return config;
}

} // namespace

TEST_CASE("uneven engines: central placement completes more programs in time",
          "[places]")
{
    const auto seed = GENERATE(1U, 2U);
    const double load = GENERATE(1.0, 3.0);
    const auto config = with_load(make_uneven_config(), load);
    const auto central = run_central(config, seed, 51, 14'000);
    const auto local = run_local(config, seed, 51, 14'000);
    CAPTURE(seed, load, describe("placed", central), describe("own", local));
    CHECK(central.m_all.late_share() < local.m_all.late_share() / 3);
    CHECK(central.m_all.m_refused == 0);
    CHECK(central.m_shared_tokens_read <= local.m_shared_tokens_read / 3);
}

TEST_CASE("equal engines: no herding, however many VMs request", "[places]")
{
    const std::uint32_t vms = GENERATE(50U, 300U);
    const double load = GENERATE(2.0, 4.0);
    const auto config = with_load(make_even_config(), load);
    const auto central = run_central(config, 1, vms, 10'000);
    const auto local = run_local(config, 1, vms, 10'000);
    CAPTURE(vms, load, describe("placed", central), describe("own", local));
    CHECK(central.m_busiest < 2);
    CHECK(central.m_busiest < local.m_busiest);
}

TEST_CASE("engines that slow down or hang lose their calls and regain them",
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
    auto config = with_load(make_uneven_config(), 3);
    config.m_demand = [](int) { return 1.0; };
    placement_simulation simulation(config, 1);
    central_policy policy(simulation);
    simulation.m_at = [&simulation, &each](int ms) {
        for (int i = 0; i < faulty_engines; ++i)
        {
            if (ms == 6000)
                simulation.set_slowdown(faulty_engine(i), each.m_factor);
            if (ms == 9000)
                simulation.set_slowdown(faulty_engine(i), 1);
        }
    };
    const auto result = simulation.run(policy, 51, 2000, 15'000);
    const double before = faulty_engine_rate(result, 4000, 6000);
    const double during = faulty_engine_rate(result, 6300, 9000);
    const double after = faulty_engine_rate(result, 11'000, 14'000);
    CAPTURE(describe("placed", result), before, during, after);
    CHECK(during < before / 5);
    CHECK(after > before / 2);
}

TEST_CASE("a new placement VM learns within two seconds", "[places]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    auto config = with_load(make_uneven_config(), 2);
    config.m_demand = [](int) { return 1.0; };
    placement_simulation simulation(config, seed);
    central_policy policy(simulation);
    simulation.m_at = [&policy](int ms) {
        if (ms == 6000)
            policy.replace_service(instant(seconds(1006)));
    };
    const auto result = simulation.run(policy, 51, 2000, 12'000);
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

TEST_CASE("a burst of one workspace does not affect the others", "[places]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    auto config = make_workspaces_config();
    // A quarter of the engines is left, and the largest workspace requests 7.5
    // times its usual load.
    config.m_engines = 12;
    config.m_first_workspace_load = [](int ms) {
        return ms > 4000 && ms < 8000 ? 7.5 * 5 : 5;
    };
    placement_simulation simulation(config, seed);
    central_policy policy(simulation);
    const auto result = simulation.run(policy, 76, 4000, 12'000);
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

TEST_CASE("overload: programs that have begun are served", "[places]")
{
    const auto seed = GENERATE(1U, 2U);
    const auto config = with_load(make_uneven_config(), 5);
    const auto central = run_central(config, seed, 51, 10'000);
    const auto local = run_local(config, seed, 51, 10'000);
    CAPTURE(seed, describe("placed", central), describe("own", local));
    CHECK(central.m_all.m_refused_begun == 0);
    // Most are refused at once.
    CHECK(central.m_all.m_refused_waited * 10 < central.m_all.m_refused);
    const auto in_time = [](const simulation_result& result) {
        return result.m_all.m_programs - result.m_all.m_late;
    };
    CHECK(in_time(central) > 2 * in_time(local));
}

TEST_CASE("placement works with engines that cache less than reported",
          "[places]")
{
    auto config = make_uneven_config();
    config.m_engine.m_token_capacity = config.m_engine.m_reported_capacity / 2;
    const auto central = run_central(config, 1, 51, 10'000);
    const auto local = run_local(config, 1, 51, 10'000);
    CAPTURE(describe("placed", central), describe("own", local));
    CHECK(central.m_all.late_share() < local.m_all.late_share() / 3);
    CHECK(central.m_shared_tokens_read <= local.m_shared_tokens_read / 3);
}

TEST_CASE("placement policies by load", "[.ways]")
{
    std::ostringstream table;
    for (const double load : {1.0, 2.0, 3.0, 4.0})
    {
        const auto config = with_load(make_uneven_config(), load);
        const auto add = [&](const std::string& name, auto make) {
            simulation_result::counts sum;
            std::uint64_t shared = 0;
            for (const std::uint64_t seed : {1U, 2U, 3U})
            {
                placement_simulation simulation(config, seed);
                const auto policy = make(simulation);
                const auto result = simulation.run(*policy, 51, 2000, 14'000);
                sum = sum + result.m_all;
                shared += result.m_shared_tokens_read;
            }
            table << load << ' ' << name << ": late " << sum.late_share()
                  << ", stretch " << sum.mean_stretch()
                  << ", shared tokens read " << shared / 3 << '\n';
        };
        add("own calls only", [](const placement_simulation& simulation) {
            return std::make_unique<local_policy>(simulation, 51);
        });
        add("loads of 300 ms ago, best of two",
            [](const placement_simulation& simulation) {
                return std::make_unique<stale_load_policy>(simulation, 51,
                                                           milliseconds(300));
            });
        add("central placement", [](const placement_simulation& simulation) {
            return std::make_unique<central_policy>(simulation);
        });
    }
    WARN(table.str());
}

TEST_CASE("many engines with small caches keep distinct parts", "[places]")
{
    const std::uint64_t capacity = GENERATE(40'000U, 72'000U);
    auto config = make_even_config();
    config.m_engines = 128;
    config.m_engine.m_slots = 6;
    config.m_engine.m_token_capacity = capacity;
    config.m_engine.m_reported_capacity = capacity;
    config.m_kinds = {{100, 6, 1500}, {80, 4, 800}};
    const auto central = run_central(config, 1, 259, 7'000);
    const auto local = run_local(config, 1, 259, 7'000);
    CAPTURE(capacity, describe("placed", central), describe("own", local));
    CHECK(central.m_all.late_share() <= local.m_all.late_share() / 3);
    CHECK(central.m_shared_tokens_read <= local.m_shared_tokens_read / 3);
}
