// SPDX-License-Identifier: BSL-1.0
// Restart of a VM while all others start: which VMs it finds, and what it does
// first.
#include "support/fleet/edge_vm.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("an edge VM that starts before its seeds finds others", "[fleet]")
{
    storage_fixture fleet;
    fleet.m_store.put("op/config",
                      R"({"version":4,"routes":[],"services":[]})");
    fleet.start_three();
    // Its periodic work, which would start following the store, does not run.
    edge_vm edge(
        fleet, fleet.m_time,
        {edge_vm::free_address(fleet.m_io), edge_vm::free_address(fleet.m_io)});
    CHECK(run_until(fleet.m_io, [&] { return edge.is_ready(); }));
    CHECK_FALSE(edge.m_source.running());
}

TEST_CASE("a starting storage VM replies before it decodes routes", "[fleet]")
{
    storage_fixture fleet;
    fleet.m_store.put("op/config",
                      R"({"version":4,"routes":[],"services":[]})");
    fleet.start_three();
    REQUIRE(
        run_until(fleet.m_io, [&] { return !fleet.m_state.m_config.empty(); }));
    fleet.m_vms["vm-0"]->m_node->tick();
    fleet.lose("vm-0");
    fleet_settings settings;
    settings.m_name = "vm-0";
    settings.m_frames_address =
        "127.0.0.1:" + std::to_string(free_port(fleet.m_io));
    settings.m_data_folder = fleet.m_folder + "/vm-0";
    settings.m_store_address = fleet.m_store.address();
    platform::cluster_source source(fleet.m_io, fleet.m_time,
                                    fleet.m_store.address());
    int read = 0;
    storage_node node(fleet.m_io, fleet.m_time, settings,
                      {[&](const std::string& text, std::string& reason) {
                           ++read;
                           return platform::decode_config(text, reason);
                       },
                       platform::decode_runner},
                      source);
    std::string reason;
    REQUIRE(node.start(reason));
    CHECK_FALSE(node.state().m_views.empty());
    CHECK(read == 0);
    CHECK(run_until(fleet.m_io, [&] { return read == 1; }));
    node.stop();
    source.pause();
    fleet.m_io.run_for(milliseconds(400));
}
