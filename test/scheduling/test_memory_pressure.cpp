// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/memory_pressure.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using level = pressure_level;

constexpr std::uint64_t megabyte = 1U << 20U;

} // namespace

TEST_CASE("the buffer limit leaves memory for the process", "[readers]")
{
    struct sample
    {
        std::uint32_t m_memory_mb;
        std::uint64_t m_limit_mb;
    };
    const std::vector<sample> samples{{0, 32}, {1, 4},   {40, 4},
                                      {44, 4}, {88, 36}, {512, 354}};
    for (const auto& each : samples)
    {
        INFO(each.m_memory_mb);
        CHECK(buffer_limit(each.m_memory_mb) / megabyte == each.m_limit_mb);
    }
}

TEST_CASE("levels begin in order and end below where they began", "[readers]")
{
    struct sample
    {
        level m_now;
        std::uint64_t m_buffered_now;
        level m_next;
    };
    const std::vector<sample> samples{
        {level::calm, 0, level::calm},
        {level::calm, 499, level::calm},
        {level::calm, 500, level::pausing},
        {level::calm, 700, level::cutting},
        {level::calm, 5000, level::cutting},
        {level::pausing, 460, level::pausing},
        {level::pausing, 449, level::calm},
        {level::pausing, 590, level::pausing},
        {level::pausing, 600, level::refusing},
        {level::refusing, 550, level::refusing},
        {level::refusing, 539, level::pausing},
        {level::cutting, 631, level::cutting},
        {level::cutting, 629, level::refusing},
        {level::cutting, 0, level::calm},
    };
    for (const auto& each : samples)
    {
        INFO(to_string(each.m_now) << ' ' << each.m_buffered_now);
        CHECK(next_level(each.m_now, each.m_buffered_now, 1000) == each.m_next);
    }
}

TEST_CASE("large bodies are refused before readers are disconnected",
          "[readers]")
{
    const auto limit = 36 * megabyte;
    CHECK(may_read_body(level::cutting, limit, limit, 20000));
    CHECK(may_read_body(level::calm, 0, limit, megabyte));
    CHECK(may_read_body(level::pausing, limit / 2, limit, megabyte));
    CHECK_FALSE(may_read_body(level::refusing, limit / 2, limit, megabyte));
    CHECK_FALSE(may_read_body(level::calm, 0, limit, limit + 1));
    CHECK_FALSE(may_read_body(level::calm, limit / 3, limit, limit));
}

TEST_CASE("which callers are slow readers", "[readers]")
{
    struct sample
    {
        unread_response m_response;
        bool m_slow;
    };
    const std::vector<sample> samples{
        {{1000, 0, milliseconds(0)}, false},
        {{1000, 0, milliseconds(1400)}, false},
        {{1000, 0, milliseconds(1500)}, true},
        {{1000, 10, milliseconds(10000)}, true},
        // A poor link still reads at this rate.
        {{1U << 20U, 10000, milliseconds(2000)}, false},
        {{1U << 20U, 200000, milliseconds(30000)}, false},
        // It has stopped, however fast it was before.
        {{1U << 20U, 200000, milliseconds(30000), milliseconds(1499)}, false},
        {{1U << 20U, 200000, milliseconds(30000), milliseconds(1500)}, true},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_response.m_consumed << " in "
                                        << each.m_response.m_waited.count());
        CHECK(is_slow_reader(each.m_response) == each.m_slow);
    }
}

TEST_CASE("the slowest readers are disconnected, as few as needed", "[readers]")
{
    const milliseconds while_waited{4000};
    const std::vector<unread_response> responses{
        {100, 8000, while_waited},    // slow
        {100, 0, while_waited},       // stopped
        {100, 1000000, while_waited}, // as usual
        {300, 0, while_waited},       // stopped, holds more
        {100, 4000, while_waited},    // slower
        {100, 0, milliseconds(100)},  // too early to tell
    };
    struct sample
    {
        std::uint64_t m_buffered_now;
        std::vector<std::size_t> m_aborted;
    };
    const std::vector<sample> samples{
        {0, {}},
        {450, {}},
        {451, {3}},
        {750, {3}},
        {751, {3, 1}},
        {900, {3, 1, 4}},
        {1000, {3, 1, 4, 0}},
        {9999, {3, 1, 4, 0}},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_buffered_now);
        CHECK(choose_aborts(responses, each.m_buffered_now, 1000) ==
              each.m_aborted);
    }
}

TEST_CASE("the last of the memory is for usual requests, then for delivery",
          "[readers]")
{
    struct sample
    {
        const char* m_what;
        level m_level;
        std::uint64_t m_committed;
        bool m_first;
        bool m_continues;
    };
    // The next piece has 10 bytes; the limit is 1000.
    const std::vector<sample> samples{
        {"normal", level::calm, 0, false, true},
        {"up to where readers are disconnected", level::refusing, 690, false,
         true},
        {"memory is reserved, though little is buffered", level::calm, 691,
         false, false},
        {"while readers are disconnected", level::cutting, 640, false, false},
        {"the oldest response continues", level::cutting, 840, true, true},
        {"not into the memory for usual requests", level::cutting, 841, true,
         false},
    };
    for (const auto& each : samples)
    {
        INFO(each.m_what);
        CHECK(may_buffer_more(each.m_level, each.m_committed, 1000, 10,
                              each.m_first) == each.m_continues);
    }
    CHECK(reservation_limit(memory_use::work, 1000) == 950);
    CHECK(reservation_limit(memory_use::delivery, 1000) == 1000);
}
