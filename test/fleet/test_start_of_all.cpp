// SPDX-License-Identifier: BSL-1.0
// Runner entries that an edge VM receives when all VMs start at once: they have
// to be few, since a small VM handles nothing else meanwhile.
#include "support/fleet/edge_vm.hpp"
#include "support/fleet/stoppable_clock.hpp"

#include <algorithm>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// Fewer than the storage VMs, so that the fleet is treated as large.
constexpr std::size_t few_links = 2;
/// Runners that a seed sends to a VM that looks for members.
constexpr std::size_t short_list = 1000;
/// Timeout of the test's setup on a busy machine.
constexpr milliseconds setup_timeout{30000};

} // namespace

// Hundreds of edge VMs that read all runners would delay the configuration.
TEST_CASE("an edge VM reads no runners from the store at a start of all",
          "[fleet]")
{
    const std::size_t runners = GENERATE(300, 1200);
    storage_fixture fleet;
    fleet.start_three();
    fleet.m_store.put("op/config",
                      R"({"version":4,"routes":[],"services":[]})");
    for (std::size_t i = 0; i < runners; ++i)
        fleet.m_store.put("servers/i-" + std::to_string(i),
                          R"({"service":"a","seq":1})");
    for (const auto& [name, vm] : fleet.m_vms)
        REQUIRE(run_until(
            fleet.m_io,
            [runners, node = vm->m_node.get()] {
                return node->state().m_runners.size() == runners;
            },
            setup_timeout));
    // Lists carry a revision once no entry can have expired by accident.
    const auto all_dated = [&] {
        return std::all_of(
            fleet.m_vms.begin(), fleet.m_vms.end(), [](const auto& row) {
                return row.second->m_node->state().m_runners_revision > 0;
            });
    };
    for (int sequence = 2; !all_dated() && sequence < 200; ++sequence)
    {
        fleet.m_store.put("servers/i-0", R"({"service":"a","seq":)" +
                                             std::to_string(sequence) + "}");
        run_until(fleet.m_io, all_dated, milliseconds(100));
    }
    REQUIRE(all_dated());
    // Their state is written to disk with a delay.
    run_until(
        fleet.m_io, [] { return false; }, milliseconds(300));
    for (const auto& [name, vm] : fleet.m_vms)
        vm->m_node->tick();
    fleet.m_store.set_down(true);
    fleet.restart_all();
    std::vector<std::string> seeds;
    seeds.reserve(fleet.m_vms.size());
    for (const auto& [name, vm] : fleet.m_vms)
        seeds.push_back("127.0.0.1:" + std::to_string(vm->m_port));
    stoppable_clock time;
    time.stop_now();
    edge_vm edge(fleet, time, seeds, few_links);
    CHECK(edge.run_to(
        [&] { return edge.figure("runner_entries_told") >= runners; }));
    // Longer than a small fleet's edge VM waits before it reads the store.
    time.advance(milliseconds(1000));
    edge.m_node->tick();
    CHECK_FALSE(edge.m_source.running());
    fleet.m_store.set_down(false);
    fleet.m_store.put("op/config",
                      R"({"version":5,"routes":[],"services":[]})");
    CHECK(edge.run_to([&] { return edge.figure("config_version") == 5; }));
    CHECK(edge.figure("runner_entries_read") == 0);
    // A short list from each seed, or a long one from the first source only.
    CHECK(edge.figure("runner_entries_told") <=
          std::max(2 * runners, seeds.size() * short_list));
}
