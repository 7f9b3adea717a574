// SPDX-License-Identifier: BSL-1.0
/// \file
/// The decisions that a policy makes, and their inputs.
#pragma once

#include "pepperturn/core/types.hpp"

#include <functional>

namespace pepperturn {

/// Facts about a program, its call and a candidate runner.
struct policy_facts
{
    std::string m_workspace;
    std::string m_program;
    std::string m_session;
    std::string m_upstream;
    bool m_sub_agent = false;
    bool m_repeatable = true;
    std::uint64_t m_turns = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_workspace_budget = 0;
    std::string m_runner;
    std::string m_runner_zone;
};

/// A policy as plain functions. Lower priority classes run first.
struct policy
{
    std::uint64_t m_revision = 0;
    std::string m_name = "default";
    std::function<int(const policy_facts&)> m_priority;
    std::function<std::uint64_t(const policy_facts&)> m_budget;
    std::function<bool(const policy_facts&)> m_allow;
};

/// Priority class 0 for all calls, the workspace's budget, all runners.
[[nodiscard]] policy default_policy();

} // namespace pepperturn
