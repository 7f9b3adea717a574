// SPDX-License-Identifier: BSL-1.0
#include "platform/cluster_source.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/platform_store.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::platform;
using namespace pepperturn::test;

std::string entry(const std::string& state, int sequence)
{
    return R"({"service":"a","address":"1.2.3.4:5","zone":"z","slots":4,)"
           R"("state":")" +
           state + R"(","seq":)" + std::to_string(sequence) + "}";
}

/// A source that follows a stand-in store, and what it told last.
struct followed
{
    explicit followed(milliseconds longest_backoff = storage_backoff)
        : m_store(m_io),
          m_source(m_io, m_time, m_store.address(), longest_backoff)
    {
        m_source.on_state(
            [this](const cluster_state& news) { merge_state(m_state, news); });
    }

    [[nodiscard]] std::string text_of(const std::string& runner) const
    {
        for (const auto& row : m_state.m_runners)
        {
            if (row.m_name == runner)
                return row.m_text;
        }
        return {};
    }
    bool wait_for_runner(const std::string& runner, const std::string& text)
    {
        return run_until(m_io, [&] { return text_of(runner) == text; });
    }
    void settle(milliseconds span)
    {
        const auto end = std::chrono::steady_clock::now() + span;
        run_until(m_io,
                  [&] { return std::chrono::steady_clock::now() >= end; });
    }

    asio::io_context m_io;
    system_clock m_time;
    platform_store m_store;
    cluster_source m_source;
    cluster_state m_state;
};

} // namespace

TEST_CASE("the store is read whole, then followed", "[cluster_source]")
{
    followed world;
    for (int i = 0; i < 5; ++i)
        world.m_store.put("servers/i-" + std::to_string(i), entry("ready", 1));
    world.m_store.put("op/config", R"({"version":1})");
    world.m_store.put("op/retire/vm-9", "{}");
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-4", entry("ready", 1)));
    CHECK(world.m_state.m_runners.size() == 5);
    CHECK(world.m_state.m_config == R"({"version":1})");
    CHECK(is_retired(world.m_state, "vm-9"));
    world.m_store.put("servers/i-5", entry("ready", 1));
    CHECK(world.wait_for_runner("i-5", entry("ready", 1)));
    world.m_store.put("op/config", R"({"version":2})");
    CHECK(run_until(world.m_io, [&] {
        return world.m_state.m_config == R"({"version":2})";
    }));
}

TEST_CASE("a late write of a runner's entry does not count", "[cluster_source]")
{
    followed world;
    world.m_store.put("servers/i-1", entry("ready", 4));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 4)));
    world.m_store.put("servers/i-1", entry("draining", 5));
    REQUIRE(world.wait_for_runner("i-1", entry("draining", 5)));
    world.m_store.put("servers/i-1", entry("ready", 3));
    world.m_store.put("servers/i-2", entry("ready", 1));
    REQUIRE(world.wait_for_runner("i-2", entry("ready", 1)));
    CHECK(world.text_of("i-1") == entry("draining", 5));
}

TEST_CASE("a runner that starts anew under its id counts from anew",
          "[cluster_source]")
{
    const auto born = [](std::uint64_t at, int sequence) {
        auto text = entry("ready", sequence);
        text.pop_back();
        return text + R"(,"born":)" + std::to_string(at) + "}";
    };
    followed world;
    world.m_store.put("servers/i-1", born(1000, 40));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", born(1000, 40)));
    world.m_store.put("servers/i-1", born(2000, 1));
    REQUIRE(world.wait_for_runner("i-1", born(2000, 1)));
    // A late write of its earlier life.
    world.m_store.put("servers/i-1", born(1000, 41));
    world.m_store.put("servers/i-2", entry("ready", 1));
    REQUIRE(world.wait_for_runner("i-2", entry("ready", 1)));
    CHECK(world.text_of("i-1") == born(2000, 1));
}

TEST_CASE("an entry of another writer keeps no later one out",
          "[cluster_source]")
{
    followed world;
    world.m_store.put("servers/i-1", entry("ready", 4));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 4)));
    const std::string torn = R"({"service":"a","seq":900000,"born":9})";
    world.m_store.put("servers/i-1", torn);
    REQUIRE(world.wait_for_runner("i-1", torn));
    world.m_store.put("servers/i-1", entry("ready", 5));
    CHECK(world.wait_for_runner("i-1", entry("ready", 5)));
}

TEST_CASE("what the store says is as old as the question", "[cluster_source]")
{
    followed world;
    world.m_store.put("op/config", "one");
    world.m_source.start();
    REQUIRE(run_until(world.m_io, [&] { return world.m_source.synced(); }));
    CHECK(world.m_source.freshness().m_freshness == freshness_bound{});
    world.m_source.keep_fresh({true, {}, milliseconds(600)});
    REQUIRE(run_until(world.m_io, [&] {
        return world.m_source.freshness().m_freshness.m_views_confirmed_at !=
               instant{};
    }));
    const auto first = world.m_source.freshness();
    CHECK(first.m_freshness.m_config_confirmed_at <= world.m_time.now());
    // While the store is away nothing refreshes it.
    world.m_store.set_down(true);
    run_until(
        world.m_io, [] { return false; }, milliseconds(1500));
    CHECK(world.m_source.freshness() == first);
    world.m_store.set_down(false);
    world.m_store.put("op/config", "two");
    REQUIRE(run_until(world.m_io, [&] {
        return world.m_source.freshness().m_config_revision >
               first.m_config_revision;
    }));
    CHECK(world.m_source.freshness().m_freshness.m_config_confirmed_at >
          first.m_freshness.m_config_confirmed_at + milliseconds(1400));
}

TEST_CASE("a fresh answer that others have spares the question",
          "[cluster_source]")
{
    followed world;
    world.m_store.put("op/config", "one");
    world.m_source.start();
    REQUIRE(run_until(world.m_io, [&] { return world.m_source.synced(); }));
    instant heard = world.m_time.now();
    const milliseconds max_age{900};
    world.m_source.keep_fresh({true, [&] { return heard; }, max_age});
    world.settle(milliseconds(700));
    CHECK(world.m_source.freshness().m_freshness == freshness_bound{});
    // Nobody has asked for a while: this one does.
    REQUIRE(run_until(world.m_io, [&] {
        return world.m_source.freshness().m_freshness.m_config_confirmed_at !=
               instant{};
    }));
    CHECK(world.m_source.freshness().m_freshness.m_config_confirmed_at >=
          heard + max_age);
}

TEST_CASE("forgotten history is read anew", "[cluster_source]")
{
    followed world;
    world.m_store.put("servers/i-1", entry("ready", 1));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 1)));
    world.m_store.set_down(true);
    world.m_store.put("servers/i-2", entry("ready", 1));
    world.m_store.compact();
    world.m_store.set_down(false);
    CHECK(world.wait_for_runner("i-2", entry("ready", 1)));
}

TEST_CASE("an entry that lapsed in an outage has time to come back",
          "[cluster_source]")
{
    followed world;
    world.m_store.put("servers/i-1", entry("ready", 1));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 1)));
    const bool served_others = GENERATE(false, true);
    world.m_store.set_down(true);
    world.settle(milliseconds(1500));
    world.m_store.remove("servers/i-1");
    if (served_others)
        world.m_source.record_remote_contact(world.m_time.now());
    world.m_store.set_down(false);
    const auto returned = world.m_time.now();
    REQUIRE(world.wait_for_runner("i-1", ""));
    const auto took = world.m_time.now() - returned;
    // Others had the store all the while: the entry went on purpose.
    if (served_others)
        CHECK(took < milliseconds(2000));
    else
        CHECK(took > milliseconds(2000));
    CHECK(took < milliseconds(4000));
}

TEST_CASE("edge VMs ask a store that is away less often", "[cluster_source]")
{
    struct row
    {
        milliseconds m_longest;
        std::uint64_t m_least;
        std::uint64_t m_most;
    };
    const auto each =
        GENERATE(values<row>({{storage_backoff, 5, 9}, {edge_backoff, 2, 4}}));
    followed world(each.m_longest);
    world.m_store.put("servers/i-1", entry("ready", 1));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 1)));
    world.m_store.set_down(true);
    const auto before = world.m_store.calls();
    world.settle(milliseconds(3500));
    const auto asked = world.m_store.calls() - before;
    CHECK(asked >= each.m_least);
    CHECK(asked <= each.m_most);
}

TEST_CASE("a write whose answer is lost is found by the watch",
          "[cluster_source]")
{
    followed world;
    world.m_source.start();
    REQUIRE(run_until(world.m_io, [&] { return world.m_source.synced(); }));
    const cluster_view next{0,
                            {{"a", "1.2.3.4:5", "z", 3, member_state::full}}};
    world.m_store.lose_next_answer();
    const auto lost = run_task(world.m_io, world.m_source.swap_view(next, 0));
    REQUIRE(lost.has_value());
    CHECK(lost->m_outcome == swap_outcome::failed);
    REQUIRE(
        run_until(world.m_io, [&] { return !world.m_state.m_views.empty(); }));
    CHECK(world.m_state.m_views.front().m_members == next.m_members);
    const auto again = run_task(world.m_io, world.m_source.swap_view(next, 0));
    REQUIRE(again.has_value());
    CHECK(again->m_outcome == swap_outcome::conflict);
    const auto newer = run_task(
        world.m_io,
        world.m_source.swap_view(next, world.m_state.m_views.front().m_epoch));
    REQUIRE(newer.has_value());
    CHECK(newer->m_outcome == swap_outcome::written);
    CHECK(newer->m_epoch > world.m_state.m_views.front().m_epoch);
}

TEST_CASE("the views alone are read for a VM that knows no other",
          "[cluster_source]")
{
    followed world;
    world.m_store.put("op/config", R"({"version":1})");
    cluster_view view{0, {{"vm-1", "1.2.3.4:5", "z", 7, member_state::full}}};
    view.m_set_count = 1;
    world.m_store.put("pepperturn/sets/0", encode_view(view));
    SECTION("from the store")
    {
        REQUIRE(run_task(world.m_io, [&]() -> task<bool> {
            co_await world.m_source.read_views();
            co_return true;
        }()));
        REQUIRE(world.m_state.m_views.size() == 1);
        CHECK(world.m_state.m_views.front().m_members == view.m_members);
        CHECK(world.m_state.m_config.empty());
        CHECK(world.m_store.calls() == 1);
    }
    SECTION("not from one that is down")
    {
        world.m_store.set_down(true);
        REQUIRE(run_task(world.m_io, [&]() -> task<bool> {
            co_await world.m_source.read_views();
            co_return true;
        }()));
        CHECK(world.m_state.m_views.empty());
    }
    CHECK_FALSE(world.m_source.running());
}

TEST_CASE("a zone that is evacuated, and taken back", "[cluster_source]")
{
    followed world;
    const std::vector<std::string> both{"y", "z"};
    const auto evacuated = [&](const std::vector<std::string>& zones) {
        return run_until(world.m_io, [&] {
            return evacuated_zones(world.m_state) == zones;
        });
    };
    world.m_store.put("op/evacuate/z", "{}");
    world.m_source.start();
    CHECK(evacuated({"z"}));
    // Of a zone that nobody has heard of, and once more.
    world.m_store.put("op/evacuate/y", "{}");
    world.m_store.put("op/evacuate/z", "{}");
    CHECK(evacuated(both));
    world.m_store.remove("op/evacuate/z");
    CHECK(evacuated({"y"}));
    SECTION("while the store is away and forgets its history")
    {
        world.m_store.set_down(true);
        world.m_store.remove("op/evacuate/y");
        world.m_store.compact();
        world.m_store.set_down(false);
        CHECK(evacuated({}));
    }
    SECTION("again at once")
    {
        world.m_store.remove("op/evacuate/y");
        world.m_store.put("op/evacuate/y", "{}");
        world.m_store.put("op/evacuate/x", "{}");
        CHECK(evacuated({"x", "y"}));
    }
}

TEST_CASE("orders that were taken back while all were down end",
          "[cluster_source]")
{
    // Another VM tells what it finds on its disk, sooner or later than the
    // store is read.
    const bool told_late = GENERATE(false, true);
    followed world;
    world.m_store.put("op/evacuate/z", "{}");
    world.m_store.remove("op/evacuate/z");
    world.m_store.put("op/config", "one");
    cluster_state kept;
    kept.m_evacuations = {{"z", 1, false}};
    kept.m_retirements = {{"vm-1", 1, false}};
    merge_state(world.m_state, kept);
    if (!told_late)
        world.m_source.merge_remote_state(kept);
    world.m_source.start();
    REQUIRE(run_until(world.m_io, [&] { return world.m_source.synced(); }));
    if (told_late)
        world.m_source.merge_remote_state(kept);
    CHECK(run_until(world.m_io, [&] {
        return evacuated_zones(world.m_state).empty() &&
               !is_retired(world.m_state, "vm-1");
    }));
}

TEST_CASE("forgotten history after a pause is read whole", "[cluster_source]")
{
    // What came while it did not follow was taken for gone.
    followed world;
    world.m_store.put("servers/i-1", entry("ready", 1));
    world.m_store.put("pepperturn/sets/0",
                      R"({"set":0,"sets":1,"members":[]})");
    world.m_source.await_bootstrap();
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 1)));
    world.m_source.pause();
    world.settle(milliseconds(2500));
    cluster_state told;
    told.m_runners = {{"i-2", entry("ready", 1), 1}};
    merge_state(world.m_state, told);
    world.m_store.put("servers/i-2", entry("ready", 1));
    world.m_store.compact();
    world.m_source.start();
    world.settle(milliseconds(2500));
    CHECK(count_runners(world.m_state) == 2);
}

TEST_CASE("a watch that has gone silent is given up in time",
          "[cluster_source]")
{
    // A draining runner may receive requests for two seconds at most.
    constexpr milliseconds limit{1600};
    followed world;
    world.m_store.put("op/config", "one");
    world.m_store.put("servers/i-1", entry("ready", 1));
    world.m_source.start();
    REQUIRE(world.wait_for_runner("i-1", entry("ready", 1)));
    world.m_source.keep_fresh({true, {}, milliseconds(800)});
    world.settle(milliseconds(300));
    world.m_store.silence_connections();
    world.m_store.put("servers/i-1", entry("draining", 2));
    CHECK(run_until(
        world.m_io,
        [&] { return world.text_of("i-1") == entry("draining", 2); }, limit));
}
