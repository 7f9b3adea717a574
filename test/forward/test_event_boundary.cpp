// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/event_boundary.hpp"

#include "pepperturn/forward/event_reader.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <string>

namespace {

using pepperturn::event_boundary;
using pepperturn::event_reader;

std::string any_events()
{
    return *rc::gen::container<std::string>(
        rc::gen::element('\n', '\r', ':', 'd'));
}

} // namespace

TEST_CASE("bytes up to the last point between two events are found",
          "[event_boundary]")
{
    struct sample
    {
        std::string m_ended;
        std::string m_rest;
        std::uint32_t m_complete;
        bool m_inside;
    };
    const auto each = GENERATE(values<sample>({
        {"", "", 0, false},
        {"data: a\n\n", "", 1, false},
        {"data: a\r\n\r\n", "", 1, false},
        {"data: a\r\r", "", 1, false},
        {"data: a\n\ndata: b\n\n", "", 2, false},
        {"data: a\n\n\n", "", 1, false},
        // Half of a line end that has two bytes elsewhere.
        {"", "data: a\r\n\r", 0, true},
        {"data: a\r\n\r\n", "data: b\r\n\r", 1, true},
        {"data: a\n\n", "d", 1, true},
        {"data: a\n\n", "data: b", 1, true},
        {"data: a\n\n", "data: b\n", 1, true},
        {"data: a\n\n", "data: b\r", 1, true},
        {"data: a\r\r", "data: b\r\n", 1, true},
        {"", "id: 1\n", 0, true},
        // A comment belongs to no event.
        {"data: a\n\n: alive\n", "", 1, false},
        {"data: a\n\n: alive\n\n", "", 1, false},
        {"data: a\n\n", ": ali", 1, true},
        {"data: a\n\n", "data: b\n: alive\n", 1, true},
        {"data: a\n: alive\n\n", "", 1, false},
    }));
    const auto bytes = each.m_ended + each.m_rest;
    INFO(bytes);
    event_boundary boundary;
    CHECK(boundary.consume(bytes) == each.m_ended.size());
    CHECK(boundary.complete_events() == each.m_complete);
    CHECK(boundary.inside_event() == each.m_inside);
}

TEST_CASE("boundaries do not depend on how the bytes are split",
          "[event_boundary]")
{
    CHECK(rc::check("cuts", [] {
        const auto bytes = any_events();
        event_boundary whole;
        const auto end = whole.consume(bytes);
        event_boundary pieces;
        std::size_t passed_on = 0;
        for (std::size_t at = 0; at < bytes.size(); ++at)
        {
            if (pieces.consume(std::string_view(&bytes[at], 1)) > 0)
                passed_on = at + 1;
        }
        RC_ASSERT(passed_on == end);
        RC_ASSERT(whole.complete_events() == pieces.complete_events());
        RC_ASSERT(whole.inside_event() == pieces.inside_event());
    }));
}

TEST_CASE("events are counted as their boundaries are", "[event_boundary]")
{
    CHECK(rc::check("counts", [] {
        const auto bytes = any_events();
        event_boundary boundary;
        (void)boundary.consume(bytes);
        event_reader reader(false);
        reader.consume(bytes);
        RC_ASSERT(reader.complete_events() == boundary.complete_events());
        // A comment that is cut off was no event that anybody pays for.
        if (reader.started_events() > reader.complete_events())
            RC_ASSERT(boundary.inside_event());
    }));
}
