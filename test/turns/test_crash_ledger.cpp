// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/crash_ledger.hpp"

#include "pepperturn/cluster/suspects.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr std::uint64_t fingerprint = 7;

reservation row(const id_key& key, std::uint32_t weight)
{
    return {crash_ledger_key(fingerprint), key, weight, false};
}

struct count_row
{
    const char* m_name;
    std::vector<reservation> m_unsettled;
    std::uint64_t m_end_weight;
    std::uint64_t m_reserved_weight;
    std::uint32_t m_ends;
    bool m_may_end_another;
};

const id_key first{1, 1};
const id_key second{1, 2};
const id_key third{1, 3};

const std::vector<count_row> count_rows{
    {"nothing", {}, 0, 0, 0, true},
    {"an attempt", {row(first, certain_end_weight)}, 0, 2, 0, true},
    {"an end", {row(end_row_key(first), certain_end_weight)}, 2, 0, 1, true},
    {"a doubtful end",
     {row(end_row_key(first), doubtful_end_weight)},
     1,
     0,
     1,
     true},
    {"an end and two attempts",
     {row(end_row_key(first), certain_end_weight),
      row(second, certain_end_weight), row(third, certain_end_weight)},
     2,
     4,
     1,
     false},
    {"two ends and a doubtful one",
     {row(end_row_key(first), certain_end_weight),
      row(end_row_key(second), certain_end_weight),
      row(end_row_key(third), doubtful_end_weight)},
     5,
     0,
     3,
     false},
    {"three ends",
     {row(end_row_key(first), certain_end_weight),
      row(end_row_key(second), certain_end_weight),
      row(end_row_key(third), certain_end_weight)},
     6,
     0,
     3,
     false},
};

} // namespace

TEST_CASE("the rows of a crash ledger are counted by kind", "[crash_ledger]")
{
    for (const auto& each : count_rows)
    {
        INFO(each.m_name);
        const auto count = count_crashes(each.m_unsettled);
        CHECK(count.m_end_weight == each.m_end_weight);
        CHECK(count.m_reserved_weight == each.m_reserved_weight);
        CHECK(ends_of_weight(count.m_end_weight) == each.m_ends);
        CHECK(may_end_another(count.m_end_weight + count.m_reserved_weight) ==
              each.m_may_end_another);
    }
}

// One that has ended three runners is the last to be forgotten.
TEST_CASE("where more requests are suspected than are kept, those with the "
          "fewest ends give way",
          "[crash_ledger]")
{
    constexpr std::uint32_t kept_ms = 300000;
    suspect_table table;
    const instant now{};
    (void)table.merge({{1, max_runner_ends, kept_ms / 2}}, now);
    for (std::uint64_t i = 2; i < 2 * suspect_table::max_rows; ++i)
        (void)table.merge({{i, 1, kept_ms}}, now);
    CHECK(table.size() == suspect_table::max_rows);
    CHECK(table.ends(1, now) == max_runner_ends);
    // What the ledger tells replaces what was known, downwards too.
    table.set({1, 1, kept_ms}, now);
    CHECK(table.ends(1, now) == 1);
    table.set({1, 0, kept_ms}, now);
    CHECK(table.ends(1, now) == 0);
}
