// SPDX-License-Identifier: BSL-1.0
// A runner in trouble that answers at once, with what is no answer.
#include "support/lone_vm.hpp"

using namespace pepperturn;
using namespace pepperturn::test;

namespace {

constexpr const char* broken = "r1";
constexpr const char* sound = "r2";
constexpr std::uint64_t budget = 1000000;

/// Of runners without load the first by name is chosen.
scheduler_limits least_loaded()
{
    scheduler_limits out;
    out.m_routing = routing_rule::least_loaded;
    return out;
}

call_report run(const grant& permit)
{
    auto report = report_for(permit);
    if (permit.m_runner == broken)
    {
        report.m_broken_answer = true;
        return report;
    }
    report.m_end = attempt_end::complete;
    report.m_status = 200;
    report.m_body = "hi";
    report.m_usage = {1, 0, 1};
    return report;
}

} // namespace

// Each call that it breaks takes a retry from all others.
TEST_CASE("a runner whose answers are broken does not use up the retries",
          "[core]")
{
    int broken_runs = 0;
    const auto count_and_run = [&broken_runs](const grant& permit) {
        broken_runs += permit.m_runner == broken ? 1 : 0;
        return run(permit);
    };
    lone_vm vm({broken, sound}, count_and_run, budget, least_loaded());
    constexpr int calls = 100;
    for (int i = 0; i < calls; ++i)
    {
        const auto program = "p" + std::to_string(i);
        const session_key session{{"w", program, program}, "main"};
        const auto reply = vm.answer_to({vm.next_request(session), {}});
        INFO(i << ": " << reply.m_reason);
        CHECK(reply.m_outcome == outcome::ran);
        CHECK(reply.m_runner == sound);
        vm.pass_time();
    }
    // It is asked again once a second.
    CHECK(broken_runs >= 2);
    CHECK(broken_runs <= calls / 10 + 1);
}
