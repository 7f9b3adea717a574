// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/admission_queue.hpp"

#include "support/fleet/loop.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A queue whose limit is two calls, both in flight.
class full_queue
{
public:
    full_queue() : m_queue(m_io, m_time)
    {
        CHECK(acquire(call_rank::first, milliseconds(0)));
        CHECK(acquire(call_rank::first, milliseconds(0)));
        for (int i = 0; i < 20; ++i)
            m_queue.record_call("r", milliseconds(20), milliseconds(100));
        for (int i = 0; i < 50; ++i)
            m_queue.record_call("r", milliseconds(900), milliseconds(100));
        REQUIRE(m_queue.limit() == 2.0);
    }
    bool acquire(call_rank rank, milliseconds timeout)
    {
        const auto result = run_task(m_io, m_queue.acquire(rank, timeout));
        return result.has_value() && result->m_admitted;
    }
    void enqueue(call_rank rank, char name)
    {
        spawn(
            m_io, "wait",
            [](full_queue& self, call_rank its_rank, char its_name) -> task<> {
                const auto result =
                    co_await self.m_queue.acquire(its_rank, milliseconds(4000));
                self.m_order += result.m_admitted ? its_name : '-';
            }(*this, rank, name));
        run_until(
            m_io,
            [&, before = m_queue.waiting()] {
                return m_queue.waiting() != before;
            },
            milliseconds(50));
    }

    asio::io_context m_io{1};
    system_clock m_time;
    admission_queue m_queue;
    std::string m_order;
};

} // namespace

TEST_CASE("without a limit every call is admitted at once", "[engine_gate]")
{
    asio::io_context io{1};
    system_clock time;
    admission_queue queue(io, time);
    for (int i = 0; i < 100; ++i)
    {
        const auto result =
            run_task(io, queue.acquire(call_rank::late, milliseconds(0)));
        CHECK((result.has_value() && result->m_admitted));
    }
    CHECK(queue.waiting() == 0);
}

TEST_CASE("running programs are admitted first, late ones last",
          "[engine_gate]")
{
    full_queue queue;
    queue.enqueue(call_rank::late, 'd');
    queue.enqueue(call_rank::first, 'b');
    queue.enqueue(call_rank::first, 'c');
    queue.enqueue(call_rank::under_way, 'a');
    REQUIRE(queue.m_queue.waiting() == 4);
    for (std::size_t served = 1; served <= 4; ++served)
    {
        queue.m_queue.release();
        CHECK(run_until(queue.m_io,
                        [&] { return queue.m_order.size() == served; }));
    }
    CHECK(queue.m_order == "abcd");
}

TEST_CASE("a call that cannot be admitted in time is not queued",
          "[engine_gate]")
{
    full_queue queue;
    const auto started = queue.m_time.now();
    CHECK_FALSE(queue.acquire(call_rank::first, milliseconds(30)));
    CHECK(queue.m_time.now() - started >= milliseconds(30));
    CHECK(queue.m_queue.waiting() == 0);
    // Two are admitted 60 ms apart and four wait: the next would wait too long.
    for (const char name : {'a', 'b', 'c', 'd', 'e', 'f'})
        queue.enqueue(call_rank::first, name);
    for (std::size_t served = 1; served <= 2; ++served)
    {
        const auto deadline = queue.m_time.now() + milliseconds(60);
        run_until(queue.m_io, [&] { return queue.m_time.now() >= deadline; });
        queue.m_queue.release();
        CHECK(run_until(queue.m_io,
                        [&] { return queue.m_order.size() == served; }));
    }
    const auto result = run_task(
        queue.m_io, queue.m_queue.acquire(call_rank::first, milliseconds(100)));
    REQUIRE(result.has_value());
    CHECK_FALSE(result->m_admitted);
    CHECK(result->m_expected_wait > milliseconds(100));
    CHECK(queue.m_queue.waiting() == 4);
}
