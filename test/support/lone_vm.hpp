// SPDX-License-Identifier: BSL-1.0
/// \file
/// A VM that owns the only partition, with one workspace and one upstream; its
/// store answers at once, and a test says how its runners answer.
#pragma once

#include "pepperturn/core/scheduler.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace pepperturn::test {

class lone_vm
{
public:
    /// What a runner makes of a call.
    using runner_model = std::function<call_report(const grant&)>;

    /// \param runners their names; all serve the upstream "llm"
    lone_vm(const std::vector<std::string>& runners, runner_model run,
            std::uint64_t budget, scheduler_limits limits = {})
        : m_core("vm", 1, 1, m_time, 7), m_run(std::move(run))
    {
        deployment config;
        config.m_revision = 1;
        config.m_limits = limits;
        config.m_upstreams["llm"] = {"llm", call_kind::chat, true,
                                     milliseconds(60000)};
        for (const auto& name : runners)
        {
            config.m_runners[name].m_name = name;
            config.m_runners[name].m_upstream = "llm";
        }
        config.m_workspaces["w"].m_name = "w";
        config.m_workspaces["w"].m_budget_tokens = budget;
        m_core.handle(deployment_changed{config});
        m_core.handle(vms_listed{{{"vm", "", "", false}}, {}});
        // In steps, or the core takes it for a pause.
        for (int i = 0; i < 30; ++i)
            pass_time();
    }

    [[nodiscard]] call_request next_request(const session_key& session)
    {
        call_request out;
        out.m_id = make_call_id("vm", 1, m_next++);
        out.m_entry_vm = "vm";
        out.m_session = session;
        out.m_upstream = "llm";
        out.m_messages = {{"user", "hello"}};
        out.m_max_tokens = max_tokens;
        out.m_queue_timeout = milliseconds(10000);
        return out;
    }

    answer answer_to(const call_submitted& submitted)
    {
        m_answer.reset();
        m_core.handle(submitted);
        drain();
        REQUIRE(m_answer);
        return *m_answer;
    }

    void pass_time()
    {
        m_time.advance(milliseconds(100));
        drain();
    }

    void drain()
    {
        for (auto out = m_core.tick(); !out.empty(); out = m_core.tick())
        {
            for (const auto& order : out)
                carry_out(order);
        }
    }

    void carry_out(const command& order)
    {
        if (const auto* create = std::get_if<create_entries>(&order))
        {
            for (const auto& entry : create->m_entries)
                m_core.handle(entry_write_completed{entry.m_partition,
                                                    entry.m_seq,
                                                    create_status::created,
                                                    {}});
        }
        else if (const auto* read = std::get_if<read_log>(&order))
            m_core.handle(log_read_completed{read->m_partition, log_image{}});
        else if (const auto* decided = std::get_if<send_decision>(&order))
        {
            if (const auto* permit = std::get_if<grant>(&decided->m_decision))
                m_core.handle(call_reported{m_run(*permit)});
            if (const auto* reply = std::get_if<answer>(&decided->m_decision))
                m_answer = *reply;
        }
    }

    static constexpr std::uint32_t max_tokens = 40;

    manual_clock m_time;
    scheduler m_core;
    std::optional<answer> m_answer;

private:
    runner_model m_run;
    std::uint64_t m_next = 1;
};

} // namespace pepperturn::test
