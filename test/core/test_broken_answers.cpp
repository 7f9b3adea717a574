// SPDX-License-Identifier: BSL-1.0
// A runner in trouble that answers at once, with what is no answer.
#include "pepperturn/core/scheduler.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

/// A VM that owns the only partition, with a broken runner and a sound one.
struct vm_with_broken_runner
{
    vm_with_broken_runner() : m_core("vm", 1, 1, m_time, 7)
    {
        deployment config;
        config.m_revision = 1;
        // Of runners without load the first by name is chosen.
        config.m_limits.m_routing = routing_rule::least_loaded;
        config.m_upstreams["llm"] = {"llm", call_kind::chat, true,
                                     milliseconds(60000)};
        for (const auto* name : {broken, sound})
        {
            runner_info runner;
            runner.m_name = name;
            runner.m_upstream = "llm";
            config.m_runners[name] = runner;
        }
        workspace_info workspace;
        workspace.m_name = "w";
        workspace.m_budget_tokens = budget;
        config.m_workspaces["w"] = workspace;
        m_core.handle(deployment_changed{config});
        m_core.handle(vms_listed{{{"vm", "", "", false}}, {}});
        // In steps, or the core takes it for a pause.
        for (int i = 0; i < 30; ++i)
            pass_time();
    }

    /// The answer to the first call of a program of its own.
    answer call()
    {
        const auto number = m_next++;
        const auto program = "p" + std::to_string(number);
        call_request request;
        request.m_id = make_call_id("vm", 1, number);
        request.m_entry_vm = "vm";
        request.m_session = {{"w", program, program}, "main"};
        request.m_upstream = "llm";
        request.m_messages = {{"user", "hello"}};
        request.m_max_tokens = 10;
        request.m_queue_timeout = milliseconds(10000);
        m_answer.reset();
        m_core.handle(call_submitted{request, {}});
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
                m_core.handle(call_reported{run(*permit)});
            if (const auto* reply = std::get_if<answer>(&decided->m_decision))
                m_answer = *reply;
        }
    }

    call_report run(const grant& permit)
    {
        auto report = report_for(permit);
        if (permit.m_runner == broken)
        {
            ++m_broken_runs;
            report.m_broken_answer = true;
            return report;
        }
        report.m_end = attempt_end::complete;
        report.m_status = 200;
        report.m_body = "hi";
        report.m_usage = {1, 0, 1};
        return report;
    }

    static constexpr const char* broken = "r1";
    static constexpr const char* sound = "r2";
    static constexpr std::uint64_t budget = 1000000;

    manual_clock m_time;
    scheduler m_core;
    std::uint64_t m_next = 1;
    int m_broken_runs = 0;
    std::optional<answer> m_answer;
};

} // namespace

// Each call that it breaks takes a retry from all others.
TEST_CASE("a runner whose answers are broken does not use up the retries",
          "[core]")
{
    vm_with_broken_runner vm;
    constexpr int calls = 100;
    for (int i = 0; i < calls; ++i)
    {
        const auto reply = vm.call();
        INFO(i << ": " << reply.m_reason);
        CHECK(reply.m_outcome == outcome::ran);
        CHECK(reply.m_runner == vm.sound);
        vm.pass_time();
    }
    // It is asked again once a second.
    CHECK(vm.m_broken_runs >= 2);
    CHECK(vm.m_broken_runs <= calls / 10 + 1);
}
