// SPDX-License-Identifier: BSL-1.0
// A configuration that the operator's store has acknowledged is in force on an
// edge VM in time, whatever becomes of the storage VMs that tell it.
#include "support/fleet/separate_edge.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// What becomes of all storage VMs.
enum class source_fault : std::uint8_t
{
    none,
    /// Their processes end, and their connections with them.
    killed,
    /// Their connections stay open, and nothing arrives on them.
    frozen,
    /// The store turns them away, and serves the edge VM.
    turned_away
};

constexpr milliseconds apply_limit{2000};

void strike(separate_edge& edge, source_fault fault)
{
    switch (fault)
    {
    case source_fault::none:
        return;
    case source_fault::killed:
        edge.kill_storage();
        return;
    case source_fault::frozen:
        edge.freeze_storage();
        return;
    case source_fault::turned_away:
        edge.m_fleet.m_store.set_down(true);
        return;
    }
}

} // namespace

TEST_CASE("a change is in force in time though no storage VM tells it",
          "[config_in_force]")
{
    struct row
    {
        const char* m_what;
        source_fault m_fault;
        /// From the fault to the change.
        milliseconds m_before{0};
    };
    const auto each = GENERATE(values<row>({
        {"nothing fails", source_fault::none, milliseconds(0)},
        {"killed", source_fault::killed, milliseconds(0)},
        {"killed a second before", source_fault::killed, milliseconds(1000)},
        {"frozen", source_fault::frozen, milliseconds(0)},
        {"frozen a second before", source_fault::frozen, milliseconds(1000)},
        {"turned away", source_fault::turned_away, milliseconds(0)},
        {"turned away a second before", source_fault::turned_away,
         milliseconds(1000)},
    }));
    INFO(each.m_what);
    separate_edge edge;
    strike(edge, each.m_fault);
    edge.run_for(each.m_before);
    edge.change_config(5);
    CHECK(edge.run([&] { return edge.figure("config_version") == 5; },
                   apply_limit));
}

TEST_CASE("a VM that starts among storage VMs without the store is not behind",
          "[config_in_force]")
{
    separate_edge edge(false);
    edge.change_config(5);
    CHECK(edge.run([&] { return edge.figure("config_version") == 5; },
                   apply_limit));
}

TEST_CASE("a draining runner is left alone though no storage VM tells it",
          "[config_in_force]")
{
    const auto fault =
        GENERATE(source_fault::none, source_fault::killed, source_fault::frozen,
                 source_fault::turned_away);
    const bool drains = GENERATE(true, false);
    INFO("fault " << static_cast<int>(fault) << " drains " << drains);
    separate_edge edge;
    REQUIRE(edge.figure("runners_usable") == 1);
    strike(edge, fault);
    if (drains)
        edge.drain_runner();
    else
        edge.evacuate_zone();
    CHECK(edge.run([&] { return edge.figure("runners_usable") == 0; },
                   apply_limit));
}
