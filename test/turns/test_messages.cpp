// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/ledger.hpp"
#include "pepperturn/turns/messages.hpp"

#include "turns.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

turn_record some_turn(const std::string& id)
{
    return {id,      "parent", "in\nput", std::string("\0out\n", 5),
            "run-1", {1, 2},   {3, 4},    33};
}

} // namespace

TEST_CASE("frames are equal after encoding and decoding", "[messages]")
{
    const reservation reserved{{1, 2}, {3, 4}, 80, false, {7, 1200, 9}};
    cluster_state state;
    state.m_config_revision = 3;
    state.m_config = "{}";
    state.m_runners_revision = 512;
    state.m_runners = {{"r-1", "text", 500, false}, {"r-2", "", 510, true}};
    state.m_views = {
        {4,
         {{"a", "1.2.3.4:5", "z", 9, member_state::leaving},
          {"b", "1.2.3.4:6", "z", 8, member_state::lost},
          {"c", "1.2.3.4:7", "y", 7, member_state::joining, true}},
         0,
         2},
        {9, {{"d", "1.2.3.4:8", "z", 6, member_state::full}}, 1, 2, {}, 8}};
    state.m_retirements = {{"a", 11, false}, {"d", 12, true}};
    const std::vector<frame_body> bodies{
        hello_message{"vm-1", false},
        state,
        heartbeat_message{77, true},
        heartbeat_message{78, false},
        begin_message{reserved, 60000, "parent", true, false},
        begin_message{reserved, 60000, "", false, true},
        begun_message{{reserved}, true, {some_turn("a"), some_turn("b")}},
        append_message{{60000, some_turn("a")}},
        append_message{{60000, reserved}},
        appended_message{},
        fetch_message{"a"},
        fetched_message{{some_turn("a")}},
        list_message{99, true},
        list_message{99, false, 4},
        listed_message{7, true, {{{1, 2}, 9}}, {{1, reserved}}},
        listed_message{
            7, true, {{{1, 2}, 9, 50, 6000}}, {{1, reserved}}, 4, 1, 6000},
        read_message{{5, 6}},
        entries_message{{"raw", "bytes"}},
        read_turns_message{{{1, 2}, {3, 4}}},
        turn_entries_message{{{"raw", turn_entry_state::present, 50},
                              {"", turn_entry_state::gone, 0},
                              {"", turn_entry_state::unreadable, 7}}},
        copied_message{},
        config_request_message{},
        hello_message{"vm-2", true, "1.2.3.4:7380", "z"},
        quota_request{7, {2.5, 10}, 3, 8, true, false, 40, 99},
        quota_reply{quota_outcome::granted, 20, 98},
        relay_peers_request_message{},
        relay_peers_message{{{"vm-2", "1.2.3.4:7380", "z"}}},
        relayed_message{"a", std::string("\0frame", 6)},
        placement_request{1,
                          2,
                          3,
                          {{4, 12600}, {5, 1680}},
                          14280,
                          600,
                          240,
                          call_rank::under_way,
                          2,
                          150,
                          4000,
                          "z",
                          {9, 10},
                          true},
        placement_reply{placement_outcome::no_room, 9, 12600, 4, 350, 80},
        placement_report{1, 2, 9, placement_end::broken, 34, 270, 245},
        suspects_message{{{7, 2, 299000}, {8, 3, 1}}}};
    for (const auto& body : bodies)
    {
        const frame sent{12, 34, frame_status::stale, body};
        const auto bytes = encode_frame(sent);
        std::string reason;
        const auto decoded =
            decode_frame(std::string_view(bytes).substr(4), reason);
        INFO(reason);
        REQUIRE(decoded.has_value());
        CHECK(*decoded == sent);
    }
}

TEST_CASE("decoding random or damaged bytes does not crash", "[messages][fuzz]")
{
    CHECK(rc::check("frames", [](const std::string& bytes) {
        std::string reason;
        (void)decode_frame(bytes, reason);
        (void)decode_entry(bytes, reason);
    }));
    CHECK(rc::check("damaged frames", [](std::size_t at, char with) {
        auto bytes = encode_frame(
            {1, 2, frame_status::ok, append_message{{5, some_turn("a")}}});
        bytes.erase(0, 4);
        bytes[at % bytes.size()] = with;
        std::string reason;
        (void)decode_frame(bytes, reason);
    }));
}

TEST_CASE("budgets are decided from the merged reservations of several members",
          "[ledger]")
{
    const id_key program{1, 1};
    const auto reserved = [&](std::uint64_t id, std::uint32_t tokens,
                              bool settled) {
        return reservation{program, {id, id}, tokens, settled};
    };
    struct sample
    {
        std::string m_name;
        std::vector<reservation> m_first;
        std::vector<reservation> m_second;
        std::uint64_t m_committed;
    };
    const std::vector<sample> samples{
        {"no reservations", {}, {}, 0},
        {"reported by one member only", {reserved(1, 50, false)}, {}, 50},
        {"reported by both members",
         {reserved(1, 50, false)},
         {reserved(1, 50, false)},
         50},
        {"a settled count replaces a reserved one",
         {reserved(1, 50, false)},
         {reserved(1, 20, true)},
         20},
        {"in either order",
         {reserved(1, 20, true)},
         {reserved(1, 50, false)},
         20},
        {"the own attempt is not counted", {reserved(9, 70, false)}, {}, 0},
        {"different attempts are added",
         {reserved(1, 50, true)},
         {reserved(2, 30, false)},
         80},
    };
    const auto own = reserved(9, 40, false);
    for (const auto& each : samples)
    {
        INFO(each.m_name);
        joint_ledger ledger;
        join_ledger(ledger, each.m_first);
        join_ledger(ledger, each.m_second);
        CHECK(committed_tokens(ledger, own.m_attempt) == each.m_committed);
        CHECK(fits_budget(ledger, own, each.m_committed + 40));
        CHECK_FALSE(fits_budget(ledger, own, each.m_committed + 39));
    }
}

TEST_CASE("a state in the older layout with one view is read without the view",
          "[messages]")
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<turns_wire::Frame>();
    auto old_state = root.initState();
    old_state.setConfigRevision(7);
    old_state.setConfig("seven");
    old_state.setRunnersRevision(9);
    old_state.initRunners(1)[0].setName("r-1");
    old_state.setOldViewRevision(12);
    auto member = old_state.initOldView(1)[0];
    member.setName("vm-1");
    member.setAddress("1.2.3.4:5");
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    std::string reason;
    const auto read = decode_frame({bytes.begin(), bytes.size()}, reason);
    REQUIRE(read.has_value());
    const auto& state = std::get<cluster_state>(read->m_body);
    CHECK(state.m_config == "seven");
    REQUIRE(state.m_runners.size() == 1);
    CHECK(state.m_runners.front().m_name == "r-1");
    // The epoch of the old view belongs to no replica set.
    CHECK(state.m_views.empty());
}
