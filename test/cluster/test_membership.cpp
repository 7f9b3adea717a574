// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/membership.hpp"

#include "support/fleet/member_letters.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr auto joining = member_state::joining;
constexpr auto full = member_state::full;
constexpr auto leaving = member_state::leaving;
constexpr auto lost = member_state::lost;
constexpr std::uint64_t epoch = 5;

member row(const std::string& name, member_state state, std::uint64_t disk = 7)
{
    return {name, name + ":1", "zone", disk, state};
}

cluster_view view_of(std::vector<member> members)
{
    return {epoch, std::move(members)};
}

membership_facts facts_of(const std::string& name, std::uint64_t disk = 7)
{
    membership_facts facts;
    facts.m_self = row(name, joining, disk);
    facts.m_view_known = true;
    return facts;
}

std::string describe(const std::optional<cluster_view>& view)
{
    if (!view)
        return "-";
    std::string out;
    for (const auto& each : view->m_members)
    {
        out += each.m_name;
        out += test::letter_of(each.m_state);
        out += each.m_disk == 0 ? "0" : "";
    }
    return out;
}

} // namespace

TEST_CASE("which view a storage VM requests", "[membership]")
{
    auto bootstrap = facts_of("a");
    bootstrap.m_bootstrap = true;
    auto unknown = bootstrap;
    unknown.m_view_known = false;
    auto caught_up = facts_of("b");
    caught_up.m_caught_up_at = epoch;
    auto caught_up_before = facts_of("b");
    caught_up_before.m_caught_up_at = epoch - 1;
    auto sees_unresponsive = facts_of("a");
    sees_unresponsive.m_unresponsive = {"d"};
    auto retire = facts_of("c");
    retire.m_retire = true;
    auto retire_copied = retire;
    retire_copied.m_copied_by = {"a", "b"};
    auto retire_caught_up = retire;
    retire_caught_up.m_caught_up_at = epoch;
    auto retire_half = retire;
    retire_half.m_copied_by = {"a"};
    auto not_gathered = facts_of("a");
    not_gathered.m_copied_by = {"b"};
    auto gathered = not_gathered;
    gathered.m_caught_up_at = epoch;
    auto retire_beside_unresponsive = retire;
    retire_beside_unresponsive.m_unresponsive = {"b"};
    auto partitioned = facts_of("b");
    partitioned.m_unreachable = {"a", "c"};
    auto others_gone = partitioned;
    others_gone.m_gone = {"a", "c"};
    auto one_is_gone = partitioned;
    one_is_gone.m_gone = {"a"};
    auto reaches_one = facts_of("b");
    reaches_one.m_unreachable = {"a"};
    auto joins_sees_unresponsive = facts_of("b");
    joins_sees_unresponsive.m_unresponsive = {"d"};
    auto sees_gone = facts_of("a");
    sees_gone.m_unresponsive = {"d"};
    sees_gone.m_gone = {"d"};
    auto joins_beside_unresponsive = facts_of("e");
    joins_beside_unresponsive.m_unresponsive = {"d"};

    struct sample
    {
        std::string m_name;
        cluster_view m_view;
        membership_facts m_facts;
        std::string m_expected;
    };
    const std::vector<sample> samples{
        {"the first start creates the view", {}, bootstrap, "aF"},
        {"nothing is created before the store was read", {}, unknown, "-"},
        {"an empty view at a later start is not trusted",
         {},
         facts_of("a"),
         "-"},
        {"a new one joins", view_of({row("a", full)}), facts_of("b"), "aFbJ"},
        {"members join one at a time",
         view_of({row("a", full), row("b", joining)}), facts_of("c"), "-"},
        {"an empty disk joins again",
         view_of({row("a", full), row("b", full, 6)}), facts_of("b"), "aFbJ"},
        {"an empty disk is marked lost while another one joins",
         view_of({row("a", full), row("b", full, 6), row("c", joining)}),
         facts_of("b"), "aFbX0cJ"},
        {"also if as many are lost already as may be",
         view_of({row("a", full), row("b", lost, 6), row("c", joining)}),
         facts_of("b"), "aFbX0cJ"},
        {"which it says once",
         view_of({row("a", full), row("b", lost, 0), row("c", joining)}),
         facts_of("b"), "-"},
        {"a joining one marks another one lost if no full one is left to",
         view_of({row("b", joining), row("d", full)}), joins_sees_unresponsive,
         "bJdX"},
        {"not if one is",
         view_of({row("a", full), row("b", joining), row("d", full)}),
         joins_sees_unresponsive, "-"},
        {"one that is gone is marked lost beyond what is tolerated",
         view_of({row("a", full), row("c", lost), row("d", full)}), sees_gone,
         "aFcXdX"},
        {"its disk is given up if more members lack copies than is tolerated",
         view_of({row("a", full), row("c", joining), row("d", lost)}),
         sees_gone, "aFcJdX0"},
        {"not if the others have all copies",
         view_of(
             {row("a", full), row("c", full), row("e", full), row("d", lost)}),
         sees_gone, "-"},
        {"a retiring one whose disk was lost joins first",
         view_of({row("a", full), row("b", full), row("c", leaving, 6)}),
         retire, "aFbFcJ"},
        {"a joining one waits for its copies",
         view_of({row("a", full), row("b", joining)}), facts_of("b"), "-"},
        {"copies made in an earlier epoch do not count",
         view_of({row("a", full), row("b", joining)}), caught_up_before, "-"},
        {"with its copies it becomes full",
         view_of({row("a", full), row("b", joining)}), caught_up, "aFbF"},
        {"an unresponsive one is removed",
         view_of(
             {row("a", full), row("b", full), row("c", full), row("d", full)}),
         sees_unresponsive, "aFbFcF"},
        {"an unresponsive one that is needed is marked lost",
         view_of({row("a", full), row("b", full), row("d", full)}),
         sees_unresponsive, "aFbFdX"},
        {"also if only one is left", view_of({row("a", full), row("d", full)}),
         sees_unresponsive, "aFdX"},
        {"a lost one remains while too few are left to remove it",
         view_of({row("a", full), row("d", lost)}), gathered, "-"},
        {"a lost one remains until its copies are gathered",
         view_of({row("a", full), row("b", full), row("d", lost)}),
         not_gathered, "-"},
        {"and until all members have them",
         view_of(
             {row("a", full), row("b", full), row("c", full), row("d", lost)}),
         gathered, "-"},
        {"then it is removed",
         view_of({row("a", full), row("b", full), row("d", lost)}), gathered,
         "aFbF"},
        {"only the gathering member decides",
         view_of({row("a", full), row("b", full), row("d", lost)}), caught_up,
         "-"},
        {"a lost one that returns copies like a new one",
         view_of({row("a", full), row("b", lost)}), facts_of("b"), "aFbJ"},
        {"not while it reaches nobody",
         view_of({row("a", full), row("b", lost), row("c", full)}), partitioned,
         "-"},
        {"unless all others are gone for good, since nobody else would return",
         view_of({row("a", full), row("b", lost), row("c", joining)}),
         others_gone, "aFbJcJ"},
        {"not while one of them may return",
         view_of({row("a", full), row("b", lost), row("c", full)}), one_is_gone,
         "-"},
        {"one to copy from is enough",
         view_of({row("a", full), row("b", lost), row("c", full)}), reaches_one,
         "aFbJcF"},
        {"a joining one becomes full before it retires",
         view_of({row("a", full), row("b", full), row("c", joining)}),
         retire_caught_up, "aFbFcF"},
        {"one of the last two does not retire",
         view_of({row("a", full), row("c", full)}), retire, "-"},
        {"with a lost one beside it may",
         view_of(
             {row("a", full), row("b", full), row("c", full), row("d", lost)}),
         retire, "aFbFcLdX"},
        {"members retire one at a time",
         view_of({row("a", full), row("b", full), row("c", full),
                  row("d", leaving)}),
         retire, "-"},
        {"nor while another one is unresponsive, which it marks lost",
         view_of({row("a", full), row("b", full), row("c", full)}),
         retire_beside_unresponsive, "aFbXcF"},
        {"a VM that waits to join removes an unresponsive joining one",
         view_of({row("a", full), row("b", full), row("c", full),
                  row("d", joining)}),
         joins_beside_unresponsive, "aFbFcF"},
        {"a retiring one starts to leave",
         view_of({row("a", full), row("b", full), row("c", full)}), retire,
         "aFbFcL"},
        {"it waits until all have copied its data",
         view_of({row("a", full), row("b", full), row("c", leaving)}),
         retire_half, "-"},
        {"then it is removed",
         view_of({row("a", full), row("b", full), row("c", leaving)}),
         retire_copied, "aFbF"},
        {"it does not rejoin", view_of({row("a", full), row("b", full)}),
         retire, "-"},
        {"if the retirement is withdrawn, it copies like a new one",
         view_of({row("a", full), row("b", full), row("c", leaving)}),
         facts_of("c"), "aFbFcJ"},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_name);
        CHECK(describe(desired_view(each.m_view, each.m_facts)) ==
              each.m_expected);
    }
}

TEST_CASE("emptied only once out of the view", "[membership]")
{
    auto facts = facts_of("c");
    facts.m_retire = true;
    CHECK(is_emptied(view_of({row("a", full)}), facts));
    CHECK_FALSE(
        is_emptied(view_of({row("a", full), row("c", leaving)}), facts));
    CHECK_FALSE(is_emptied({}, facts));
    facts.m_retire = false;
    CHECK_FALSE(is_emptied(view_of({row("a", full)}), facts));
}

TEST_CASE("which members copy", "[membership]")
{
    const auto view =
        view_of({row("a", full), row("b", joining), row("c", leaving)});
    CHECK(should_copy(view, "a", 0, 1));
    CHECK(should_copy(view, "b", 0, 1));
    CHECK_FALSE(should_copy(view, "c", 0, 1));
    CHECK_FALSE(should_copy(view, "b", epoch, 1));
    CHECK_FALSE(should_copy(view_of({row("a", full)}), "a", 0, 1));
    const auto one_lost =
        view_of({row("a", full), row("b", full), row("c", lost)});
    CHECK(should_copy(one_lost, "a", 0, 1));
    CHECK(should_copy(one_lost, "b", 0, 1));
    CHECK_FALSE(should_copy(one_lost, "c", 0, 1));
    CHECK_FALSE(
        should_copy(view_of({row("a", full), row("c", lost)}), "a", 0, 1));
}

TEST_CASE("which members to copy from", "[membership]")
{
    auto new_one = row("j", joining);
    new_one.m_intact = true;
    auto returned = row("r", joining);
    returned.m_intact = true;
    struct sample
    {
        std::string m_what;
        cluster_view m_view;
        std::string m_self;
        copy_plan m_expected;
    };
    const std::vector<sample> samples{
        {"an emptied disk needs a read quorum",
         view_of({row("a", full), row("b", full), row("j", joining)}),
         "j",
         {{}, {"a", "b"}, 2, false}},
        {"a new one needs the writes from before it joined",
         view_of({row("a", full), row("b", full), new_one}),
         "j",
         {{}, {"a", "b"}, 1, false}},
        {"also beside a lost one",
         view_of({row("a", full), row("b", lost), new_one}),
         "j",
         {{}, {"a"}, 1, false}},
        {"and all data of a leaving one",
         view_of({row("a", full), row("b", full), row("c", leaving), new_one}),
         "j",
         {{"c"}, {"a", "b"}, 1, false}},
        {"a full one copies from a leaving one",
         view_of({row("a", full), row("b", full), row("c", leaving)}),
         "a",
         {{"c"}, {}, 0, false}},
        {"one gathers the data of all others",
         view_of({row("a", full), row("b", full), row("c", leaving),
                  row("d", lost)}),
         "a",
         {{"b", "c"}, {}, 0, false}},
        {"joining ones included",
         view_of({row("a", full), row("b", full), row("j", joining),
                  row("d", lost)}),
         "a",
         {{"b", "j"}, {}, 0, false}},
        {"two joined side by side, one with its disk, and one full is left",
         view_of({row("a", full), returned, row("j", joining)}),
         "r",
         {{}, {"a"}, 1, false}},
        {"the emptied one of them copies from both",
         view_of({row("a", full), returned, row("j", joining)}),
         "j",
         {{"a", "r"}, {}, 0, false}},
        {"two emptied disks are more than is tolerated: all that is left",
         view_of({row("a", full), row("l", lost, 0), row("j", joining)}),
         "j",
         {{"a"}, {}, 0, false, true}},
        {"also with no full one",
         view_of({row("r", joining), row("l", lost, 0), row("j", joining)}),
         "j",
         {{"r"}, {}, 0, false, true}},
        {"not while one may return with its disk",
         view_of({row("a", full), row("l", lost), row("j", joining)}),
         "j",
         {{}, {"a"}, 2, false}},
        {"two emptied disks, both of which join",
         view_of({row("a", full), row("b", joining), row("j", joining)}),
         "j",
         {{"a", "b"}, {}, 0, false, true}},
        {"the others copy from the gathering one",
         view_of({row("a", full), row("b", full), row("d", lost)}),
         "b",
         {{"a"}, {}, 0, true}},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_what);
        CHECK(plan_copy(each.m_view, each.m_self, 1) == each.m_expected);
    }
}
