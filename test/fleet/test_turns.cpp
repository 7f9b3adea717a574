// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/storage_fixture.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("a turn continues a stored turn", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    CHECK(fleet.begin(storage_fixture::request("a", "")).m_outcome ==
          begin_outcome::granted);
    REQUIRE(fleet.keep("a", ""));
    REQUIRE(fleet.keep("b", "a"));
    const auto result = fleet.begin(storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
    CHECK(fleet.begin(storage_fixture::request("d", "nobody")).m_outcome ==
          begin_outcome::no_such_turn);
}

TEST_CASE("budgets hold over all storage VMs", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    // Each reserves 50 until it is settled.
    CHECK(fleet.begin(storage_fixture::request("a", "", 120)).m_outcome ==
          begin_outcome::granted);
    CHECK(fleet.begin(storage_fixture::request("b", "", 120)).m_outcome ==
          begin_outcome::granted);
    const auto third = storage_fixture::request("c", "", 120);
    CHECK(fleet.begin(third).m_outcome == begin_outcome::over_budget);
    fleet.m_client.settle(third, 0);
    fleet.m_client.settle(storage_fixture::request("b", ""), 10);
    CHECK(fleet.begin(storage_fixture::request("d", "", 120)).m_outcome ==
          begin_outcome::granted);
}

TEST_CASE("one storage VM unreachable: served, but absence is not certain",
          "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    // Its listener has closed, its disk still exists.
    fleet.lose("vm-0");
    REQUIRE_FALSE(fleet.m_links.connected("vm-0"));
    const auto result = fleet.begin(storage_fixture::request("b", "a"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;");
    CHECK(fleet.keep("b", "a"));
    CHECK(
        fleet.begin(storage_fixture::request("c", "nobody"), milliseconds(400))
            .m_outcome == begin_outcome::unavailable);
}

TEST_CASE("a VM that no storage VM replies to fails soon", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    // No storage VM is left.
    for (const auto& [name, vm] : fleet.m_vms)
        vm->m_node->stop();
    fleet.m_io.run_for(milliseconds(400));
    fleet.m_io.restart();
    const auto asked = fleet.m_time.now();
    const auto result = fleet.begin(storage_fixture::request("b", "a"));
    CHECK(result.m_outcome == begin_outcome::unavailable);
    CHECK_FALSE(fleet.keep("b", "a"));
    CHECK(fleet.m_time.now() - asked < milliseconds(4000));
}

TEST_CASE("a turn history whose parts lie on different VMs is assembled",
          "[fleet]")
{
    // The nearest VM lacks a part in the middle, which is fetched from another;
    // guards against a double free on that path.
    storage_fixture fleet;
    fleet.add("vm-0");
    fleet.add("vm-1");
    REQUIRE(fleet.wait_for("vm-0Fvm-1F"));
    REQUIRE(run_until(fleet.m_io, [&] {
        return fleet.m_links.connected("vm-0") &&
               fleet.m_links.connected("vm-1");
    }));
    const std::string long_id(60, 'x');
    REQUIRE(fleet.keep(long_id, ""));
    fleet.add("vm-2");
    REQUIRE(fleet.wait_for("vm-0Fvm-1Fvm-2F"));
    REQUIRE(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-2"); }));
    const log_entry middle{retention_ms,
                           turn_record{std::string(60, 'y'), long_id, "in-y;",
                                       "out-y;", "run", key_of("program"),
                                       key_of("y"), 30}};
    // Only vm-1 and vm-2 store the middle turn.
    for (const char* name : {"vm-1", "vm-2"})
    {
        bool done = false;
        fleet.m_links.call(name, fleet.m_state.m_views.front().m_epoch,
                           append_message{middle},
                           [&](const std::optional<frame>&) { done = true; });
        REQUIRE(run_until(fleet.m_io, [&] { return done; }));
    }
    REQUIRE(fleet.keep("z", std::string(60, 'y')));
    const auto result = fleet.begin(storage_fixture::request("next", "z"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) ==
          "in-" + long_id + ";out-" + long_id + ";in-y;out-y;in-z;out-z;");
}

TEST_CASE("a restarted VM still has what it acknowledged", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    fleet.restart("vm-0");
    REQUIRE(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-0"); }));
    CHECK(fleet.wait_for("vm-0Fvm-1Fvm-2F"));
    const auto result = fleet.begin(storage_fixture::request("b", "a"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;");
}

// Members that load their disks refuse for seconds after a start of all.
TEST_CASE("members that refuse are asked again with pauses", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    auto views = fleet.m_state.m_views;
    --views.front().m_epoch;
    fleet.m_client.follow(views);
    const auto before = fleet.m_links.direct_requests();
    constexpr milliseconds span{1000};
    CHECK(fleet.begin(storage_fixture::request("a", ""), span).m_outcome ==
          begin_outcome::unavailable);
    constexpr milliseconds pause{60};
    constexpr std::uint64_t members = 3;
    const auto rounds = static_cast<std::uint64_t>(span / pause) + 1;
    CHECK(fleet.m_links.direct_requests() - before <= members * rounds);
}
