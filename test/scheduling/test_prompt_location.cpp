// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/prompt_location.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr std::uint64_t shared = 1;
constexpr std::uint64_t parent = 2;
constexpr std::uint64_t helper = 3;

} // namespace

TEST_CASE("the location of a prompt is where the longest beginning is cached",
          "[scheduling]")
{
    struct sample
    {
        std::string m_name;
        std::vector<prompt_part> m_parts;
        std::vector<prompt_location> m_locations;
        std::uint64_t m_runner;
    };
    const std::vector<prompt_part> own{{shared, 500}, {parent, 900}};
    const std::vector<prompt_part> inner{
        {shared, 500}, {parent, 900}, {helper, 300}};
    const auto each = GENERATE_COPY(values<sample>({
        {"no locations", own, {}, 0},
        {"the previous turn", own, {{parent, 700, 11}}, 11},
        {"the longest of several locations",
         own,
         {{parent, 700, 11}, {parent, 900, 12}},
         12},
        {"a location of another conversation", own, {{helper, 700, 11}}, 0},
        {"an attempt that no runner prefilled", own, {{parent, 900, 0}}, 0},
        {"a sub-agent begins at its parent's location",
         inner,
         {{parent, 1400, 11}},
         11},
        {"then uses its own",
         inner,
         {{parent, 1400, 11}, {helper, 1700, 12}},
         12},
        {"no parts", {}, {{parent, 700, 11}}, 0},
    }));
    INFO(each.m_name);
    const auto location = find_cached_prompt(each.m_parts, each.m_locations);
    CHECK((location ? location->m_runner : 0) == each.m_runner);
}
