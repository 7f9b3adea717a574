// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/event_reader.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using pepperturn::event_reader;

} // namespace

TEST_CASE("events are counted and their data is collected", "[event_reader]")
{
    struct sample
    {
        std::string m_bytes;
        std::uint32_t m_complete;
        std::uint32_t m_started;
        std::string m_data;
    };
    const auto each = GENERATE(values<sample>({
        {"", 0, 0, ""},
        {"id: 1\ndata: a\n\n", 1, 1, "a\n"},
        {"id: 1\r\ndata: a\r\n\r\n", 1, 1, "a\n"},
        {"data:a\n\ndata: b\n\n", 2, 2, "a\nb\n"},
        {"data: a\ndata: b\n\n", 1, 1, "a\nb\n"},
        {"data:  two blanks\n\n", 1, 1, " two blanks\n"},
        {"data:\n\n", 1, 1, "\n"},
        {"id: 1\n\n", 1, 1, ""},
        {"\n\n\n", 0, 0, ""},
        {"data: a\n\ndata: b", 1, 2, "a\n"},
        {"data: a\n\nid: 2\n", 1, 2, "a\n"},
        {"id: 1\rdata: a\r\rdata: b\r\r", 2, 2, "a\nb\n"},
        // Comments are no events: nobody pays for them.
        {": alive\n\ndata: a\n: alive\n\n: al", 1, 1, "a\n"},
    }));
    INFO(each.m_bytes);
    event_reader reader(true);
    reader.consume(each.m_bytes);
    CHECK(reader.complete_events() == each.m_complete);
    CHECK(reader.started_events() == each.m_started);
    CHECK(reader.data() == each.m_data);
}

TEST_CASE("the result does not depend on how the bytes are split",
          "[event_reader]")
{
    CHECK(rc::check("cuts", [](const std::string& bytes) {
        event_reader complete(true);
        complete.consume(bytes);
        event_reader pieces(true);
        for (const char c : bytes)
            pieces.consume(std::string_view(&c, 1));
        RC_ASSERT(complete.data() == pieces.data());
        RC_ASSERT(complete.complete_events() == pieces.complete_events());
    }));
}
