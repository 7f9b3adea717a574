// SPDX-License-Identifier: BSL-1.0
// Ages of the configuration that VMs know: a VM must never assume an age that
// is too small, however messages are delayed, VMs frozen or responses late.
#include "pepperturn/tenancy/freshness.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <vector>

namespace {

using namespace pepperturn;

/// One VM: the configuration that it knows, and its outstanding request.
struct vm_row
{
    std::uint64_t m_revision = 0;
    freshness_bound m_freshness;
    /// Offset of its steady clock.
    milliseconds m_offset{0};
    struct outstanding_request
    {
        std::size_t m_target = 0;
        instant m_sent_at{};
        /// Set once the request has been answered.
        std::optional<freshness_message> m_reply;
    };
    std::optional<outstanding_request> m_request;
};

/// The store and some VMs that send requests to it and to each other.
struct store_fixture
{
    explicit store_fixture(std::size_t vms) : m_vms(vms)
    {
        for (std::size_t i = 0; i < vms; ++i)
            m_vms[i].m_offset = milliseconds(1000 + 977 * i);
    }
    [[nodiscard]] instant now_at(const vm_row& vm) const
    {
        return m_now + vm.m_offset;
    }
    void change()
    {
        m_changed_at[++m_newest] = m_now;
    }
    /// The store's response is delivered \p response_delay after it was made.
    void read_store(vm_row& vm, milliseconds request_delay,
                    milliseconds response_delay)
    {
        const auto sent_at = now_at(vm);
        m_now += request_delay;
        const auto seen = m_newest;
        m_now += response_delay;
        vm.m_revision = std::max(vm.m_revision, seen);
        if (seen == vm.m_revision)
            vm.m_freshness.m_config_confirmed_at = sent_at;
    }
    /// Returns whether the VM's bound is correct: the next newer configuration
    /// must not be older than the bound.
    [[nodiscard]] bool is_sound(const vm_row& vm) const
    {
        if (vm.m_freshness.m_config_confirmed_at == instant{})
            return true;
        const auto next = m_changed_at.find(vm.m_revision + 1);
        return next == m_changed_at.end() ||
               vm.m_freshness.m_config_confirmed_at <=
                   next->second + vm.m_offset;
    }

    instant m_now{};
    std::uint64_t m_newest = 1;
    std::map<std::uint64_t, instant> m_changed_at;
    std::vector<vm_row> m_vms;
};

void send_reply(store_fixture& fixture, vm_row& from)
{
    auto& outstanding_request = *from.m_request;
    const auto& to = fixture.m_vms[outstanding_request.m_target];
    outstanding_request.m_reply =
        report_freshness(to.m_freshness, to.m_revision, fixture.now_at(to));
}

void receive(vm_row& vm, bool with_update, std::uint64_t revision)
{
    const auto reported = *vm.m_request->m_reply;
    if (with_update)
        vm.m_revision = std::max(vm.m_revision, revision);
    const auto derived = derive_freshness(reported, vm.m_request->m_sent_at,
                                          vm.m_revision, true);
    vm.m_freshness = newest(vm.m_freshness, derived);
    vm.m_request.reset();
}

} // namespace

TEST_CASE("ages are never reported or derived too small", "[tenancy]")
{
    const instant now = instant{} + milliseconds(9000);
    const freshness_bound bound{now - milliseconds(700), instant{}};
    const auto reported = report_freshness(bound, 8, now);
    CHECK(reported == freshness_message{8, 701, UINT32_MAX});
    const auto sent_at = instant{} + milliseconds(50000);
    CHECK(derive_freshness(reported, sent_at, 8, true).m_config_confirmed_at ==
          sent_at - milliseconds(701));
    // "Never confirmed" is preserved.
    CHECK(derive_freshness(reported, sent_at, 8, true).m_views_confirmed_at ==
          instant{});
    // This VM is behind: the reply is about a configuration that it does not
    // have.
    CHECK(derive_freshness(reported, sent_at, 7, true).m_config_confirmed_at ==
          instant{});
    CHECK(age_of(instant{}, now) == milliseconds::max());
    CHECK(age_of(now, now + milliseconds(3)) == milliseconds(3));
}

TEST_CASE("no history of late replies makes a bound too recent",
          "[tenancy][property]")
{
    CHECK(rc::check("answers", [] {
        store_fixture fixture(3);
        const auto steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i)
        {
            auto& vm = fixture.m_vms[*rc::gen::inRange<std::size_t>(0, 3)];
            const milliseconds span(*rc::gen::inRange(0, 1500));
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                fixture.change();
                break;
            case 1:
                fixture.read_store(vm, span,
                                   milliseconds(*rc::gen::inRange(0, 3000)));
                break;
            case 2:
                if (!vm.m_request)
                    vm.m_request = {*rc::gen::inRange<std::size_t>(0, 3),
                                    fixture.now_at(vm), std::nullopt};
                break;
            case 3:
                if (vm.m_request && !vm.m_request->m_reply)
                    send_reply(fixture, vm);
                break;
            case 4:
                if (vm.m_request && vm.m_request->m_reply)
                    receive(vm, *rc::gen::arbitrary<bool>(),
                            fixture.m_vms[vm.m_request->m_target].m_revision);
                break;
            }
            fixture.m_now += span;
            for (const auto& row : fixture.m_vms)
                RC_ASSERT(fixture.is_sound(row));
        }
    }));
}
