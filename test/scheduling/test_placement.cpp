// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

placement_candidate loaded(double load)
{
    placement_candidate out;
    out.m_load = load;
    return out;
}

placement_candidate with_prompt(double load)
{
    auto out = loaded(load);
    out.m_has_prompt = true;
    return out;
}

placement_candidate elsewhere(double load)
{
    auto out = loaded(load);
    out.m_other_zone = true;
    return out;
}

placement_candidate connected(double load)
{
    auto out = loaded(load);
    out.m_connected = true;
    return out;
}

placement_candidate slow(double load, double slowness)
{
    auto out = loaded(load);
    out.m_slowness = slowness;
    return out;
}

placement_candidate failing(double load, double share)
{
    auto out = loaded(load);
    out.m_trouble = share;
    return out;
}

placement_candidate avoided(double load)
{
    auto out = loaded(load);
    out.m_avoided = true;
    return out;
}

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
        {"the less loaded", loaded(0.1), loaded(0.2)},
        {"the same zone", loaded(0.25), elsewhere(0.2)},
        {"another zone with clearly more room", elsewhere(0.2), loaded(0.4)},
        {"the one with the prompt", with_prompt(0.4), loaded(0.0)},
        {"not if it is much busier", loaded(0.0), with_prompt(0.5)},
        {"an open connection", connected(0.05), loaded(0.0)},
        {"one request outweighs it", loaded(0.0), connected(0.1)},
        {"not the slow one", loaded(0.2), slow(0.0, 3.0)},
        {"a little slowness says nothing", slow(0.0, 1.4), loaded(0.1)},
        {"not the failing one", loaded(0.5), failing(0.0, 0.5)},
        {"anyone before one that has just refused", loaded(3.0), avoided(0.0)},
    }));
    INFO(each.m_name);
    CHECK(choose_placement({each.m_chosen, each.m_other}) == 0U);
    CHECK(choose_placement({each.m_other, each.m_chosen}) == 1U);
}

TEST_CASE("the draw decides among equals, and avoided ones still come",
          "[scheduling]")
{
    auto first = loaded(0.2);
    auto second = loaded(0.2);
    first.m_draw = 7;
    second.m_draw = 3;
    CHECK(choose_placement({first, second}) == 1U);
    CHECK(choose_placement({avoided(0.0)}) == 0U);
    CHECK_FALSE(choose_placement({}).has_value());
}
