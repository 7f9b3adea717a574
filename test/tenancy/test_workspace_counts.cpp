// SPDX-License-Identifier: BSL-1.0
// Metrics of workspaces: their number stays bounded.
#include "pepperturn/tenancy/workspace_counts.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

named_counts row_of(std::string name, unsigned asked)
{
    named_counts out{std::move(name), {}};
    for (unsigned i = 0; i < asked; ++i)
        out.m_counts.increment(workspace_event::asked);
    return out;
}

} // namespace

TEST_CASE("the busiest workspaces are named, the others are summed",
          "[tenancy]")
{
    std::vector<named_counts> rows;
    for (unsigned i = 0; i < max_named_workspaces + 20; ++i)
        rows.push_back(row_of("w" + std::to_string(i), i + 1));
    const auto text = text_of(rows);
    CHECK(std::count(text.begin(), text.end(), '\n') ==
          max_named_workspaces + 1);
    CHECK(text.find("workspace_w119_asked 120\n") == 0);
    CHECK(text.find("workspace_w19_asked") == std::string::npos);
    // 1 + 2 + ... + 20
    CHECK(text.find("workspace_other_asked 210\n") != std::string::npos);
}

TEST_CASE("names and counts are plain metrics", "[tenancy]")
{
    workspace_totals totals;
    totals.counts_of("a b\n\"c\"")
        .increment(workspace_event::refused_first_call);
    totals.counts_of("a b\n\"c\"").increment(workspace_event::waited);
    CHECK(totals.text() == "workspace_a_b__c__waited 1\n"
                           "workspace_a_b__c__refused_first_call 1\n");
    CHECK(workspace_totals{}.text().empty());
}

TEST_CASE("the number of names stays bounded", "[tenancy]")
{
    workspace_totals totals;
    constexpr int names = 10000;
    for (int i = 0; i < names; ++i)
        totals.counts_of("w" + std::to_string(i))
            .increment(workspace_event::asked);
    const auto text = totals.text();
    CHECK(std::count(text.begin(), text.end(), '\n') ==
          max_named_workspaces + 1);
    CHECK(text.find("workspace_other_asked 9900\n") != std::string::npos);
}
