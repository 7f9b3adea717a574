// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/replica_sets.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

member vm(int number, int zones, member_state state = member_state::full)
{
    return {"vm-" + std::to_string(number), "1.2.3.4:5",
            "z" + std::to_string(number % zones),
            static_cast<std::uint64_t>(number) + 1, state};
}

std::vector<member> some_vms(int count, int zones)
{
    std::vector<member> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        out.push_back(vm(i, zones));
    return out;
}

/// Views whose sets have the given numbers of members.
std::vector<cluster_view> views_of(const std::vector<int>& sizes)
{
    std::vector<cluster_view> out;
    int number = 0;
    for (std::uint32_t set = 0; set < sizes.size(); ++set)
    {
        cluster_view view{
            set + 1, {}, set, static_cast<std::uint32_t>(sizes.size())};
        for (int i = 0; i < sizes[set]; ++i)
            view.m_members.push_back(vm(number++, 5));
        out.push_back(std::move(view));
    }
    return out;
}

bool all_reachable(const std::string& /*name*/)
{
    return true;
}

} // namespace

TEST_CASE("how many replica sets a fleet has", "[replica_sets]")
{
    struct row
    {
        std::size_t m_vms;
        std::uint32_t m_losses;
        std::uint32_t m_expected;
    };
    const auto each = GENERATE(values<row>({{0, 1, 1},
                                            {1, 1, 1},
                                            {3, 1, 1},
                                            {4, 1, 1},
                                            {5, 1, 1},
                                            {6, 1, 2},
                                            {9, 1, 3},
                                            {9, 2, 1},
                                            {10, 2, 2},
                                            {36, 2, 7},
                                            {36, 0, 12},
                                            {2, 0, 1},
                                            {400, 2, 30}}));
    CAPTURE(each.m_vms, each.m_losses);
    CHECK(set_count_for(each.m_vms, each.m_losses) == each.m_expected);
}

TEST_CASE("initial sets are of even size and spread over all zones",
          "[replica_sets]")
{
    CHECK(rc::check("initial views", [] {
        const auto losses = *rc::gen::inRange(0U, 4U);
        const auto zones = *rc::gen::inRange(1, 6);
        const auto count = *rc::gen::inRange(1, 80);
        auto vms = some_vms(count, zones);
        const auto views = initial_views(vms, losses);
        RC_ASSERT(views.size() == set_count_for(vms.size(), losses));
        std::map<std::string, int> seen;
        std::size_t least = SIZE_MAX;
        std::size_t most = 0;
        for (std::uint32_t set = 0; set < views.size(); ++set)
        {
            const auto& view = views[set];
            RC_ASSERT(view.m_set == set);
            RC_ASSERT(view.m_set_count == views.size());
            least = std::min(least, view.m_members.size());
            most = std::max(most, view.m_members.size());
            std::map<std::string, int> in_zone;
            for (const auto& row : view.m_members)
            {
                RC_ASSERT(row.m_state == member_state::full);
                ++seen[row.m_name];
                ++in_zone[row.m_availability_zone];
            }
            // No zone holds two more members of a set than an even spread
            // needs.
            const int even = (count + zones - 1) / zones;
            const int share = (even + static_cast<int>(views.size()) - 1) /
                              static_cast<int>(views.size());
            for (const auto& [zone, held] : in_zone)
                RC_ASSERT(held <= share + 1);
        }
        RC_ASSERT(most - least <= 1U);
        RC_ASSERT(seen.size() == vms.size());
        RC_ASSERT(std::all_of(seen.begin(), seen.end(),
                              [](const auto& row) { return row.second == 1; }));
    }));
}

TEST_CASE("a VM outside all sets joins the smallest one", "[replica_sets]")
{
    struct row
    {
        const char* m_what;
        std::vector<int> m_sizes;
        std::optional<std::uint32_t> m_expected;
    };
    const auto each = GENERATE(values<row>({
        {"fewest members", {5, 4, 5}, 1},
        {"all are as large as is useful", {9, 9, 9}, std::nullopt},
        {"one is not full", {9, 8, 9}, 1},
        {"no set is known", {}, std::nullopt},
    }));
    INFO(each.m_what);
    CHECK(set_to_join(views_of(each.m_sizes), vm(100, 5), 2, all_reachable) ==
          each.m_expected);
}

TEST_CASE("lost and leaving members do not count towards the size",
          "[replica_sets]")
{
    const auto state = GENERATE(member_state::lost, member_state::leaving);
    auto views = views_of({5, 5, 5});
    views[2].m_members[0].m_state = state;
    CHECK(set_to_join(views, vm(100, 5), 2, all_reachable) == 2);
}

TEST_CASE("of equal sets a VM joins one that lacks its zone", "[replica_sets]")
{
    auto views = views_of({5, 5, 5});
    views[1].m_members[0].m_availability_zone = "elsewhere";
    const auto self = vm(100, 5);
    REQUIRE(self.m_availability_zone == "z0");
    CHECK(set_to_join(views, self, 2, all_reachable) == 1);
}

TEST_CASE("VMs that arrive at the same time spread over equal sets",
          "[replica_sets]")
{
    const auto views = views_of({5, 5, 5, 5, 5, 5, 5});
    std::map<std::uint32_t, int> chosen;
    constexpr int vms = 70;
    for (int i = 0; i < vms; ++i)
    {
        auto self = vm(100 + i, 5);
        self.m_availability_zone = "new";
        ++chosen[set_to_join(views, self, 2, all_reachable).value_or(99)];
    }
    CHECK(chosen.size() == views.size());
    for (const auto& [set, count] : chosen)
        CHECK(count < vms / 3);
}

TEST_CASE("a successor joins the set that its predecessor is missing from",
          "[replica_sets]")
{
    // Guards against a successor in another set: the member that is gone takes
    // writes in its view until it has been silent for long enough.
    const auto lacking = GENERATE(0U, 1U, 2U);
    const auto number = GENERATE(range(100, 120));
    const auto views = views_of({5, 5, 5});
    const auto gone = views[lacking].m_members[2].m_name;
    const auto reachable = [&](const std::string& name) {
        return name != gone;
    };
    CAPTURE(lacking, number);
    CHECK(set_to_join(views, vm(number, 5), 2, reachable) == lacking);
}

TEST_CASE("no VM joins a set that it does not reach", "[replica_sets]")
{
    const auto views = views_of({3, 3});
    const auto reachable = [&](const std::string& name) {
        return find_member(views[1], name) != nullptr;
    };
    CHECK(set_to_join(views, vm(100, 5), 1, reachable) == 1);
    CHECK(set_to_join(views, vm(100, 5), 1, [](const std::string& /*name*/) {
              return false;
          }) == std::nullopt);
}

TEST_CASE("a VM's set is found by its name", "[replica_sets]")
{
    const auto views = views_of({3, 3});
    REQUIRE(find_replica_set(views, "vm-4") != nullptr);
    CHECK(find_replica_set(views, "vm-4")->m_set == 1);
    CHECK(find_replica_set(views, "vm-9") == nullptr);
    CHECK(members_of(views).size() == 6);
}
