// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

/// The first entry that a VM would create: its takeover.
std::optional<create_entry> first_entry(std::uint64_t incarnation,
                                        std::uint64_t seed)
{
    manual_clock time;
    scheduler core("vm", incarnation, 1, time, seed);
    core.handle(deployment_changed{});
    core.handle(vms_listed{{{"vm", "", "", false}}, {}});
    for (int i = 0; i < 30; ++i)
    {
        time.advance(milliseconds(100));
        for (const auto& order : core.tick())
        {
            if (std::holds_alternative<read_log>(order))
                core.handle(log_read_completed{0, log_image{}});
            if (const auto* create = std::get_if<create_entries>(&order))
                return create->m_entries.front();
        }
    }
    return std::nullopt;
}

} // namespace

// With a seed set in the settings two VMs drew the same nonces, and each took
// the other's entry for its own: both owned the partition.
TEST_CASE("entries of two VMs with one seed can be told apart", "[core]")
{
    const auto left = first_entry(1, 7);
    const auto right = first_entry(2, 7);
    REQUIRE(left);
    REQUIRE(right);
    CHECK(left->m_batch.m_nonce != right->m_batch.m_nonce);
}
