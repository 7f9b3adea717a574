// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/dialing.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

/// Dials a member that comes up at \p up_at after this VM, and says nothing
/// until then.
/// \returns how long after that it is met
milliseconds dial_until_met(milliseconds up_at)
{
    milliseconds now{0};
    unsigned failures = 0;
    while (true)
    {
        // A packet that is sent to a VM without power is lost.
        if (now >= up_at)
            return now - up_at;
        const auto times = choose_dial_times({now, failures});
        now += times.m_timeout;
        ++failures;
        now += choose_dial_times({now, failures}).m_pause;
    }
}

} // namespace

TEST_CASE("members that start together meet soon", "[dialing]")
{
    struct row
    {
        const char* m_what;
        milliseconds m_up_at;
        milliseconds m_within;
    };
    // A small part of the time in which service is to be back.
    const auto each = GENERATE(values<row>({
        {"a little later", milliseconds(100), milliseconds(100)},
        {"some tenths later", milliseconds(450), milliseconds(100)},
        {"a second later", milliseconds(1001), milliseconds(100)},
        {"two seconds later", milliseconds(2003), milliseconds(100)},
        {"much later", milliseconds(60000), milliseconds(600)},
    }));
    INFO(each.m_what);
    CHECK(dial_until_met(each.m_up_at) <= each.m_within);
}

TEST_CASE("members that stay away are dialled ever less often", "[dialing]")
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
