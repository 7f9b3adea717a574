// SPDX-License-Identifier: BSL-1.0
// Members whose connections stay open while nothing arrives on them.
#include "support/fleet/connectivity_fixture.hpp"

using namespace pepperturn;
using namespace pepperturn::test;

TEST_CASE("a member that falls silent on its connection sends no updates",
          "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge edge(fleet, "edge-0", "z");
    const auto usable = [&] {
        std::string out;
        for (const auto& [name, wire] : edge.m_wires)
            out += edge.m_links.may_send_updates(name) ? name + ' ' : "";
        return out;
    };
    CHECK(usable() == "vm-0 vm-1 vm-2 ");
    edge.m_wires["vm-1"]->set_partitioned(false, true);
    // Sooner than the kernel ends the connection, if it does at all.
    CHECK(run_until(
        fleet.m_io, [&] { return usable() == "vm-0 vm-2 "; },
        milliseconds(1400)));
    edge.heal();
    CHECK(fleet.wait([&] { return usable() == "vm-0 vm-1 vm-2 "; }));
}
