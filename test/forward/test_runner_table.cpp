// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/allowed_regions.hpp"
#include "pepperturn/forward/runner_table.hpp"

#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace pepperturn;

runner_info runner(const std::string& id, const std::string& zone,
                   bool draining = false)
{
    return {id, "svc", "127.0.0.1:1", zone, 4, draining};
}

std::string chosen(const runner_table& table, const runner_query& choice,
                   instant now = {})
{
    const auto* row = table.choose(choice, now);
    return row == nullptr ? "-" : row->m_info.m_id;
}

} // namespace

TEST_CASE("which runner a request goes to", "[runner_table]")
{
    runner_table table;
    table.replace({runner("near", "z1"), runner("far", "z2"),
                   runner("leaves", "z1", true)});
    runner_query choice{"svc", "", "z1", {}, 1, {}};
    CHECK(chosen(table, choice) == "near");
    // With one request in flight there, the other zone costs less.
    table.record_request_start("near");
    CHECK(chosen(table, choice) == "far");
    choice.m_preferred_incarnation = "near";
    CHECK(chosen(table, choice) == "near");
    choice.m_excluded = {"near"};
    CHECK(chosen(table, choice) == "far");
    choice.m_excluded = {"near", "far"};
    CHECK(chosen(table, choice) == "-");
    choice.m_service = "other";
    CHECK(chosen(table, choice) == "-");
}

TEST_CASE("one late response outweighs an idle connection", "[runner_table]")
{
    struct sample
    {
        int m_late_ms;
        const char* m_chosen;
    };
    const auto each = GENERATE(values<sample>(
        {{1, "kept"}, {5, "kept"}, {8, "other"}, {80, "other"}}));
    runner_table table;
    table.replace({runner("kept", "z1"), runner("other", "z1")});
    runner_query choice{"svc", "", "z1", {}, 1, {}};
    choice.m_connected = [](const std::string& id) { return id == "kept"; };
    for (int i = 0; i < 10; ++i)
        table.record_first_byte("kept", "route", milliseconds(1));
    table.record_first_byte("kept", "route", milliseconds(each.m_late_ms));
    CHECK(chosen(table, choice) == each.m_chosen);
}

TEST_CASE("a failing runner is deprioritised during its back-off",
          "[runner_table]")
{
    runner_table table;
    table.replace({runner("a", "z1"), runner("b", "z2")});
    const runner_query choice{"svc", "", "z1", {}, 1, {}};
    const instant now{};
    table.record_failure("a", now);
    CHECK(chosen(table, choice, now) == "b");
    CHECK(chosen(table, choice, now + milliseconds(301)) == "a");
    table.record_failure("a", now);
    CHECK(chosen(table, choice, now + milliseconds(301)) == "b");
    // It is still used if no other runner is eligible.
    runner_query only = choice;
    only.m_excluded = {"b"};
    CHECK(chosen(table, only, now) == "a");
}

TEST_CASE("a runner with some failed requests is used less", "[runner_table]")
{
    runner_table table;
    table.replace({runner("grey", "z1"), runner("b", "z2")});
    const runner_query choice{"svc", "", "z1", {}, 1, {}};
    const instant now{};
    CHECK(chosen(table, choice, now) == "grey");
    // Two errors in five responses.
    for (const bool good : {true, false, true, true, false})
        table.record_result("grey", good, now);
    CHECK(chosen(table, choice, now) == "b");
    // The error rate has decayed.
    CHECK(chosen(table, choice, now + milliseconds(20000)) == "grey");
    // One error in fifty changes nothing.
    for (int i = 0; i < 50; ++i)
        table.record_result("b", i != 0, now);
    CHECK(chosen(table, choice, now) == "b");
}

TEST_CASE("a slow runner is distinguished from a slow route", "[runner_table]")
{
    runner_table table;
    table.replace({runner("a", "z1"), runner("b", "z1"), runner("slow", "z1"),
                   runner("unused", "z1")});
    // Requests of one route take four times as long on every runner.
    const auto connected = [](const std::string& id) { return id != "unused"; };
    runner_query choice{"svc", "", "z1", {}, 1, connected};
    for (int i = 0; i < 60; ++i)
    {
        const std::string id = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "slow";
        const bool long_work = i % 2 == 0;
        const int times = id == "slow" ? 5 : 1;
        table.record_first_byte(id, long_work ? "long" : "short",
                                milliseconds((long_work ? 320 : 80) * times));
    }
    CHECK(table.find("a")->m_slowness < 1.4);
    CHECK(table.find("b")->m_slowness < 1.4);
    CHECK(table.find("slow")->m_slowness > 1.8);
    for (choice.m_random_tiebreak = 1; choice.m_random_tiebreak < 20;
         ++choice.m_random_tiebreak)
    {
        // No connection to the unused runner is opened by the random tie-break.
        const auto id = chosen(table, choice);
        CHECK((id == "a" || id == "b"));
    }
    choice.m_excluded = {"a", "b"};
    CHECK(chosen(table, choice) == "unused");
}

TEST_CASE("a new list keeps the statistics of runners", "[runner_table]")
{
    runner_table table;
    table.replace({runner("a", "z1"), runner("b", "z1")});
    table.record_request_start("a");
    table.replace({runner("a", "z1"), runner("c", "z1")});
    CHECK(table.find("a")->m_in_flight == 1);
    CHECK(table.find("b") == nullptr);
    CHECK(table.size() == 2);
    table.record_request_end("a");
    table.record_request_end("a");
    CHECK(table.find("a")->m_in_flight == 0);
}

TEST_CASE("the longest matching prefix of the host selects the route",
          "[routing]")
{
    routing_config config;
    for (const auto& [name, host, prefix] :
         {std::tuple("root", "a.example", "/"),
          std::tuple("deep", "a.example", "/x/y/"),
          std::tuple("shallow", "a.example", "/x/"),
          std::tuple("other", "b.example", "/x/")})
    {
        route row;
        row.m_name = name;
        row.m_host = host;
        row.m_path_prefix = prefix;
        config.m_routes.push_back(row);
    }
    struct sample
    {
        std::string m_host;
        std::string m_path;
        std::string m_expected;
    };
    const auto each = GENERATE(values<sample>({
        {"a.example", "/x/y/z", "deep"},
        {"A.Example:8080", "/x/z?p=/x/y/", "shallow"},
        {"a.example", "/x", "root"},
        {"b.example", "/x/y/", "other"},
        {"b.example", "/", "-"},
        {"c.example", "/x/", "-"},
    }));
    INFO(each.m_host << each.m_path);
    const auto* found = find_route(config, each.m_host, each.m_path);
    CHECK((found == nullptr ? "-" : found->m_name) == each.m_expected);
}

TEST_CASE("a runner that restarts under its id loses its statistics",
          "[runners]")
{
    runner_table table;
    runner_info info{"r1", "svc", "1.2.3.4:5", "z", 4, false, 1000};
    CHECK(table.replace({info}).empty());
    const auto before = table.find("r1")->m_incarnation;
    const instant now = instant{} + milliseconds(1000);
    table.record_request_start("r1");
    table.record_failure("r1", now);
    table.record_result("r1", false, now);
    CHECK(table.replace({info}).empty());
    CHECK(table.find("r1")->m_consecutive_failures == 1);
    info.m_started_at_ms = 2000;
    CHECK(table.replace({info}) == std::vector<std::string>{"r1"});
    const auto* row = table.find("r1");
    CHECK(row->m_consecutive_failures == 0);
    CHECK(row->m_in_flight == 0);
    CHECK(row->m_error_rate == 0);
    // The cache of the earlier incarnation is lost.
    CHECK(table.find_incarnation(before) == nullptr);
    CHECK(table.find_incarnation(row->m_incarnation) == row);
}

TEST_CASE("runners of an evacuated zone receive no requests", "[runner_table]")
{
    runner_table table;
    table.replace({runner("a", "z1"), runner("b", "z2")});
    runner_query choice{"svc", "", "z1", {}, 1, {}};
    choice.m_preferred_incarnation = "a";
    CHECK(chosen(table, choice) == "a");
    table.evacuate({"z1", "nowhere"});
    CHECK(chosen(table, choice) == "b");
    // With all zones evacuated no runner is eligible.
    table.evacuate({"z1", "z2"});
    CHECK(chosen(table, choice) == "-");
    table.evacuate({});
    CHECK(chosen(table, choice) == "a");
}

TEST_CASE("cold runners are used when others are busy", "[runner_table]")
{
    const instant now = instant{} + milliseconds(10000);
    runner_table table;
    auto cold = runner("cold", "z1");
    cold.m_cold_remaining = milliseconds(3000);
    (void)table.replace({cold, runner("warm", "z1")}, now);
    runner_query choice{"svc", "", "z1", {}, 1, {}};
    CHECK(chosen(table, choice, now) == "warm");
    for (int i = 0; i < 3; ++i)
        table.record_request_start("warm");
    CHECK(chosen(table, choice, now) == "cold");
    choice.m_warm_only = true;
    CHECK(chosen(table, choice, now) == "warm");
    CHECK(chosen(table, choice, now + milliseconds(3000)) == "cold");
    // It becomes cold again under the same id.
    cold.m_cold_remaining = milliseconds(500);
    (void)table.update({{"cold", cold}}, now + milliseconds(4000));
    CHECK(chosen(table, choice, now + milliseconds(4400)) == "warm");
}

TEST_CASE("the number of runners compared is independent of fleet size",
          "[runner_table]")
{
    const auto fleet = GENERATE(500, 2000);
    std::vector<runner_info> runners;
    runners.reserve(fleet);
    for (int i = 0; i < fleet; ++i)
        runners.push_back(
            runner("r" + std::to_string(i), "z" + std::to_string(i % 5)));
    runner_table table(7);
    (void)table.replace(runners);
    std::size_t weighed = 0;
    runner_query choice{"svc", "", "z1", {}, 1, {}};
    choice.m_shared_prefix = 99;
    const auto* row = table.choose(choice, {}, &weighed);
    REQUIRE(row != nullptr);
    CHECK(row->m_info.m_availability_zone == "z1");
    CHECK(weighed <= max_candidates + runners_per_prefix + 1);
    // The zone is evacuated: runners of another one are compared as well.
    table.evacuate({"z1"});
    row = table.choose(choice, {}, &weighed);
    REQUIRE(row != nullptr);
    CHECK(weighed <= 3 * (max_candidates + runners_per_prefix + 1));
}

TEST_CASE("all VMs together use all runners of a large service",
          "[runner_table]")
{
    constexpr int fleet = 400;
    constexpr std::uint64_t vms = 800;
    std::vector<runner_info> runners;
    runners.reserve(fleet);
    for (int i = 0; i < fleet; ++i)
        runners.push_back(runner("r" + std::to_string(i), "z1"));
    const auto busiest = [&](bool own_seeds) {
        std::map<std::string, int> calls;
        for (std::uint64_t vm = 1; vm <= vms; ++vm)
        {
            runner_table table(own_seeds ? vm * 7919 : 0);
            (void)table.replace(runners);
            // The first call of each VM.
            const runner_query choice{
                "svc", "", "z1", {}, own_seeds ? vm * 7919 : 1, {}};
            ++calls[chosen(table, choice)];
        }
        int most = 0;
        for (const auto& [id, count] : calls)
            most = std::max(most, count);
        return most;
    };
    // With one seed for all, all first calls go to one runner.
    CHECK(busiest(false) == static_cast<int>(vms));
    CHECK(busiest(true) <= 20);
}

TEST_CASE("prompts with a shared prefix go to few of many runners",
          "[runner_table]")
{
    std::vector<runner_info> runners;
    runners.reserve(400);
    for (int i = 0; i < 400; ++i)
        runners.push_back(runner("r" + std::to_string(i), "z1"));
    std::map<std::string, int> calls;
    for (std::uint64_t vm = 1; vm <= 100; ++vm)
    {
        runner_table table(vm * 7919);
        (void)table.replace(runners);
        runner_query choice{"svc", "", "z1", {}, vm * 7919, {}};
        choice.m_shared_prefix = 99;
        ++calls[chosen(table, choice)];
        // A VM with a call in flight there uses another one with the prefix.
        table.record_request_start(chosen(table, choice));
        ++calls[chosen(table, choice)];
    }
    CHECK(calls.size() <= runners_per_prefix);
}

TEST_CASE("runners of other regions, and regions that a request excludes",
          "[runner_table]")
{
    runner_table table;
    zone_map zones;
    REQUIRE(parse_zone_map("n-a=north,n-b=north,s-a=south", zones).empty());
    table.set_zones(zones);
    (void)table.replace({runner("near", "n-b"), runner("far", "s-a")});
    runner_query choice{"svc", "", "n-a", {}, 1, {}};
    CHECK(chosen(table, choice) == "near");
    // One call in flight costs less than another region, full slots do not.
    table.record_request_start("near");
    CHECK(chosen(table, choice) == "near");
    for (int i = 0; i < 3; ++i)
        table.record_request_start("near");
    CHECK(chosen(table, choice) == "far");
    choice.m_regions = std::set<std::string>{"north"};
    CHECK(chosen(table, choice) == "near");
    choice.m_regions = std::set<std::string>{"west"};
    CHECK(chosen(table, choice) == "-");
    choice.m_regions.emplace();
    CHECK(chosen(table, choice) == "-");
}

TEST_CASE("both the route and the workspace restrict the regions",
          "[home_regions]")
{
    route where;
    workspace owner;
    CHECK_FALSE(allowed_regions(where, nullptr));
    CHECK_FALSE(allowed_regions(where, &owner));
    where.m_regions = {"a", "b"};
    CHECK(allowed_regions(where, &owner) == where.m_regions);
    owner.m_regions = {"b", "c"};
    CHECK(allowed_regions(where, &owner) == std::set<std::string>{"b"});
    CHECK(allowed_regions(where, nullptr) == where.m_regions);
    owner.m_regions = {"c"};
    CHECK(allowed_regions(where, &owner) == std::set<std::string>{});
    CHECK(allowed_regions(route{}, &owner) == owner.m_regions);
}
