// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/member_silence.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr milliseconds fresh{100};
constexpr milliseconds retention{60000};
constexpr milliseconds very_long{120000};
constexpr milliseconds unchanged{40000};

member_contact heard(const std::string& name)
{
    return {name, false, true, fresh};
}

member_contact silent(const std::string& name, milliseconds since)
{
    return {name, false, false, since};
}

member_contact lost(const std::string& name, milliseconds since)
{
    return {name, true, false, since};
}

struct silence_row
{
    const char* m_what;
    std::vector<member_contact> m_contacts;
    silence_facts m_facts;
    silent_members m_expected;
};

const std::vector<silence_row> rows{
    {"all are heard",
     {heard("b"), heard("c")},
     {1, false, retention, very_long},
     {}},
    {"connected, and silent for three heartbeats",
     {{"b", false, true, milliseconds(1700)}, heard("c")},
     {1, false, retention, very_long},
     {{}, {}, {"b"}}},
    {"one is unresponsive",
     {silent("b", milliseconds(5100)), heard("c")},
     {1, false, retention, very_long},
     {{"b"}, {}, {"b"}}},
    {"an isolated VM takes nobody for unresponsive",
     {silent("b", milliseconds(5100)), silent("c", milliseconds(5100))},
     {1, true, retention, very_long},
     {{}, {}, {"b", "c"}}},
    {"one is gone once what it held has expired",
     {silent("b", retention + milliseconds(30100)), heard("c")},
     {1, false, retention, milliseconds(0)},
     {{"b"}, {"b"}, {"b"}}},
    {"before that it may return",
     {silent("b", retention + milliseconds(29900)), heard("c")},
     {1, false, retention, very_long},
     {{"b"}, {}, {"b"}}},
    {"nobody is gone while no retention is known",
     {silent("b", very_long), heard("c")},
     {1, false, std::nullopt, very_long},
     {{"b"}, {}, {"b"}}},
    {"an isolated VM presumes all others gone if nobody changes the view",
     {silent("b", very_long), silent("c", very_long)},
     {1, true, retention, unchanged},
     {{}, {"b", "c"}, {"b", "c"}}},
    {"others that change the view are alive",
     {silent("b", very_long), silent("c", very_long)},
     {1, true, retention, milliseconds(29000)},
     {{}, {}, {"b", "c"}}},
};

struct isolation_row
{
    const char* m_what;
    std::vector<member_contact> m_contacts;
    std::uint32_t m_disk_losses;
    bool m_expected;
};

const std::vector<isolation_row> isolation_rows{
    {"nobody is silent", {heard("b"), heard("c")}, 1, false},
    {"as many are silent as may be lost",
     {silent("b", very_long), heard("c")},
     1,
     false},
    {"one more is silent",
     {silent("b", very_long), silent("c", very_long)},
     1,
     true},
    {"lost members are expected to be silent",
     {lost("b", very_long), silent("c", very_long)},
     1,
     false},
    {"two may be lost",
     {silent("b", very_long), silent("c", very_long), heard("d")},
     2,
     false},
};

} // namespace

TEST_CASE("silent members are unreachable, then unresponsive, then gone",
          "[membership]")
{
    for (const auto& row : rows)
    {
        INFO(row.m_what);
        CHECK(judge_silence(row.m_contacts, row.m_facts) == row.m_expected);
    }
}

TEST_CASE("a VM that hears too few members treats itself as cut off",
          "[membership]")
{
    for (const auto& row : isolation_rows)
    {
        INFO(row.m_what);
        CHECK(is_isolated(row.m_contacts, row.m_disk_losses) == row.m_expected);
    }
}
