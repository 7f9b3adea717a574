// SPDX-License-Identifier: BSL-1.0
// Turns and requests through disruptions of a fleet in one process: a turn
// that was answered whole can be continued, and a request that was read from a
// kept connection is answered.
#include "support/fleet/turn_fleet.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::size_t thousands = 3000;
/// From the return of all VMs; what sites demand.
constexpr milliseconds recovery_limit{18000};
/// From when a turn is first asked for, over all its tries, while no VM is
/// lost; the shortest time-out of its callers.
constexpr milliseconds planned_limit{4000};
/// How long the store turned a third of the edge VMs away, and then one storage
/// VM.
constexpr milliseconds edges_turned_away{9000};
constexpr milliseconds storage_turned_away{7000};
constexpr milliseconds down_time{600};

struct disruption
{
    const char* m_what;
    std::size_t m_other_runners;
    void (*m_disrupt)(turn_fleet&);
    /// Planned work, or a disruption that the fleet hides.
    bool m_unnoticed;
};

std::string nobody(turn_fleet& fleet)
{
    return edge_vm::free_address(fleet.m_fleet.m_io);
}

void configure_quickly(turn_fleet& fleet, int versions, milliseconds pause)
{
    for (int i = 0; i < versions; ++i)
    {
        fleet.write_config();
        fleet.run_for(pause);
    }
}

void empty_runners(turn_fleet& fleet)
{
    for (std::size_t number = 0; number < 2; ++number)
    {
        fleet.list_runner(number, "draining");
        fleet.run_for(milliseconds(2500));
        fleet.list_runner(number, "ready");
        fleet.run_for(milliseconds(1000));
    }
}

void turn_edge_away(turn_fleet& fleet)
{
    auto& source = fleet.m_edges.back()->m_source;
    source.set_address(nobody(fleet));
    fleet.run_for(edges_turned_away);
    source.set_address(fleet.m_fleet.m_store.address());
}

void turn_storage_away(turn_fleet& fleet)
{
    auto& source = fleet.m_fleet.m_vms["vm-0"]->m_source;
    source.set_address(nobody(fleet));
    fleet.run_for(storage_turned_away / 2);
    fleet.write_config();
    fleet.run_for(storage_turned_away / 2);
    source.set_address(fleet.m_fleet.m_store.address());
}

void lose_power(turn_fleet& fleet)
{
    fleet.kill_edges();
    fleet.m_fleet.stop_all();
    fleet.run_for(down_time);
    fleet.m_fleet.start_stopped();
    fleet.start_edges();
}

void return_after_edges(turn_fleet& fleet)
{
    fleet.kill_edges();
    fleet.m_fleet.stop_all();
    fleet.m_fleet.m_store.set_down(true);
    fleet.start_edges();
    fleet.run_for(milliseconds(2500));
    fleet.m_fleet.start_stopped();
    fleet.run_for(milliseconds(1500));
    fleet.m_fleet.m_store.set_down(false);
}

void lose_power_without_store(turn_fleet& fleet)
{
    fleet.m_fleet.m_store.set_down(true);
    lose_power(fleet);
    // Served before the store is back.
    CHECK(fleet.run_to_next_turns(recovery_limit));
    fleet.m_fleet.m_store.set_down(false);
}

void stop_and_start_edge(turn_fleet& fleet)
{
    fleet.stop_edge();
    fleet.run_for(milliseconds(1000));
    fleet.start_edge();
    // Beyond the end of its grace period.
    fleet.run_for(milliseconds(8500));
}

void live_the_day(turn_fleet& fleet)
{
    configure_quickly(fleet, 10, milliseconds(80));
    empty_runners(fleet);
    turn_edge_away(fleet);
    turn_storage_away(fleet);
    lose_power(fleet);
}

} // namespace

TEST_CASE("no disruption loses a turn or a request", "[lost]")
{
    const auto each = GENERATE(values<disruption>({
        {"nothing fails", 0,
         [](turn_fleet& fleet) { fleet.run_for(milliseconds(1000)); }, true},
        {"configurations in quick succession", 0,
         [](turn_fleet& fleet) {
             configure_quickly(fleet, 40, milliseconds(50));
         },
         true},
        {"runners are emptied in turn", 0, empty_runners, true},
        {"an edge VM is stopped and started", 0, stop_and_start_edge, true},
        {"settings are reloaded, with the store elsewhere", 0,
         [](turn_fleet& fleet) {
             fleet.move_store(nobody(fleet));
             fleet.run_for(milliseconds(2000));
             fleet.move_store(fleet.m_fleet.m_store.address());
         },
         true},
        {"the store turns an edge VM away", 0, turn_edge_away, true},
        {"the store turns a storage VM away", 0, turn_storage_away, true},
        {"all VMs restart", 0, lose_power, false},
        {"all VMs restart with thousands of runners", thousands, lose_power,
         false},
        {"all VMs restart without the store", thousands,
         lose_power_without_store, false},
        {"the storage VMs return long after the edge VMs", 0,
         return_after_edges, false},
        {"the day of the incident", thousands, live_the_day, false},
    }));
    INFO(each.m_what);
    turn_fleet fleet(each.m_other_runners);
    each.m_disrupt(fleet);
    CHECK(fleet.run_to_next_turns(recovery_limit));
    CHECK(fleet.faults() == "");
    CHECK(fleet.chains_are_whole());
    if (each.m_unnoticed)
        CHECK(fleet.longest_wait() <= planned_limit);
}
