// SPDX-License-Identifier: BSL-1.0
// Chat answers whose engine does not state the tokens that they used.
#include "pepperturn/core/systems.hpp"

#include "support/lone_vm.hpp"

using namespace pepperturn;
using namespace pepperturn::test;

namespace {

constexpr auto max_tokens = lone_vm::max_tokens;
/// "hello", and the overhead of a message.
constexpr std::uint32_t message_bound = 5 + 16;
constexpr std::uint32_t first_bound = message_bound + max_tokens;
constexpr std::uint32_t second_bound = first_bound + message_bound + max_tokens;
constexpr std::uint32_t third_bound = second_bound + message_bound + max_tokens;
const session_key session{{"w", "p", "p"}, "main"};

/// Its engine states no usage unless it is told to.
struct usage_vm : lone_vm
{
    explicit usage_vm(std::uint64_t budget)
        : lone_vm(
              {"r1"}, [this](const grant& permit) { return run(permit); },
              budget)
    {}

    [[nodiscard]] call_request next_request()
    {
        return lone_vm::next_request(session);
    }

    /// The answer to a call that runs.
    answer turn()
    {
        return answer_to({next_request(), {}});
    }

    call_report run(const grant& permit)
    {
        auto report = report_for(permit);
        if (m_refuse_next > 0)
        {
            m_refuse_next -= 1;
            report.m_end = attempt_end::not_sent;
            return report;
        }
        report.m_end = attempt_end::complete;
        report.m_status = 200;
        report.m_body = "hi";
        report.m_usage = m_stated;
        return report;
    }

    [[nodiscard]] const partition_row& partition() const
    {
        return m_core.state().m_partitions.front();
    }
    [[nodiscard]] std::uint64_t spent() const
    {
        return partition().m_programs.at(session.m_program).m_spent;
    }

    int m_refuse_next = 0;
    std::optional<token_usage> m_stated;
};

std::uint32_t tokens_of(const answer& reply)
{
    return reply.m_prompt_tokens + reply.m_output_tokens;
}

} // namespace

TEST_CASE("an answer without usage is charged its reserved bound", "[core]")
{
    usage_vm vm(100000);
    const auto reply = vm.turn();
    CHECK(reply.m_outcome == outcome::ran);
    CHECK(reply.m_body == "hi");
    CHECK(vm.spent() == first_bound);
    // Its caller is told what it was charged.
    CHECK(reply.m_prompt_tokens == message_bound);
    CHECK(reply.m_output_tokens == max_tokens);
    CHECK(reply.m_cached_tokens == 0);
}

TEST_CASE("calls after an answer without usage are bounded by its history",
          "[core]")
{
    usage_vm vm(100000);
    CHECK(tokens_of(vm.turn()) == first_bound);
    CHECK(tokens_of(vm.turn()) == second_bound);
    CHECK(vm.spent() == first_bound + second_bound);

    // So they are after a restart from a snapshot.
    core_state later;
    later.m_partitions.resize(1);
    auto& loaded = later.m_partitions.front();
    for (const auto& each : detail::snapshot_records(vm.partition()))
        detail::apply_record(later, loaded, each);
    CHECK(loaded.m_programs.at(session.m_program)
              .m_sessions.at(session.m_session)
              .m_history_tokens == second_bound);
}

TEST_CASE("a budget holds if no answer states its usage", "[core]")
{
    usage_vm vm(first_bound + second_bound + third_bound - 1);
    CHECK(vm.turn().m_outcome == outcome::ran);
    CHECK(vm.turn().m_outcome == outcome::ran);
    const auto refused = vm.turn();
    CHECK(refused.m_outcome == outcome::not_run);
    CHECK(refused.m_status == 402);
}

TEST_CASE("an unrepeatable answer without usage is charged after a retry",
          "[core]")
{
    usage_vm vm(100000);
    auto request = vm.next_request();
    request.m_repeatable = false;
    vm.m_refuse_next = 1;
    vm.m_core.handle(call_submitted{request, {}});
    // The runner that refused is left alone for a while.
    for (int i = 0; i < 80 && !vm.m_answer; ++i)
    {
        vm.m_time.advance(milliseconds(100));
        vm.drain();
    }
    REQUIRE(vm.m_answer);
    CHECK(vm.m_answer->m_outcome == outcome::ran);
    CHECK(vm.spent() == first_bound);
}

TEST_CASE("an adopted answer without usage is charged its bound", "[core]")
{
    usage_vm vm(100000);
    vm.turn();
    const auto request = vm.next_request();
    grant earlier;
    earlier.m_call = request.m_id;
    earlier.m_runner = "r1";
    const auto reply = vm.answer_to({request, vm.run(earlier)});
    CHECK(reply.m_outcome == outcome::ran);
    CHECK(tokens_of(reply) == second_bound);
    CHECK(vm.spent() == first_bound + second_bound);
}

TEST_CASE("an answer that states its usage is charged that, zeros included",
          "[core]")
{
    usage_vm vm(100000);
    vm.m_stated = {7, 2, 3};
    const auto reply = vm.turn();
    CHECK(reply.m_prompt_tokens == 7);
    CHECK(reply.m_cached_tokens == 2);
    CHECK(reply.m_output_tokens == 3);
    CHECK(vm.spent() == 10);
    vm.m_stated = {0, 0, 0};
    CHECK(tokens_of(vm.turn()) == 0);
    CHECK(vm.spent() == 10);
}
