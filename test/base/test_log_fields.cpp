// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/log_fields.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

TEST_CASE("a value in a log line reads back as one value", "[log_fields]")
{
    struct row
    {
        const char* m_value;
        const char* m_quoted;
    };
    const auto each = GENERATE(values<row>({
        {"plain", "plain"},
        {"", "\"\""},
        {"two words", "\"two words\""},
        {"a=b", "\"a=b\""},
        {"say \"no\"", "\"say 'no'\""},
        {"two\nlines", "\"two'lines\""},
    }));
    CHECK(quoted(each.m_value) == each.m_quoted);
}
