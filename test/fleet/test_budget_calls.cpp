// SPDX-License-Identifier: BSL-1.0
// Budgets of programs whose callers send their full history: only the spent
// tokens are stored.
#include "support/fleet/proxy_fixture.hpp"
#include "support/fleet/storage_fixture.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::uint32_t event_tokens = 8;

/// Storage VMs, and a proxy whose engines give eight tokens an event.
class budget_fixture : public storage_fixture, public proxy_fixture
{
public:
    budget_fixture() : proxy_fixture(storage_fixture::m_io, m_client)
    {
        start_three();
        auto config = proxy_fixture::config(2);
        config.m_services["svc"].m_engine =
            engine_profile{4, 100000, event_tokens};
        REQUIRE(m_proxy.apply_config(config));
    }

    std::string ask_turn(const std::string& id, const std::string& budget,
                         const std::string& count = "100,24",
                         const std::string& lines = {},
                         const std::string& program = "p")
    {
        std::string more;
        if (!program.empty())
            more += "Pepperturn-Program: " + program + "\r\n";
        more += "Pepperturn-Token-Budget: " + budget + "\r\n";
        more += "Pepperturn-Token-Count: " + count + "\r\n";
        more += lines;
        auto request = post("/stream/", "x", more);
        request.replace(request.find("Call: c1"), 8, "Call: " + id);
        connect();
        send(request);
        CHECK(proxy_fixture::wait_for([&] {
            return has(m_received, "0\r\n\r\n") ||
                   (has(m_received, "HTTP/1.1 4") &&
                    has(m_received, "\r\n\r\n")) ||
                   has(m_received, "HTTP/1.1 503 ") || m_ended;
        }));
        return m_received;
    }
};

} // namespace

TEST_CASE("a budget holds where callers bring their history", "[proxy]")
{
    // If only routes that store turns reserved tokens, such programs would
    // spend four times their budget.
    budget_fixture edge;
    edge.m_first.script({{event_answer({"a", "b", "c"})}});
    edge.m_second.script({{event_answer({"a", "b", "c"})}});
    const auto runs = [&] {
        return edge.m_first.requests().size() + edge.m_second.requests().size();
    };
    CHECK(has(edge.ask_turn("t1", "60"), "HTTP/1.1 200 "));
    CHECK(has(edge.ask_turn("t2", "60"), "HTTP/1.1 200 "));
    // 48 are spent, and the next may take 24.
    CHECK(has(edge.ask_turn("t3", "60"), "HTTP/1.1 402 "));
    CHECK(runs() == 2);
}

TEST_CASE("turns that name no program share no budget", "[proxy]")
{
    budget_fixture edge;
    edge.m_first.script({{event_answer({"a", "b", "c"})}});
    edge.m_second.script({{event_answer({"a", "b", "c"})}});
    for (const char* id : {"t1", "t2", "t3"})
        CHECK(has(edge.ask_turn(id, "30", "100,24", {}, ""), "HTTP/1.1 200 "));
}

TEST_CASE("tokens that a call did not deliver are released", "[proxy]")
{
    budget_fixture edge;
    const runner_step one{event_answer({"a"})};
    const runner_step full{whole_answer(503, "", "Pepperturn-Not-Run: 1\r\n")};
    const runner_step aborted{event_answer({"a"}, false), true,
                              runner_step::after::close};
    edge.m_first.script({one, aborted, full, one});
    edge.m_second.script({full});
    edge.m_proxy.set_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 4, false}});
    // Each may use 24: 8 were delivered, 8 by an aborted stream, none by a
    // refused one.
    CHECK(has(edge.ask_turn("t1", "40"), "HTTP/1.1 200 "));
    (void)edge.ask_turn("t2", "40");
    CHECK(has(edge.ask_turn("t3", "40"), "HTTP/1.1 503 "));
    CHECK(has(edge.ask_turn("t4", "40"), "HTTP/1.1 200 "));
    CHECK(has(edge.ask_turn("t5", "40"), "HTTP/1.1 402 "));
}

TEST_CASE("invalid budgets and counts are refused, nothing is reserved",
          "[proxy]")
{
    struct sample
    {
        std::string m_budget;
        std::string m_count;
    };
    const std::vector<sample> samples{
        {"-5", "100,24"},        {"many", "100,24"},
        {"", "100,24"},          {"99999999999999999999", "100,24"},
        {"60", "100"},           {"60", ""},
        {"60", "100,-1"},        {"60", "100,24,24"},
        {"60", "100,5000000000"}};
    budget_fixture edge;
    edge.m_first.script({{event_answer({"a"})}});
    for (const auto& each : samples)
    {
        INFO(each.m_budget << " / " << each.m_count);
        const auto got = edge.ask_turn("t", each.m_budget, each.m_count);
        CHECK(has(got, "HTTP/1.1 400 "));
    }
    CHECK(edge.m_first.requests().empty());
    CHECK(has(edge.ask_turn("good", "24"), "HTTP/1.1 200 "));
}

TEST_CASE("turns go to the engine of the previous turn, through any VM",
          "[proxy]")
{
    // Spread by load alone, each turn's whole history is processed again.
    budget_fixture edge;
    edge.m_proxy.set_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 64, false},
         {"r2", "svc", edge.m_second.address(), "z", 64, false}});
    edge.m_first.script({{event_answer({"a"})}});
    edge.m_second.script({{event_answer({"a"})}});
    constexpr int turns = 10;
    for (int i = 0; i < turns; ++i)
    {
        const auto parts = "Pepperturn-Prompt-Parts: 5c1e:500,77d2:" +
                           std::to_string(100 * (i + 1)) + "\r\n";
        CHECK(
            has(edge.ask_turn("t" + std::to_string(i), "1000", "700,24", parts),
                "HTTP/1.1 200 "));
    }
    CHECK(std::min(edge.m_first.requests().size(),
                   edge.m_second.requests().size()) == 0);
}
