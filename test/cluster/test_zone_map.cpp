// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/zone_map.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

TEST_CASE("distance between zones", "[zone_map]")
{
    zone_map zones;
    REQUIRE(parse_zone_map("n-a=north,n-b=north,s-a=south", zones).empty());
    struct sample
    {
        const char* m_left;
        const char* m_right;
        zone_distance m_distance;
    };
    const auto each = GENERATE(values<sample>({
        {"n-a", "n-a", zone_distance::same_zone},
        {"n-a", "n-b", zone_distance::same_region},
        {"n-a", "s-a", zone_distance::other_region},
        // Its region is unknown.
        {"n-a", "new", zone_distance::same_region},
        {"new", "new", zone_distance::same_zone},
    }));
    INFO(each.m_left << ' ' << each.m_right);
    CHECK(distance_between(zones, each.m_left, each.m_right) ==
          each.m_distance);
    CHECK(distance_between(zones, each.m_right, each.m_left) ==
          each.m_distance);
}

TEST_CASE("malformed zone map entries are rejected", "[zone_map]")
{
    const auto* text = GENERATE("a", "=r", "a=", "a=r,", "a=r,a=s");
    zone_map zones;
    CHECK_FALSE(parse_zone_map(text, zones).empty());
}
