// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/connection_pressure.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

constexpr std::uint64_t megabyte = 1U << 20U;

} // namespace

TEST_CASE("callers leave a VM the descriptors that it needs itself",
          "[connections]")
{
    struct row
    {
        std::size_t m_descriptors;
        descriptor_shares m_shares;
    };
    const std::vector<row> rows{
        {0, {1, 1, 64}},
        {64, {1, 1, 64}},
        {300, {112, 113, 75}},
        {1024, {384, 384, 256}},
        {4100, {1538, 1538, 1024}},
        {8200, {3588, 3588, 1024}},
    };
    for (const auto& each : rows)
    {
        INFO(each.m_descriptors);
        CHECK(share_descriptors(each.m_descriptors) == each.m_shares);
    }
}

TEST_CASE("connections and heads leave a VM most of its memory",
          "[connections]")
{
    struct row
    {
        std::uint32_t m_memory_mb;
        std::uint64_t m_limit_mb;
    };
    for (const auto& each : std::vector<row>{
             {0, 24}, {20, 12}, {40, 24}, {64, 26}, {110, 31}, {512, 71}})
    {
        INFO(each.m_memory_mb);
        CHECK(intake_limit(each.m_memory_mb) / megabyte == each.m_limit_mb);
    }
}

TEST_CASE("the request that holds most for longest is given up first",
          "[connections]")
{
    struct row
    {
        std::vector<incomplete_request> m_requests;
        std::uint64_t m_bytes;
        std::vector<std::size_t> m_chosen;
    };
    const milliseconds soon{10};
    const milliseconds late{1000};
    const std::vector<row> rows{
        {{}, 1, {}},
        {{{100, soon}}, 0, {}},
        {{{100, soon}, {100, late}}, 1, {1}},
        {{{100, soon}, {200, soon}}, 1, {1}},
        // A large request that has just begun is no worse than a small one
        // that has been held for long.
        {{{10000, soon}, {1000, late}, {1, late}}, 1, {1}},
        {{{100, soon}, {100, late}, {50, late}}, 150, {1, 2}},
        {{{100, soon}, {100, late}}, 1000, {1, 0}},
        {{{100, soon}, {100, soon}}, 100, {0}},
    };
    for (const auto& each : rows)
        CHECK(choose_incomplete(each.m_requests, each.m_bytes) ==
              each.m_chosen);
}
