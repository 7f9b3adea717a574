// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/policy/policy.hpp"

namespace pepperturn {

policy default_policy()
{
    policy out;
    out.m_priority = [](const policy_facts&) { return 0; };
    out.m_budget = [](const policy_facts& facts) {
        return facts.m_workspace_budget;
    };
    out.m_allow = [](const policy_facts&) { return true; };
    return out;
}

} // namespace pepperturn
