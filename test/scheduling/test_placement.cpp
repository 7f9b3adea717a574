// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("which of two runners is selected", "[scheduling]")
{
    struct sample
    {
        std::string m_name;
        runner_candidate m_chosen;
        runner_candidate m_other;
    };
    const auto each = GENERATE(values<sample>({
        {"the less loaded runner", {.m_load = 0.1}, {.m_load = 0.2}},
        {"the same zone",
         {.m_load = 0.25},
         {.m_load = 0.2, .m_other_zone = true}},
        {"a clearly less loaded runner of another zone",
         {.m_load = 0.2, .m_other_zone = true},
         {.m_load = 0.4}},
        {"the runner with the prompt cached",
         {.m_load = 0.4, .m_has_cached_prompt = true},
         {.m_load = 0.0}},
        {"unless it is much busier",
         {.m_load = 0.0},
         {.m_load = 0.5, .m_has_cached_prompt = true}},
        {"an idle connection",
         {.m_load = 0.05, .m_connected = true},
         {.m_load = 0.0}},
        {"one request outweighs a connection",
         {.m_load = 0.0},
         {.m_load = 0.1, .m_connected = true}},
        {"not the slow runner",
         {.m_load = 0.2},
         {.m_load = 0.0, .m_slowness = 3.0}},
        {"a small slowdown is ignored",
         {.m_load = 0.0, .m_slowness = 1.4},
         {.m_load = 0.1}},
        {"not the failing runner",
         {.m_load = 0.5},
         {.m_load = 0.0, .m_error_rate = 0.5}},
        {"any runner before one that has just refused",
         {.m_load = 3.0},
         {.m_load = 0.0, .m_deprioritised = true}},
    }));
    INFO(each.m_name);
    CHECK(select_runner({each.m_chosen, each.m_other}) == 0U);
    CHECK(select_runner({each.m_other, each.m_chosen}) == 1U);
}

TEST_CASE("a random value decides among equals, and deprioritised runners "
          "remain usable",
          "[scheduling]")
{
    runner_candidate first{.m_load = 0.2};
    runner_candidate second{.m_load = 0.2};
    first.m_random_tiebreak = 7;
    second.m_random_tiebreak = 3;
    CHECK(select_runner({first, second}) == 1U);
    CHECK(select_runner(std::vector<runner_candidate>{
              {.m_load = 0.0, .m_deprioritised = true}}) == 0U);
    CHECK_FALSE(select_runner({}).has_value());
}
