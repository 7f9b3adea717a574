// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

heartbeat heartbeat_of(const std::string& vm, std::uint64_t epoch)
{
    heartbeat beat;
    beat.m_vm = vm;
    beat.m_incarnation = 1;
    beat.m_owned = {{0, epoch}};
    return beat;
}

/// A VM that knows an owner of epoch 5 whose heartbeats have timed out.
struct outdated_vm
{
    outdated_vm() : m_core("b", 2, 1, m_time, 7)
    {
        m_core.handle(deployment_changed{});
        m_core.handle(heartbeat_of("c", 5));
        (void)m_core.tick();
        m_time.advance(milliseconds(60000));
    }

    manual_clock m_time;
    scheduler m_core;
};

} // namespace

// During a store outage a VM with an unfinished claim must not direct callers
// to itself while another VM still serves the partition.
TEST_CASE("calls go to whoever says that it owns the partition", "[core]")
{
    outdated_vm vm;
    vm.m_core.handle(heartbeat_of("a", 4));
    CHECK(detail::likely_owner(vm.m_core.state(), {"w", "p", "p"}) == "a");

    // Calls submitted to this VM are redirected to the same owner.
    call_submitted submitted;
    submitted.m_request.m_id = "call";
    submitted.m_request.m_entry_vm = "d";
    submitted.m_request.m_session.m_program = {"w", "p", "p"};
    vm.m_core.handle(submitted);
    const auto commands = vm.m_core.tick();
    const auto found =
        std::find_if(commands.begin(), commands.end(), [](const command& each) {
            return std::holds_alternative<send_decision>(each);
        });
    REQUIRE(found != commands.end());
    const auto made = std::get<send_decision>(*found).m_decision;
    REQUIRE(std::holds_alternative<redirect>(made));
    CHECK(std::get<redirect>(made).m_owner_vm == "a");
}

TEST_CASE("of two announced owners the one of the newer epoch is chosen",
          "[core]")
{
    outdated_vm vm;
    vm.m_core.handle(heartbeat_of("e", 3));
    vm.m_core.handle(heartbeat_of("a", 4));
    CHECK(detail::owner_by_heartbeats(vm.m_core.state(), 0) == "a");
    CHECK(detail::owner_by_heartbeats(vm.m_core.state(), 1).empty());
}
