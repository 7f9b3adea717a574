// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/dialing.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

/// Connects to a member that starts \p up_at after this VM and does not answer
/// before.
/// \returns how long after its start the member is reached
milliseconds time_to_connect(milliseconds up_at)
{
    milliseconds now{0};
    unsigned failures = 0;
    while (true)
    {
        // A packet sent to a VM without power is lost.
        if (now >= up_at)
            return now - up_at;
        const auto times = choose_dial_times({now, failures});
        now += times.m_timeout;
        ++failures;
        now += choose_dial_times({now, failures}).m_pause;
    }
}

} // namespace

TEST_CASE("members that start together connect quickly", "[dialing]")
{
    struct row
    {
        const char* m_what;
        milliseconds m_up_at;
        milliseconds m_within;
    };
    // A small part of the time within which service must be restored.
    const auto each = GENERATE(values<row>({
        {"shortly after", milliseconds(100), milliseconds(100)},
        {"tenths of a second later", milliseconds(450), milliseconds(100)},
        {"a second later", milliseconds(1001), milliseconds(100)},
        {"two seconds later", milliseconds(2003), milliseconds(100)},
        {"much later", milliseconds(60000), milliseconds(600)},
    }));
    INFO(each.m_what);
    CHECK(time_to_connect(each.m_up_at) <= each.m_within);
}

TEST_CASE("the retry interval grows for members that remain unreachable",
          "[dialing]")
{
    struct row
    {
        unsigned m_failures;
        milliseconds m_pause;
    };
    const auto each = GENERATE(values<row>({
        {0, milliseconds(50)},
        {1, milliseconds(50)},
        {2, milliseconds(100)},
        {4, milliseconds(400)},
        {1000000, milliseconds(400)},
    }));
    const milliseconds long_ago{10000};
    CHECK(choose_dial_times({long_ago, each.m_failures}) ==
          dial_times{each.m_pause, milliseconds(120)});
}
