// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/policy/lua_policy.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

struct invalid_policy
{
    const char* m_source;
    const char* m_reason;
};

} // namespace

TEST_CASE("a policy sets class, budget and runners", "[policy]")
{
    std::string reason;
    const auto rules = make_policy(
        "function priority(p, c) if p.name:find('^sync') then return 1 end "
        "return 0 end\n"
        "function budget(p) return p.workspace_budget // 2 end\n"
        "function allow(p, c, r) return r.availability_zone ~= 'x' end",
        7, reason);
    REQUIRE(rules);
    policy_facts facts;
    facts.m_program = "sync-1";
    facts.m_workspace_budget = 100;
    facts.m_runner_zone = "x";
    CHECK(rules->m_revision == 7);
    CHECK(rules->m_priority(facts) == 1);
    CHECK(rules->m_budget(facts) == 50);
    CHECK_FALSE(rules->m_allow(facts));
}

TEST_CASE("an invalid policy is rejected with its line", "[policy]")
{
    const auto row = GENERATE(
        invalid_policy{"function priority(", "policy:1:"},
        invalid_policy{"\n\nx = = 1", "policy:3:"},
        invalid_policy{"function priority() return 'high' end", "whole number"},
        invalid_policy{"function allow() return 1 end", "true or false"},
        invalid_policy{"function budget(p) return p.nothing.at end",
                       "policy:1:"},
        invalid_policy{"function priority() while true do end end",
                       "instruction limit"},
        invalid_policy{"while true do end", "instruction limit"},
        invalid_policy{"local t = {} for i = 1, 1e9 do t[i] = i end", ""},
        invalid_policy{"x = string.rep('x', 1 << 26)", "memory"},
        invalid_policy{"io.open('/etc/passwd')", "nil value"},
        invalid_policy{"os.exit()", "nil value"},
        invalid_policy{"load('x = 1')()", "nil value"},
        invalid_policy{"\x1bLua", "binary"});
    std::string reason;
    INFO(row.m_source);
    CHECK_FALSE(make_policy(row.m_source, 1, reason));
    CHECK(reason.find(row.m_reason) != std::string::npos);
}

TEST_CASE("a rule that fails later returns the default", "[policy]")
{
    std::string reason;
    const auto rules = make_policy(
        "function priority(p) if p.name == 'odd' then error('no') end "
        "return 3 end",
        1, reason);
    REQUIRE(rules);
    policy_facts facts;
    facts.m_program = "odd";
    CHECK(rules->m_priority(facts) == 0);
    facts.m_program = "even";
    CHECK(rules->m_priority(facts) == 3);
}

TEST_CASE("a budget never exceeds the workspace's", "[policy]")
{
    std::string reason;
    const auto rules =
        make_policy("function budget() return 1 << 40 end", 1, reason);
    REQUIRE(rules);
    policy_facts facts;
    facts.m_workspace_budget = 100;
    CHECK(rules->m_budget(facts) == 100);
}
