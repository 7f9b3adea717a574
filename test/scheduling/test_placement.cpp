// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("which of two runners a call goes to", "[scheduling]")
{
    struct sample
    {
        std::string m_name;
        placement_candidate m_chosen;
        placement_candidate m_other;
    };
    const auto each = GENERATE(values<sample>({
        {"the less loaded", {.m_load = 0.1}, {.m_load = 0.2}},
        {"the same zone",
         {.m_load = 0.25},
         {.m_load = 0.2, .m_other_zone = true}},
        {"another zone with clearly more room",
         {.m_load = 0.2, .m_other_zone = true},
         {.m_load = 0.4}},
        {"the one with the prompt",
         {.m_load = 0.4, .m_has_prompt = true},
         {.m_load = 0.0}},
        {"not if it is much busier",
         {.m_load = 0.0},
         {.m_load = 0.5, .m_has_prompt = true}},
        {"an open connection",
         {.m_load = 0.05, .m_connected = true},
         {.m_load = 0.0}},
        {"one request outweighs it",
         {.m_load = 0.0},
         {.m_load = 0.1, .m_connected = true}},
        {"not the slow one",
         {.m_load = 0.2},
         {.m_load = 0.0, .m_slowness = 3.0}},
        {"a little slowness says nothing",
         {.m_load = 0.0, .m_slowness = 1.4},
         {.m_load = 0.1}},
        {"not the failing one",
         {.m_load = 0.5},
         {.m_load = 0.0, .m_trouble = 0.5}},
        {"anyone before one that has just refused",
         {.m_load = 3.0},
         {.m_load = 0.0, .m_avoided = true}},
    }));
    INFO(each.m_name);
    CHECK(choose_placement({each.m_chosen, each.m_other}) == 0U);
    CHECK(choose_placement({each.m_other, each.m_chosen}) == 1U);
}

TEST_CASE("the draw decides among equals, and avoided ones still come",
          "[scheduling]")
{
    placement_candidate first{.m_load = 0.2};
    placement_candidate second{.m_load = 0.2};
    first.m_draw = 7;
    second.m_draw = 3;
    CHECK(choose_placement({first, second}) == 1U);
    CHECK(choose_placement(std::vector<placement_candidate>{
              {.m_load = 0.0, .m_avoided = true}}) == 0U);
    CHECK_FALSE(choose_placement({}).has_value());
}
