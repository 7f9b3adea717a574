// SPDX-License-Identifier: BSL-1.0
// Ages of what VMs know of the store: a VM must never take it for
// younger than it is, whatever is held up, frozen or answered late.
#include "pepperturn/tenancy/freshness.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <vector>

namespace {

using namespace pepperturn;

/// One VM: what it knows of the store's configurations, and a question that
/// is under way.
struct vm_row
{
    std::uint64_t m_revision = 0;
    freshness_bound m_freshness;
    /// Offset of its steady clock.
    milliseconds m_offset{0};
    struct question
    {
        std::size_t m_of = 0;
        instant m_asked{};
        /// Set once it has been answered.
        std::optional<freshness_message> m_told;
    };
    std::optional<question> m_question;
};

/// The store and some VMs that ask it and each other.
struct world
{
    explicit world(std::size_t vms) : m_vms(vms)
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
    /// The answer of the store is held up for \p late after it was made.
    void read_store(vm_row& vm, milliseconds before, milliseconds late)
    {
        const auto asked = now_at(vm);
        m_now += before;
        const auto seen = m_newest;
        m_now += late;
        vm.m_revision = std::max(vm.m_revision, seen);
        if (seen == vm.m_revision)
            vm.m_freshness.m_config_confirmed_at = asked;
    }
    /// What this VM may believe is true: a configuration newer than its own
    /// is younger than its bound.
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

void answer(world& all, vm_row& from)
{
    auto& question = *from.m_question;
    const auto& to = all.m_vms[question.m_of];
    question.m_told =
        report_freshness(to.m_freshness, to.m_revision, all.now_at(to));
}

void receive(vm_row& vm, bool with_news, std::uint64_t revision)
{
    const auto told = *vm.m_question->m_told;
    if (with_news)
        vm.m_revision = std::max(vm.m_revision, revision);
    const auto heard =
        derive_freshness(told, vm.m_question->m_asked, vm.m_revision, true);
    vm.m_freshness = newest(vm.m_freshness, heard);
    vm.m_question.reset();
}

} // namespace

TEST_CASE("ages are told and taken on the old side", "[tenancy]")
{
    const instant now = instant{} + milliseconds(9000);
    const freshness_bound bound{now - milliseconds(700), instant{}};
    const auto told = report_freshness(bound, 8, now);
    CHECK(told == freshness_message{8, 701, UINT32_MAX});
    const auto asked = instant{} + milliseconds(50000);
    CHECK(derive_freshness(told, asked, 8, true).m_config_confirmed_at ==
          asked - milliseconds(701));
    // Never heard stays so.
    CHECK(derive_freshness(told, asked, 8, true).m_views_confirmed_at ==
          instant{});
    // This VM is behind: the answer is of a configuration that it lacks.
    CHECK(derive_freshness(told, asked, 7, true).m_config_confirmed_at ==
          instant{});
    CHECK(age_of(instant{}, now) == milliseconds::max());
    CHECK(age_of(now, now + milliseconds(3)) == milliseconds(3));
}

TEST_CASE("no history of late answers makes a bound too young",
          "[tenancy][property]")
{
    CHECK(rc::check("answers", [] {
        world all(3);
        const auto steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i)
        {
            auto& vm = all.m_vms[*rc::gen::inRange<std::size_t>(0, 3)];
            const milliseconds span(*rc::gen::inRange(0, 1500));
            switch (*rc::gen::inRange(0, 5))
            {
            case 0:
                all.change();
                break;
            case 1:
                all.read_store(vm, span,
                               milliseconds(*rc::gen::inRange(0, 3000)));
                break;
            case 2:
                if (!vm.m_question)
                    vm.m_question = {*rc::gen::inRange<std::size_t>(0, 3),
                                     all.now_at(vm), std::nullopt};
                break;
            case 3:
                if (vm.m_question && !vm.m_question->m_told)
                    answer(all, vm);
                break;
            case 4:
                if (vm.m_question && vm.m_question->m_told)
                    receive(vm, *rc::gen::arbitrary<bool>(),
                            all.m_vms[vm.m_question->m_of].m_revision);
                break;
            }
            all.m_now += span;
            for (const auto& row : all.m_vms)
                RC_ASSERT(all.is_sound(row));
        }
    }));
}
