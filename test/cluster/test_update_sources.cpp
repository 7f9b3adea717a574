// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/update_sources.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace {

using namespace pepperturn;

/// Storage VMs of several zones, the same number in each.
std::vector<member> some_members(int zones, int in_zone)
{
    std::vector<member> out;
    for (int zone = 0; zone < zones; ++zone)
    {
        for (int i = 0; i < in_zone; ++i)
        {
            const auto name = std::string(1, static_cast<char>('a' + zone));
            out.push_back({name + std::to_string(i), "1.2.3.4:5", name, 1,
                           member_state::full});
        }
    }
    return out;
}

} // namespace

TEST_CASE("the first watchers are in different zones", "[news_sources]")
{
    auto members = some_members(5, 7);
    const auto order = watch_order(members);
    REQUIRE(order.size() == members.size());
    std::set<char> zones;
    for (std::size_t i = 0; i < 5; ++i)
        zones.insert(order[i].front());
    CHECK(zones.size() == 5);
    // The order of the input does not matter.
    std::reverse(members.begin(), members.end());
    CHECK(watch_order(members) == order);
}

TEST_CASE("a lost VM does not watch, and the others keep their order",
          "[news_sources]")
{
    auto members = some_members(1, 6);
    auto expected = watch_order(members);
    const auto lost_vm = expected[1];
    std::erase(expected, lost_vm);
    for (auto& row : members)
    {
        if (row.m_name == lost_vm)
            row.m_state = member_state::lost;
    }
    CHECK(watch_order(members) == expected);
}

TEST_CASE("which storage VMs watch the store", "[news_sources]")
{
    struct row
    {
        const char* m_what;
        watch_facts m_facts;
        bool m_expected;
    };
    const auto each = GENERATE(values<row>({
        {"the first", {0, 0, milliseconds(0)}, true},
        {"the last of the watchers", {2, 2, milliseconds(0)}, true},
        {"the next one, with enough watchers",
         {3, 2, milliseconds(9000)},
         false},
        {"the next one, at once", {3, 1, milliseconds(0)}, false},
        {"the next one, after one step", {3, 1, milliseconds(700)}, true},
        {"the one after it waits longer", {4, 1, milliseconds(700)}, false},
        {"and then watches as well", {4, 1, milliseconds(1400)}, true},
        {"far back, before the maximum delay",
         {30, 0, milliseconds(2700)},
         false},
        {"far back, after the maximum delay",
         {30, 0, milliseconds(2800)},
         true},
        {"outside all sets", {std::nullopt, 2, milliseconds(0)}, false},
        {"outside all sets, nobody watches",
         {std::nullopt, 0, milliseconds(2800)},
         true},
    }));
    INFO(each.m_what);
    CHECK(should_watch(each.m_facts) == each.m_expected);
}

TEST_CASE("update sources are near, and each VM has its own choice",
          "[news_sources]")
{
    const auto members = some_members(5, 7);
    const auto all = [](const std::string&) { return true; };
    std::map<std::string, int> chosen;
    constexpr int subscribers = 52;
    for (int i = 0; i < subscribers; ++i)
    {
        const auto sources =
            choose_sources(members, "edge-" + std::to_string(i), "c", all);
        REQUIRE(sources.size() == source_count);
        for (const auto& name : sources)
        {
            CHECK(name.front() == 'c');
            ++chosen[name];
        }
    }
    CHECK(chosen.size() == 7);
    for (const auto& [name, count] : chosen)
        CHECK(count < subscribers);
}

TEST_CASE("far VMs replace near ones that are disconnected", "[news_sources]")
{
    const auto members = some_members(2, 2);
    const auto sources =
        choose_sources(members, "edge", "a",
                       [](const std::string& name) { return name != "a1"; });
    REQUIRE(sources.size() == 3);
    CHECK(sources[0] == "a0");
    CHECK(sources[1].front() == 'b');
    CHECK(sources[2].front() == 'b');
}

TEST_CASE("the subscribers of a watcher do not grow with the fleet",
          "[news_sources]")
{
    const auto per_zone = GENERATE(20, 80);
    std::vector<member> members;
    for (const char* zone : {"a", "b", "c", "d", "e"})
    {
        for (int i = 0; i < per_zone; ++i)
            members.push_back(
                {zone + std::to_string(i), "", zone, 1, member_state::full});
    }
    const auto watchers = storage_sources(members, "nobody", 48);
    CHECK(watchers.size() == watch_candidates);
    std::map<std::string, std::size_t> subscribers;
    for (const auto& row : members)
    {
        const auto sources = storage_sources(members, row.m_name, 48);
        CHECK(sources.size() >= relays_per_zone);
        for (const auto& name : sources)
            ++subscribers[name];
    }
    for (const auto& name : watchers)
        CHECK(subscribers[name] <= 5 * relays_per_zone + watch_candidates +
                                       static_cast<std::size_t>(per_zone));
    // Nobody is more than two hops behind the watchers.
    std::set<std::string> relays;
    for (const auto& row : members)
    {
        for (const auto& name : storage_sources(members, row.m_name, 48))
            relays.insert(name);
    }
    for (const auto& name : relays)
        CHECK(storage_sources(members, name, 48) == watchers);
    // Up to the limit all subscribe to the watchers.
    for (const auto& row : members)
        CHECK(storage_sources(members, row.m_name, members.size()) == watchers);
}

TEST_CASE("how many sources an edge VM subscribes to", "[news_sources]")
{
    struct sample
    {
        subscriber_facts m_facts;
        std::size_t m_count;
    };
    const auto each = GENERATE(values<sample>({
        {{false, false, milliseconds(0)}, source_count},
        {{true, false, milliseconds(0)}, 1},
        {{true, true, milliseconds(0)}, source_count},
        // The first source has sent nothing, or no further part, in time.
        {{true, false, milliseconds(1500)}, source_count},
    }));
    CHECK(target_source_count(each.m_facts) == each.m_count);
}

TEST_CASE("a starting edge VM waits before it reads the store itself",
          "[news_sources]")
{
    const milliseconds usual = store_read_delay(false, true);
    CHECK(store_read_delay(false, false) == usual);
    // No storage VM is reachable that could send it.
    CHECK(store_read_delay(true, false) == usual);
    CHECK(store_read_delay(true, true) >= 4 * usual);
}
