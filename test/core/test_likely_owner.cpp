// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

heartbeat beat_of(const std::string& vm, std::uint64_t epoch)
{
    heartbeat beat;
    beat.m_vm = vm;
    beat.m_incarnation = 1;
    beat.m_owned = {{0, epoch}};
    return beat;
}

/// A VM that has heard of an owner of epoch 5 which is gone by now.
struct outdated_vm
{
    outdated_vm() : m_core("b", 2, 1, m_time, 7)
    {
        m_core.handle(deployment_changed{});
        m_core.handle(beat_of("c", 5));
        (void)m_core.tick();
        m_time.advance(milliseconds(60000));
    }

    manual_clock m_time;
    scheduler m_core;
};

} // namespace

// A VM whose claim an outage of the store had left open sent its callers to
// itself for as long as the outage lasted, beside the VM that served them.
TEST_CASE("calls go to whoever says that it owns the partition", "[core]")
{
    outdated_vm vm;
    vm.m_core.handle(beat_of("a", 4));
    CHECK(detail::likely_owner(vm.m_core.state(), {"w", "p", "p"}) == "a");

    // Others that ask this VM are told the same.
    call_submitted asked;
    asked.m_request.m_id = "call";
    asked.m_request.m_entry_vm = "d";
    asked.m_request.m_session.m_program = {"w", "p", "p"};
    vm.m_core.handle(asked);
    const auto orders = vm.m_core.tick();
    const auto found =
        std::find_if(orders.begin(), orders.end(), [](const command& order) {
            return std::holds_alternative<send_decision>(order);
        });
    REQUIRE(found != orders.end());
    const auto made = std::get<send_decision>(*found).m_decision;
    REQUIRE(std::holds_alternative<redirect>(made));
    CHECK(std::get<redirect>(made).m_owner_vm == "a");
}

TEST_CASE("of two that say so, the one of the newer epoch is asked", "[core]")
{
    outdated_vm vm;
    vm.m_core.handle(beat_of("e", 3));
    vm.m_core.handle(beat_of("a", 4));
    CHECK(detail::owner_by_heartbeats(vm.m_core.state(), 0) == "a");
    CHECK(detail::owner_by_heartbeats(vm.m_core.state(), 1).empty());
}
