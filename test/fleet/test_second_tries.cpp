// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/isolated_edge.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;
using fixture = isolated_edge;

const runner_step good{whole_answer(200, "fine")};
const runner_step hangs{};

/// Lets the edge VM measure response times and earn a budget of second tries.
void warm_up(fixture& edge)
{
    edge.m_first.script({good});
    edge.m_second.script({good});
    for (int i = 0; i < 40; ++i)
        CHECK(has(edge.ask(fixture::get("/get/"), "fine"), " 200 "));
}

milliseconds ask_timed(fixture& edge, const std::string& path)
{
    const auto begun = edge.m_time.now();
    const auto got = edge.ask(fixture::get(path), "\r\n\r\n");
    CHECK(has(got, " 200 "));
    return elapsed(begun, edge.m_time.now());
}

} // namespace

TEST_CASE("a call that hangs is soon tried at a second runner", "[second_try]")
{
    fixture edge;
    warm_up(edge);
    const auto closed = edge.m_first.closed();
    edge.m_first.script({hangs});
    // Twice the objective is 400 ms.
    CHECK(ask_timed(edge, "/get/") < milliseconds(250));
    // The first try was aborted: it does not run beside the second.
    CHECK(edge.m_first.closed() == closed + 1);
    CHECK(has(edge.m_proxy.metrics_text(), "second_tries 1\n"));
    // The runner that hung is deprioritised for a moment.
    CHECK(ask_timed(edge, "/get/") < milliseconds(100));
    CHECK(has(edge.m_proxy.metrics_text(), "second_tries 1\n"));
}

TEST_CASE("second tries end with their budget", "[second_try]")
{
    fixture edge;
    warm_up(edge);
    edge.m_proxy.set_runners(
        {{"r1", "svc", edge.m_first.address(), "z", 4, false}});
    edge.m_first.script({hangs});
    for (int i = 0; i < 4; ++i)
        (void)edge.ask(fixture::get("/get/"), "\r\n\r\n");
    // Forty calls earn one and a half.
    CHECK(has(edge.m_proxy.metrics_text(), "second_tries 1\n"));
}

TEST_CASE("a response that is slow after its first byte is no hang",
          "[second_try]")
{
    fixture edge;
    warm_up(edge);
    const auto answer = whole_answer(200, "slow body");
    const auto body = answer.find("slow");
    runner_step halves{answer.substr(0, body)};
    halves.m_surplus = answer.substr(body);
    edge.m_first.script({halves});
    const auto before = edge.m_second.requests().size();
    CHECK(has(edge.ask(fixture::get("/get/"), "slow body"), " 200 "));
    CHECK(edge.m_second.requests().size() == before);
    CHECK_FALSE(has(edge.m_proxy.metrics_text(), "second_tries"));
}

TEST_CASE("an unrepeatable call is not tried again", "[second_try]")
{
    fixture edge;
    warm_up(edge);
    const auto before = edge.m_second.requests().size();
    edge.m_first.script({hangs});
    edge.m_second.script({good});
    const auto got = edge.ask(fixture::post("/once/", "x"), "\r\n\r\n");
    CHECK(has(got, "HTTP/1.1 504 "));
    CHECK(edge.m_second.requests().size() == before);
    // The next call is sent to another runner.
    CHECK(has(edge.ask(fixture::get("/get/"), "fine"), " 200 "));
    CHECK(edge.m_second.requests().size() == before + 1);
}
