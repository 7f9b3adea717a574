// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/start_hold.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("a VM that starts holds requests while they are of use",
          "[start_hold]")
{
    struct row
    {
        const char* m_what;
        startup_wait_conditions m_facts;
        milliseconds m_expected;
    };
    const auto each = GENERATE(values<row>({
        {"part of the caller's time is left for the answer",
         {milliseconds(0), milliseconds(1000)},
         milliseconds(750)},
        {"the patient are held no longer than a start takes",
         {milliseconds(0), milliseconds(30000)},
         milliseconds(2000)},
        {"the start is nearly over",
         {milliseconds(1900), milliseconds(1000)},
         milliseconds(100)},
        {"the VM started long ago",
         {milliseconds(60000), milliseconds(1000)},
         milliseconds(0)},
        {"the caller does not say how long it waits",
         {milliseconds(0), std::nullopt},
         milliseconds(750)},
        {"the caller has no time at all",
         {milliseconds(0), milliseconds(0)},
         milliseconds(0)},
    }));
    INFO(each.m_what);
    CHECK(startup_wait(each.m_facts) == each.m_expected);
}
