// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"

#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

/// The first entry that a VM creates: its takeover.
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
        for (const auto& each : core.tick())
        {
            if (std::holds_alternative<read_log>(each))
                core.handle(log_read_completed{0, log_image{}});
            if (const auto* create = std::get_if<create_entries>(&each))
                return create->m_entries.front();
        }
    }
    return std::nullopt;
}

} // namespace

// Two VMs configured with the same seed must not create equal nonces: each
// would treat the other's entry as its own, and both would own the partition.
TEST_CASE("entries of two VMs with one seed can be told apart", "[core]")
{
    const auto left = first_entry(1, 7);
    const auto right = first_entry(2, 7);
    REQUIRE(left);
    REQUIRE(right);
    CHECK(left->m_batch.m_nonce != right->m_batch.m_nonce);
}
