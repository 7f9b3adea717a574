// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_evidence.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

std::optional<frame> reply(frame_status status, frame_body body)
{
    return frame{1, 1, status, std::move(body)};
}

begin_evidence sample_evidence()
{
    begin_evidence out;
    out.m_fault = begin_fault::too_few_writers;
    out.m_set = 3;
    out.m_epoch = 81;
    out.m_asked_epoch = 80;
    out.m_view_age = milliseconds(1200);
    out.m_quorums = {2, 2, 2};
    out.m_members = {{"a", member_state::full, member_reply::ok},
                     {"b", member_state::joining, member_reply::stale},
                     {"c", member_state::lost, member_reply::not_asked}};
    out.m_known_sets = 39;
    out.m_set_count = 39;
    out.m_all_members = 119;
    out.m_linked = 117;
    out.m_heard = milliseconds(12);
    return out;
}

} // namespace

TEST_CASE("each reply to a request for a turn is counted once", "[lines]")
{
    struct sample
    {
        std::optional<frame> m_reply;
        member_reply m_kind;
        reply_tally m_tally;
    };
    const auto tally = [](std::uint32_t reply_tally::*counted) {
        reply_tally out;
        out.m_asked = 1;
        out.*counted = 1;
        return out;
    };
    fetched_message holding;
    holding.m_history.emplace_back();
    const std::vector<sample> samples{
        {std::nullopt, member_reply::no_link, tally(&reply_tally::m_no_link)},
        {reply(frame_status::ok, holding), member_reply::ok,
         tally(&reply_tally::m_found)},
        {reply(frame_status::ok, fetched_message{}), member_reply::ok,
         tally(&reply_tally::m_absent)},
        {reply(frame_status::stale, appended_message{}), member_reply::stale,
         tally(&reply_tally::m_stale)},
        {reply(frame_status::not_member, appended_message{}),
         member_reply::not_member, tally(&reply_tally::m_refused)},
        {reply(frame_status::failed, appended_message{}), member_reply::failed,
         tally(&reply_tally::m_refused)},
        {reply(frame_status::ok, appended_message{}), member_reply::ok,
         tally(&reply_tally::m_refused)}};
    for (const auto& each : samples)
    {
        INFO(to_string(each.m_kind));
        CHECK(reply_of(each.m_reply) == each.m_kind);
        reply_tally counted;
        counted.m_asked = 1;
        CHECK(counted.waiting() == 1);
        counted.add(each.m_reply);
        CHECK(counted == each.m_tally);
        CHECK(counted.waiting() == 0);
    }
}

TEST_CASE("what was known of a turn is one bounded text", "[lines]")
{
    const std::string set =
        "set=3 epoch=81 asked_epoch=80 view_ms=1200 write_quorum=2 "
        "read_quorum=2 members=\"a:full:ok b:joining:stale c:lost:not_asked\"";
    const std::string links = " sets=39/39 linked=117/119 heard_ms=12";
    auto evidence = sample_evidence();
    CHECK(describe(evidence) == set + links);
    // A turn that was stored.
    evidence.m_fault = begin_fault::none;
    CHECK(describe(evidence) == set);
    evidence.m_fault = begin_fault::ancestor_unreached;
    evidence.m_missing = "workspace\nt7";
    evidence.m_in_set = {1, 2, 1, 0, 1, 0, 0, 0};
    evidence.m_elsewhere = {38, 114, 3, 0, 110, 2, 1, 0};
    CHECK(describe(evidence) ==
          set +
              " missing=t7 in_set=\"sets:1 asked:2 skipped:1 found:0 absent:1 "
              "no_link:0 stale:0 refused:0 none:1\" elsewhere=\"sets:38 "
              "asked:114 skipped:3 found:0 absent:110 no_link:2 stale:1 "
              "refused:0 none:1\"" +
              links);
    CHECK(describe(begin_evidence{}).starts_with("set=none epoch=0 "));
}

TEST_CASE("long views and ids are cut in a line", "[lines]")
{
    auto evidence = sample_evidence();
    evidence.m_members.assign(
        100, {"a", member_state::leaving, member_reply::found});
    evidence.m_missing = std::string(5000, 'x');
    const auto text = describe(evidence);
    CHECK(text.find(" more:88\"") != std::string::npos);
    CHECK(text.size() < 1000);
    CHECK(caller_turn_id("plain") == "plain");
    CHECK(caller_turn_id("w\nid") == "id");
}
