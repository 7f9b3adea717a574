// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/prompt_home.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr std::uint64_t shared = 1;
constexpr std::uint64_t parent = 2;
constexpr std::uint64_t helper = 3;

} // namespace

TEST_CASE("a prompt's home is where the most of it was read", "[scheduling]")
{
    struct sample
    {
        std::string m_name;
        std::vector<prompt_part> m_parts;
        std::vector<prompt_location> m_places;
        std::uint64_t m_runner;
    };
    const std::vector<prompt_part> own{{shared, 500}, {parent, 900}};
    const std::vector<prompt_part> inner{
        {shared, 500}, {parent, 900}, {helper, 300}};
    const auto each = GENERATE_COPY(values<sample>({
        {"nothing known", own, {}, 0},
        {"the turn before", own, {{parent, 700, 11}}, 11},
        {"the longest of several",
         own,
         {{parent, 700, 11}, {parent, 900, 12}},
         12},
        {"of another conversation", own, {{helper, 700, 11}}, 0},
        {"an attempt that no runner read", own, {{parent, 900, 0}}, 0},
        {"a sub-agent begins at its parent's", inner, {{parent, 1400, 11}}, 11},
        {"then stays at its own",
         inner,
         {{parent, 1400, 11}, {helper, 1700, 12}},
         12},
        {"no parts", {}, {{parent, 700, 11}}, 0},
    }));
    INFO(each.m_name);
    const auto home = find_cached_prompt(each.m_parts, each.m_places);
    CHECK((home ? home->m_runner : 0) == each.m_runner);
}
