// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/startup_wait.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("a starting VM keeps requests waiting while a response is of use",
          "[start_hold]")
{
    struct row
    {
        const char* m_what;
        startup_wait_conditions m_conditions;
        milliseconds m_expected;
    };
    const auto each = GENERATE(values<row>({
        {"part of the caller's timeout is left for the response",
         {milliseconds(0), milliseconds(1000)},
         milliseconds(750)},
        {"long timeouts wait no longer than a startup takes",
         {milliseconds(0), milliseconds(30000)},
         milliseconds(2000)},
        {"the startup is nearly over",
         {milliseconds(1900), milliseconds(1000)},
         milliseconds(100)},
        {"the VM started long ago",
         {milliseconds(60000), milliseconds(1000)},
         milliseconds(0)},
        {"the caller states no timeout",
         {milliseconds(0), std::nullopt},
         milliseconds(750)},
        {"the caller has no time left",
         {milliseconds(0), milliseconds(0)},
         milliseconds(0)},
    }));
    INFO(each.m_what);
    CHECK(startup_wait(each.m_conditions) == each.m_expected);
}
