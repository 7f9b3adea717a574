// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/admission_queue.hpp"

#include "support/fleet/loop.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A gate that has just been limited to two calls, both under way.
class full_gate
{
public:
    full_gate() : m_gate(m_io, m_time)
    {
        CHECK(enter(call_rank::first, milliseconds(0)));
        CHECK(enter(call_rank::first, milliseconds(0)));
        for (int i = 0; i < 20; ++i)
            m_gate.record_call("r", milliseconds(20), milliseconds(100));
        for (int i = 0; i < 50; ++i)
            m_gate.record_call("r", milliseconds(900), milliseconds(100));
        REQUIRE(m_gate.limit() == 2.0);
    }
    bool enter(call_rank rank, milliseconds patience)
    {
        const auto result = run_task(m_io, m_gate.acquire(rank, patience));
        return result.has_value() && result->m_admitted;
    }
    void wait_in_line(call_rank rank, char name)
    {
        spawn(m_io, "wait",
              [](full_gate& self, call_rank its_rank, char its_name) -> task<> {
                  const auto result = co_await self.m_gate.acquire(
                      its_rank, milliseconds(4000));
                  self.m_order += result.m_admitted ? its_name : '-';
              }(*this, rank, name));
        run_until(
            m_io,
            [&, before = m_gate.waiting()] {
                return m_gate.waiting() != before;
            },
            milliseconds(50));
    }

    asio::io_context m_io{1};
    system_clock m_time;
    admission_queue m_gate;
    std::string m_order;
};

} // namespace

TEST_CASE("without a limit everybody is let in at once", "[engine_gate]")
{
    asio::io_context io{1};
    system_clock time;
    admission_queue gate(io, time);
    for (int i = 0; i < 100; ++i)
    {
        const auto result =
            run_task(io, gate.acquire(call_rank::late, milliseconds(0)));
        CHECK((result.has_value() && result->m_admitted));
    }
    CHECK(gate.waiting() == 0);
}

TEST_CASE("programs under way go first, late ones last", "[engine_gate]")
{
    full_gate gate;
    gate.wait_in_line(call_rank::late, 'd');
    gate.wait_in_line(call_rank::first, 'b');
    gate.wait_in_line(call_rank::first, 'c');
    gate.wait_in_line(call_rank::under_way, 'a');
    REQUIRE(gate.m_gate.waiting() == 4);
    for (std::size_t served = 1; served <= 4; ++served)
    {
        gate.m_gate.release();
        CHECK(run_until(gate.m_io,
                        [&] { return gate.m_order.size() == served; }));
    }
    CHECK(gate.m_order == "abcd");
}

TEST_CASE("who cannot be served in time is not held", "[engine_gate]")
{
    full_gate gate;
    const auto asked = gate.m_time.now();
    CHECK_FALSE(gate.enter(call_rank::first, milliseconds(30)));
    CHECK(gate.m_time.now() - asked >= milliseconds(30));
    CHECK(gate.m_gate.waiting() == 0);
    // Two are let in 60 ms apart, four wait: the next would wait for long.
    for (const char name : {'a', 'b', 'c', 'd', 'e', 'f'})
        gate.wait_in_line(call_rank::first, name);
    for (std::size_t served = 1; served <= 2; ++served)
    {
        const auto until = gate.m_time.now() + milliseconds(60);
        run_until(gate.m_io, [&] { return gate.m_time.now() >= until; });
        gate.m_gate.release();
        CHECK(run_until(gate.m_io,
                        [&] { return gate.m_order.size() == served; }));
    }
    const auto result = run_task(
        gate.m_io, gate.m_gate.acquire(call_rank::first, milliseconds(100)));
    REQUIRE(result.has_value());
    CHECK_FALSE(result->m_admitted);
    CHECK(result->m_expected_wait > milliseconds(100));
    CHECK(gate.m_gate.waiting() == 4);
}
