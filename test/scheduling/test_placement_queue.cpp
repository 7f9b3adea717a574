// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/placement_queue.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace pepperturn;

constexpr instant start{seconds(1000)};

queued_call make_entry(std::uint64_t call, std::uint64_t workspace,
                       call_rank rank = call_rank::first, double work_ms = 100)
{
    return {.m_call = call,
            .m_workspace = workspace,
            .m_rank = rank,
            .m_priority = 0,
            .m_enqueued = start + milliseconds(call),
            .m_deadline = start + milliseconds(1000 + call),
            .m_work_ms = work_ms};
}

std::vector<std::uint64_t> take_all(placement_queue& queue)
{
    std::vector<std::uint64_t> calls;
    while (const auto* next = next_queued(queue))
    {
        calls.push_back(next->m_call);
        dequeue_next(queue, start);
    }
    return calls;
}

} // namespace

TEST_CASE("order of calls within a workspace", "[places]")
{
    struct sample
    {
        std::string m_name;
        queued_call m_first;
        queued_call m_second;
    };
    const auto with_priority = [](queued_call entry, std::uint32_t priority) {
        entry.m_priority = priority;
        return entry;
    };
    const auto each = GENERATE_COPY(values<sample>({
        {"the earlier call", make_entry(1, 1), make_entry(2, 1)},
        {"a call of a program that has begun",
         make_entry(2, 1, call_rank::under_way), make_entry(1, 1)},
        {"a first call before a late one", make_entry(2, 1),
         make_entry(1, 1, call_rank::late)},
        {"the more urgent call", make_entry(2, 1),
         with_priority(make_entry(1, 1), 1)},
        {"rank before priority",
         with_priority(make_entry(2, 1, call_rank::under_way), 15),
         make_entry(1, 1)},
        {"a long wait before rank", make_entry(1, 1),
         make_entry(3000, 1, call_rank::under_way)},
    }));
    INFO(each.m_name);
    CHECK(precedes(each.m_first, each.m_second));
    CHECK_FALSE(precedes(each.m_second, each.m_first));
    placement_queue queue;
    enqueue_call(queue, each.m_second);
    enqueue_call(queue, each.m_first);
    CHECK(take_all(queue) == std::vector<std::uint64_t>{each.m_first.m_call,
                                                        each.m_second.m_call});
    CHECK(queue.m_size == 0);
}

TEST_CASE("workspaces get equal work per round, whatever they request",
          "[places]")
{
    placement_queue queue;
    // The first workspace queues many calls, the second calls of four times
    // the work, the third a few.
    std::uint64_t call = 0;
    std::map<std::uint64_t, std::uint64_t> workspaces;
    const auto add = [&](int count, std::uint64_t workspace, double work_ms) {
        for (int i = 0; i < count; ++i)
        {
            enqueue_call(queue, make_entry(++call, workspace, call_rank::first,
                                           work_ms));
            workspaces[call] = workspace;
        }
    };
    add(200, 1, 100);
    add(50, 2, 400);
    add(4, 3, 100);
    std::map<std::uint64_t, int> served;
    const auto order = take_all(queue);
    REQUIRE(order.size() == 254);
    for (std::size_t i = 0; i < 60; ++i)
        ++served[workspaces[order[i]]];
    CHECK(served[3] == 4);
    CHECK(served[1] >= 4 * served[2] - 8);
    CHECK(served[1] <= 4 * served[2] + 8);
}

TEST_CASE("expected wait of a new call", "[places]")
{
    placement_queue queue;
    for (std::uint64_t call = 1; call <= 50; ++call)
        enqueue_call(queue, make_entry(call, 1));
    const auto later = start + milliseconds(100);
    const auto wait = [&queue, later](std::uint64_t workspace, call_rank rank) {
        return expected_queue_wait(queue, make_entry(99, workspace, rank), 10,
                                   later);
    };
    // 50 calls of 100 ms at 10 slots.
    CHECK(wait(1, call_rank::first) >= 500);
    CHECK(wait(1, call_rank::under_way) == 0);
    CHECK(wait(1, call_rank::late) == 0);
    // Its round comes after one of the other workspace.
    CHECK(wait(2, call_rank::first) <= 20);
    CHECK(wait(2, call_rank::under_way) == 0);
}

TEST_CASE("calls leave the queue when removed or timed out", "[places]")
{
    placement_queue queue;
    for (std::uint64_t call = 1; call <= 5; ++call)
        enqueue_call(queue, make_entry(call, call % 2));
    CHECK(remove_queued(queue, 3));
    CHECK_FALSE(remove_queued(queue, 3));
    const auto expired = remove_expired(queue, start + milliseconds(1002));
    CHECK(expired.size() == 2);
    CHECK(queue.m_size == 2);
    CHECK(take_all(queue).size() == 2);
    CHECK(queue.m_workspaces.empty());
}

TEST_CASE("implausible work does not block the queue", "[places]")
{
    const double work = GENERATE(0.0, -5.0, 1e300, std::nan(""));
    placement_queue queue;
    enqueue_call(queue, make_entry(1, 1, call_rank::first, work));
    enqueue_call(queue, make_entry(2, 2));
    CHECK(take_all(queue).size() == 2);
}
