// SPDX-License-Identifier: BSL-1.0
// What a storage VM lists and reads for a member that copies it.
#include "support/fleet/copy_fixture.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// Three pages of a listing, in segments of some turns each.
constexpr int many_turns = 5000;

} // namespace

// A listing that had been begun was given out again when its member began anew,
// although compaction had moved what it named: the copy never ended.
TEST_CASE("a copy that begins anew gets a fresh listing", "[turns][copies]")
{
    copy_fixture fleet;
    auto& source = fleet.add("vm-1");
    fleet.start();
    source.add_turns(0, many_turns, copy_fixture::short_retention);
    source.add_turns(many_turns, 10, copy_fixture::long_retention);
    const auto first = fleet.list("vm-1", {0, false});
    REQUIRE(first);
    REQUIRE(first->m_more);
    source.expire_short();
    const auto second = fleet.list("vm-1", {0, false});
    REQUIRE(second);
    CHECK_FALSE(second->m_more);
    REQUIRE(second->m_turns.size() == 10);
    read_message positions;
    for (const auto& row : second->m_turns)
        positions.m_positions.push_back(row.m_position);
    const auto read = fleet.request("vm-1", positions);
    REQUIRE(read);
    const auto* entries = std::get_if<entries_message>(&read->m_body);
    REQUIRE(entries != nullptr);
    CHECK(entries->m_entries.size() == 10);
}

TEST_CASE("a page of another listing is refused", "[turns][copies]")
{
    copy_fixture fleet;
    auto& source = fleet.add("vm-1");
    fleet.start();
    source.add_turns(0, many_turns, copy_fixture::long_retention);
    const auto first = fleet.list("vm-1", {0, false});
    REQUIRE(first);
    CHECK(first->m_turn_count == many_turns);
    CHECK(first->m_turn_bytes > 0);
    CHECK(fleet.list("vm-1", {first->m_next, false, first->m_listing}));
    CHECK_FALSE(
        fleet.list("vm-1", {first->m_next, false, first->m_listing + 1}));
    // A member of the version before knows no identities.
    CHECK(fleet.list("vm-1", {first->m_next, false, 0}));
}

TEST_CASE("a listed turn is read where it is now", "[turns][copies]")
{
    copy_fixture fleet;
    auto& source = fleet.add("vm-1");
    fleet.start();
    source.add_turns(0, 400, copy_fixture::short_retention);
    source.add_turns(400, 1, copy_fixture::long_retention);
    source.add_turns(401, 400, copy_fixture::short_retention);
    const auto listed = fleet.list("vm-1", {0, false});
    REQUIRE(listed);
    REQUIRE(listed->m_turns.size() == 801);
    // What is needed longest comes first.
    CHECK(listed->m_turns.front().m_key == copy_fixture::key(400));
    const auto segments = source.m_log.segments().size();
    source.expire_short();
    REQUIRE(source.m_log.segments().size() < segments);
    const auto read = fleet.request(
        "vm-1",
        read_turns_message{{copy_fixture::key(400), copy_fixture::key(3)}});
    REQUIRE(read);
    const auto* turns = std::get_if<turn_entries_message>(&read->m_body);
    REQUIRE(turns != nullptr);
    REQUIRE(turns->m_entries.size() == 2);
    CHECK(turns->m_entries[0].m_state == turn_entry_state::present);
    std::string reason;
    const auto entry = decode_entry(turns->m_entries[0].m_bytes, reason);
    REQUIRE(entry);
    CHECK(std::get<turn_record>(entry->m_what).m_id == copy_fixture::name(400));
    CHECK(turns->m_entries[1].m_state == turn_entry_state::gone);
}
