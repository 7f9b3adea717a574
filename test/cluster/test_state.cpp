// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/state.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

cluster_state whole(std::uint64_t revision, std::vector<runner_entry> rows)
{
    cluster_state out;
    out.m_runners_revision = revision;
    out.m_runners = std::move(rows);
    return out;
}

/// Names and texts of the runners, without tombstones.
std::map<std::string, std::string> alive(const cluster_state& state)
{
    std::map<std::string, std::string> out;
    for (const auto& row : state.m_runners)
    {
        if (!row.m_removed)
            out[row.m_name] = row.m_text;
    }
    return out;
}

/// Contents of a store at each revision: runners are added, changed and
/// removed.
struct history
{
    std::vector<std::map<std::string, runner_entry>> m_at;
    /// The entry that each revision changed.
    std::vector<runner_entry> m_changed;
};

history random_history()
{
    history out;
    out.m_at.emplace_back();
    out.m_changed.emplace_back();
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 30);
    for (std::uint64_t revision = 1; revision <= steps; ++revision)
    {
        auto next = out.m_at.back();
        const auto name = "r-" + std::to_string(*rc::gen::inRange(0, 6));
        const bool removes = next.contains(name) && *rc::gen::arbitrary<bool>();
        const runner_entry row{name, removes ? "" : std::to_string(revision),
                               revision, removes};
        if (removes)
            next.erase(name);
        else
            next[name] = row;
        out.m_at.push_back(std::move(next));
        out.m_changed.push_back(row);
    }
    return out;
}

cluster_state list_at(const history& expected, std::uint64_t revision)
{
    cluster_state out;
    out.m_runners_revision = revision;
    for (const auto& [name, row] : expected.m_at[revision])
        out.m_runners.push_back(row);
    return out;
}

} // namespace

TEST_CASE("state only moves forward, part by part", "[state]")
{
    cluster_state state;
    state.m_config_revision = 4;
    state.m_config = "four";
    state.m_runners_revision = 10;
    cluster_state update;
    update.m_config_revision = 3;
    update.m_config = "three";
    update.m_runners_revision = 11;
    update.m_runners = {{"r", "text", 9}};
    const auto change = merge_state(state, update);
    CHECK(change == state_change{.m_runners = {"r"}});
    CHECK(state.m_config == "four");
    CHECK(state.m_runners.size() == 1);
    CHECK_FALSE(merge_state(state, update).any());
    const auto parts = changed_parts(state, change);
    CHECK(parts.m_config_revision == 0);
    CHECK(parts.m_runners == update.m_runners);
    // A partial list does not claim to be complete.
    CHECK(parts.m_runners_revision == 0);
}

TEST_CASE("an entry only moves forward, whoever sends it", "[state]")
{
    struct row
    {
        const char* m_what;
        cluster_state m_news;
        std::map<std::string, std::string> m_alive;
        bool m_changes;
    };
    const auto each = GENERATE(values<row>({
        {"newer text",
         whole(0, {{"a", "a2", 8}}),
         {{"a", "a2"}, {"b", "b"}},
         true},
        {"older text",
         whole(0, {{"a", "a0", 2}}),
         {{"a", "a"}, {"b", "b"}},
         false},
        {"removed", whole(0, {{"a", "", 7, true}}), {{"b", "b"}}, true},
        {"removed before it was added again",
         whole(0, {{"a", "", 4, true}}),
         {{"a", "a"}, {"b", "b"}},
         false},
        {"added before it was removed",
         whole(0, {{"c", "c", 5}}),
         {{"a", "a"}, {"b", "b"}},
         false},
        {"added after it was removed",
         whole(0, {{"c", "c", 7}}),
         {{"a", "a"}, {"b", "b"}, {"c", "c"}},
         true},
        {"missing, written before the list",
         whole(5, {{"b", "b", 6}}),
         {{"b", "b"}},
         true},
        {"missing, written after the list",
         whole(4, {{"b", "b", 6}}),
         {{"a", "a"}, {"b", "b"}},
         false},
    }));
    INFO(each.m_what);
    cluster_state state;
    merge_state(state,
                whole(3, {{"a", "a", 5}, {"b", "b", 6}, {"c", "", 6, true}}));
    CHECK(merge_state(state, each.m_news).any() == each.m_changes);
    CHECK(alive(state) == each.m_alive);
}

TEST_CASE("updates of many VMs in any order result in the same list",
          "[state][property]")
{
    CHECK(rc::check("order of updates", [] {
        const auto expected = random_history();
        const auto last = expected.m_at.size() - 1;
        std::vector<cluster_state> updates;
        for (std::uint64_t revision = 1; revision <= last; ++revision)
            updates.push_back(whole(0, {expected.m_changed[revision]}));
        const auto lists = *rc::gen::inRange(0, 5);
        for (int i = 0; i < lists; ++i)
            updates.push_back(list_at(
                expected, *rc::gen::inRange<std::uint64_t>(1, last + 1)));
        cluster_state state;
        while (!updates.empty())
        {
            const auto at = *rc::gen::inRange<std::size_t>(0, updates.size());
            const auto change = merge_state(state, updates[at]);
            // A forwarded update contains only entries that changed here.
            for (const auto& row : changed_parts(state, change).m_runners)
                RC_ASSERT(std::find(change.m_runners.begin(),
                                    change.m_runners.end(),
                                    row.m_name) != change.m_runners.end());
            updates.erase(updates.begin() + static_cast<std::ptrdiff_t>(at));
        }
        RC_ASSERT(alive(state) == alive(list_at(expected, last)));
    }));
}

TEST_CASE("a change of one runner is sent as one entry", "[state]")
{
    cluster_state state;
    std::vector<runner_entry> rows;
    constexpr int runner_count = 600;
    rows.reserve(runner_count);
    for (int i = 0; i < runner_count; ++i)
        rows.push_back({"r-" + std::to_string(i), "text", 1});
    merge_state(state, whole(1, rows));
    const auto change = merge_state(state, whole(0, {{"r-7", "new", 2}}));
    const auto parts = changed_parts(state, change);
    REQUIRE(parts.m_runners.size() == 1);
    CHECK(parts.m_runners.front() == runner_entry{"r-7", "new", 2});
    CHECK(parts.m_config_revision == 0);
    CHECK(parts.m_views.empty());
}

TEST_CASE("a large configuration is announced, a small one is sent", "[state]")
{
    const bool large = GENERATE(false, true);
    cluster_state state;
    cluster_state update;
    update.m_config_revision = 5;
    update.m_config = std::string(large ? 100000 : 100, 'x');
    const auto change = merge_state(state, update);
    CHECK(change.m_config);
    for (const auto& sent : {changed_parts(state, change), full_state(state)})
    {
        CHECK(sent.m_config_revision == 5);
        CHECK(sent.m_config.empty() == large);
    }
    // An announcement without text does not replace the configuration.
    cluster_state other;
    CHECK(merge_state(other, changed_parts(state, change)).m_config == !large);
}

TEST_CASE("tombstones are dropped eventually, oldest first", "[state]")
{
    cluster_state state;
    constexpr std::uint64_t removed_count = 5000;
    for (std::uint64_t i = 1; i <= removed_count; ++i)
    {
        const auto name = "r-" + std::to_string(i);
        merge_state(state, whole(0, {{name, "text", 2 * i}}));
        merge_state(state, whole(0, {{name, "", 2 * i + 1, true}}));
    }
    CHECK(state.m_runners.size() < 600);
    CHECK(count_runners(state) == 0);
    // The latest tombstones still protect against updates of a VM that is
    // behind.
    merge_state(state, whole(0, {{"r-5000", "text", 2 * removed_count}}));
    CHECK(count_runners(state) == 0);
}

TEST_CASE("evacuations only move forward, whoever sends them", "[state]")
{
    cluster_state state;
    cluster_state update;
    update.m_evacuations = {{"z", 5, false}, {"a", 6, false}};
    auto change = merge_state(state, update);
    CHECK(change.m_evacuations == std::vector<std::string>{"z", "a"});
    CHECK(changed_parts(state, change).m_evacuations == state.m_evacuations);
    CHECK(full_state(state).m_evacuations == state.m_evacuations);
    CHECK(evacuated_zones(state) == std::vector<std::string>{"a", "z"});
    // Two operators: the later write wins, however late the earlier one
    // arrives.
    update.m_evacuations = {{"z", 8, true}, {"a", 4, true}};
    change = merge_state(state, update);
    CHECK(change.m_evacuations == std::vector<std::string>{"z"});
    update.m_evacuations = {{"z", 7, false}};
    CHECK_FALSE(merge_state(state, update).any());
    CHECK(evacuated_zones(state) == std::vector<std::string>{"a"});
}

TEST_CASE("the cost of a merge grows with the update, not with the state",
          "[state]")
{
    // Texts too long for the small-string buffer: whether a row was moved or
    // copied shows by the address of its text or of the row itself.
    const auto fleet = GENERATE(250, 1000);
    const std::string text(100, 't');
    const auto name = [](int i) { return "runner-" + std::to_string(i); };
    cluster_state update;
    update.m_runners_revision = 10;
    for (int i = 0; i < fleet; ++i)
        update.m_runners.push_back({name(i), text, 5});
    cluster_state state;
    CHECK(merge_state(state, update).m_runners.size() ==
          static_cast<std::size_t>(fleet));
    std::map<std::string, std::pair<const void*, const void*>> addresses;
    for (const auto& row : state.m_runners)
        addresses[row.m_name] = {&row, row.m_text.data()};
    cluster_state delta;
    delta.m_runners = {{name(7), text + "new", 11}, {name(9), "", 12, true}};
    const auto change = merge_state(state, delta);
    CHECK(change.m_runners == std::vector<std::string>{name(7), name(9)});
    std::size_t touched = 0;
    for (const auto& row : state.m_runners)
        touched +=
            addresses.at(row.m_name) ==
                    std::pair<const void*, const void*>{&row, row.m_text.data()}
                ? 0
                : 1;
    CHECK(touched <= 2);
    CHECK(changed_parts(state, change).m_runners.size() == 2);
}

TEST_CASE("as many tombstones are kept as there are runners", "[state]")
{
    const auto fleet = GENERATE(300, 1200);
    cluster_state state;
    std::uint64_t revision = 0;
    const auto apply = [&](const std::string& name, bool removed) {
        cluster_state update;
        update.m_runners = {{name, removed ? "" : "text", ++revision, removed}};
        merge_state(state, update);
    };
    const auto name = [](int i) { return "runner-" + std::to_string(i); };
    for (int i = 0; i < fleet; ++i)
        apply(name(i), false);
    // Half of them are replaced.
    for (int i = 0; i < fleet / 2; ++i)
    {
        apply(name(fleet + i), false);
        apply(name(i), true);
    }
    // An update of a VM that is behind cannot bring one back.
    for (int i = 0; i < fleet / 2; ++i)
    {
        cluster_state old;
        old.m_runners = {{name(i), "text", 1}};
        CHECK_FALSE(merge_state(state, old).any());
    }
    CHECK(count_runners(state) == static_cast<std::size_t>(fleet));
    CHECK(state.m_runners.size() <=
          static_cast<std::size_t>(std::max(3 * fleet, 1024 + fleet)));
}

TEST_CASE("a list that continues the known state is complete", "[state]")
{
    cluster_state state;
    merge_state(state, whole(10, {{"a", "a", 5}}));
    cluster_state update;
    update.m_runners = {{"b", "b", 12}};
    update.m_runners_since = GENERATE(10, 11);
    update.m_runners_revision = 12;
    merge_state(state, update);
    CHECK(alive(state).size() == 2);
    // After a gap it is unknown what is missing.
    CHECK(state.m_runners_revision ==
          (update.m_runners_since == 10 ? 12U : 10U));
}

// A part says nothing of the runners outside its range.
TEST_CASE("a part of a list removes runners of its range only", "[state]")
{
    struct sample
    {
        runner_range m_range;
        std::string m_alive;
        std::uint64_t m_revision;
    };
    // Of the runners a, c and e, the part has c alone.
    const auto each = GENERATE(values<sample>({
        {{"", "a"}, "ace", 5},
        {{"", "c"}, "ce", 5},
        {{"a", "c"}, "ace", 5},
        {{"b", "d"}, "ace", 5},
        {{"a", "e"}, "ac", 5},
        {{"a", ""}, "ac", 9},
        {{"", ""}, "c", 9},
    }));
    cluster_state state;
    merge_state(state, whole(5, {{"a", "1", 2}, {"c", "1", 3}, {"e", "1", 4}}));
    auto part = whole(9, {{"c", "1", 3}});
    part.m_range = each.m_range;
    if (each.m_range.m_until == "a")
        part.m_runners = {{"a", "1", 2}};
    merge_state(state, part);
    std::string names;
    for (const auto& [name, text] : alive(state))
        names += name;
    CHECK(names == each.m_alive);
    CHECK(state.m_runners_revision == each.m_revision);
}

TEST_CASE("a list in parts brings any state up to date", "[state][fuzz]")
{
    CHECK(rc::check("parts and changes in their order", [] {
        const auto expected = random_history();
        const auto last = expected.m_at.size() - 1;
        cluster_state sender;
        std::uint64_t at = *rc::gen::inRange<std::uint64_t>(1, last + 1);
        merge_state(sender, list_at(expected, at));
        cluster_state receiver;
        merge_state(receiver,
                    list_at(expected, *rc::gen::inRange<std::uint64_t>(0, at)));
        constexpr std::size_t one_entry = 1;
        for (std::string after;;)
        {
            const auto part = list_part(sender, after, one_entry);
            merge_state(receiver, part);
            after = part.m_range->m_until;
            if (part.m_range->is_last())
                break;
            if (at == last || *rc::gen::arbitrary<bool>())
                continue;
            cluster_state change = whole(0, {expected.m_changed[++at]});
            change.m_runners_since = at - 1;
            change.m_runners_revision = at;
            merge_state(sender, change);
            merge_state(receiver, change);
        }
        RC_ASSERT(alive(receiver) == alive(sender));
        RC_ASSERT(receiver.m_runners_revision == at);
    }));
}

// A list shows no runner that was added and removed before it, and neither does
// what its taker tells others, whatever they know already.
TEST_CASE("changes since an earlier list bring any later state up to date",
          "[state][fuzz]")
{
    CHECK(rc::check("lists that skip revisions", [] {
        // Ranges grow with the size of a case, and most cases are small.
        const auto up_to = [](std::uint64_t from, std::uint64_t last) {
            return *rc::gen::resize(
                rc::kNominalSize,
                rc::gen::inRange<std::uint64_t>(from, last + 1));
        };
        const auto expected =
            *rc::gen::resize(rc::kNominalSize, rc::gen::exec(random_history));
        const auto last = expected.m_at.size() - 1;
        const auto before = up_to(1, last);
        const auto after = up_to(before, last);
        const auto known = up_to(before, after);
        cluster_state sender;
        merge_state(sender, list_at(expected, before));
        merge_state(sender, list_at(expected, after));
        cluster_state receiver;
        merge_state(receiver, list_at(expected, known));
        cluster_state changes;
        add_all_changes(sender, before, changes);
        changes.m_exhaustive = true;
        merge_state(receiver, changes);
        RC_ASSERT(alive(receiver) == alive(sender));
        RC_ASSERT(receiver.m_runners_revision == after);
    }));
}
