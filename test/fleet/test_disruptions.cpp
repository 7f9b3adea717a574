// SPDX-License-Identifier: BSL-1.0
// Turns when callers change edge VMs, or edge VMs freeze or lose connections:
// none is lost, none is counted twice.
#include "support/fleet/storage_fixture.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// Another edge VM of the fleet, in a zone of its own.
struct second_edge
{
    second_edge(storage_fixture& fleet, const std::string& zone)
        : m_links(fleet.m_io, fleet.m_time, "edge-2"),
          m_client(fleet.m_io, fleet.m_time, m_links, zone, 1)
    {
        m_links.on_state(
            [this](const std::string&, const cluster_state& update) {
                if (!merge_state(m_state, update).m_views.empty())
                    follow();
            });
    }
    void follow()
    {
        m_links.set_members(members_of(m_state.m_views));
        m_client.follow(m_state.m_views);
    }

    member_links m_links;
    turn_client m_client;
    cluster_state m_state;
};

begin_result begin_at(storage_fixture& fleet, second_edge& edge,
                      const std::string& id, const std::string& parent)
{
    const auto result =
        run_task(fleet.m_io,
                 edge.m_client.begin(storage_fixture::request(id, parent),
                                     fleet.m_time.now() + milliseconds(3000)));
    REQUIRE(result.has_value());
    return *result;
}

/// Whether the reason of a begin reports \p tokens as committed.
bool committed(const begin_result& result, int tokens)
{
    return result.m_reason.find("committed=" + std::to_string(tokens) + " ") !=
           std::string::npos;
}

} // namespace

TEST_CASE("a caller that moves to another zone finds its turns", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    REQUIRE(fleet.keep("b", "a"));
    second_edge far(fleet, "vm-2");
    far.m_state = fleet.m_state;
    far.follow();
    REQUIRE(run_until(fleet.m_io, [&] {
        return far.m_links.connected("vm-1") && far.m_links.connected("vm-2");
    }));
    const auto result = begin_at(fleet, far, "c", "b");
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
}

TEST_CASE("an edge VM that wakes with old views learns the new ones", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    second_edge frozen(fleet, "vm-0");
    frozen.m_state = fleet.m_state;
    // From now on it learns of changes only from replies.
    frozen.m_links.subscribe({});
    frozen.follow();
    REQUIRE(run_until(fleet.m_io, [&] {
        return frozen.m_links.connected("vm-0") &&
               frozen.m_links.connected("vm-1");
    }));
    fleet.add("vm-3", false);
    REQUIRE(fleet.wait_for("vm-0Fvm-1Fvm-2Fvm-3F"));
    REQUIRE(frozen.m_state.m_views.front().m_epoch <
            fleet.m_state.m_views.front().m_epoch);
    const auto result = begin_at(fleet, frozen, "b", "a");
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;");
    CHECK(frozen.m_state.m_views == fleet.m_state.m_views);
}

TEST_CASE("a turn that is stored again after a reset is counted once",
          "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    // Its acknowledgement was lost with the connection.
    REQUIRE(fleet.keep("a", ""));
    const auto result = fleet.begin(storage_fixture::request("b", "a"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;");
    CHECK(committed(result, 30));
    // The begin was lost too, and is sent again.
    CHECK(committed(fleet.begin(storage_fixture::request("b", "a")), 30));
}
