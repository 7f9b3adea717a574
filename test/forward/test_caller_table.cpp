// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/caller_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;

constexpr std::uint64_t kilobyte = 1U << 10U;

/// A connection as the table knows it.
struct caller
{
    std::unique_ptr<caller_slot> m_slot;
    std::shared_ptr<buffer_account> m_account;
    bool m_closed = false;
    bool m_given_up = false;
};

class table_fixture
{
public:
    explicit table_fixture(std::uint64_t intake = 1000 * kilobyte)
    {
        m_budget->set_intake_bound(intake);
    }

    /// Null: it was not taken.
    caller* connect(const std::string& address = {})
    {
        auto slot = m_table.admit(address);
        if (!slot)
            return nullptr;
        m_callers.push_back(std::make_unique<caller>());
        auto& added = *m_callers.back();
        added.m_slot = std::move(slot);
        added.m_slot->set_actions(
            {[&added] { added.m_closed = true; },
             [&added] {
                 added.m_given_up = true;
                 (void)added.m_account->set(buffer_kind::head, 0);
                 (void)added.m_account->set(buffer_kind::request, 0);
             }});
        return &added;
    }
    /// Begins a request that holds \p bytes; false: there is no room.
    bool receive(caller& each, std::uint64_t bytes)
    {
        each.m_account = std::make_shared<buffer_account>(m_budget);
        each.m_slot->enter(caller_phase::receiving, each.m_account);
        return m_table.make_room(*each.m_slot, buffer_kind::head, bytes) &&
               each.m_account->set(buffer_kind::head, bytes);
    }

    manual_clock m_time;
    std::shared_ptr<buffer_budget> m_budget =
        std::make_shared<buffer_budget>(1000 * kilobyte);
    caller_table m_table{m_time, m_budget};
    std::vector<std::unique_ptr<caller>> m_callers;
};

TEST_CASE("a new connection has one closed that is of no use", "[connections]")
{
    table_fixture all;
    all.m_table.set_limits(5, 0);
    auto* serving = all.connect();
    serving->m_slot->enter(caller_phase::serving, nullptr);
    auto* resting = all.connect();
    resting->m_slot->enter(caller_phase::resting, nullptr);
    auto* receiving = all.connect();
    CHECK(all.receive(*receiving, 10));
    auto* first_silent = all.connect();
    auto* second_silent = all.connect();
    CHECK(all.m_table.size() == 5);
    const std::vector<caller*> order{first_silent, second_silent};
    for (auto* each : order)
    {
        CHECK_FALSE(each->m_closed);
        auto* added = all.connect();
        REQUIRE(added != nullptr);
        added->m_slot->enter(caller_phase::serving, nullptr);
        CHECK(each->m_closed);
    }
    for (auto* each : {resting, receiving})
    {
        CHECK_FALSE(each->m_closed);
        auto* added = all.connect();
        REQUIRE(added != nullptr);
        added->m_slot->enter(caller_phase::serving, nullptr);
        CHECK(each->m_closed);
    }
    CHECK(all.connect() == nullptr);
    CHECK_FALSE(serving->m_closed);
    CHECK(all.m_table.size() == 5);
}

TEST_CASE("an address has its share of connections", "[connections]")
{
    table_fixture all;
    all.m_table.set_limits(10, 2);
    CHECK(all.connect("a") != nullptr);
    auto* second = all.connect("a");
    CHECK(all.connect("a") == nullptr);
    CHECK(all.connect("b") != nullptr);
    second->m_slot->enter(caller_phase::serving, nullptr);
    CHECK(all.connect("a") == nullptr);
    second->m_slot.reset();
    CHECK(all.connect("a") != nullptr);
}

TEST_CASE("a request finds room though others are held", "[connections]")
{
    constexpr std::uint64_t intake = 1000 * kilobyte;
    table_fixture all(intake);
    std::size_t held = 0;
    while (all.m_budget->intake() + 50 * kilobyte < intake)
    {
        auto* each = all.connect();
        CHECK(all.receive(*each, 40 * kilobyte));
        all.m_time.advance(milliseconds(10));
        ++held;
    }
    CHECK(held > 10);
    auto* served = all.m_callers[3].get();
    served->m_slot->enter(caller_phase::serving, nullptr);
    auto* small = all.connect();
    CHECK(all.receive(*small, 60 * kilobyte));
    CHECK_FALSE(small->m_given_up);
    CHECK_FALSE(served->m_given_up);
    // The first ones hold as much as the others, for longer.
    CHECK(all.m_callers[0]->m_given_up);
    CHECK(all.m_budget->intake() <= intake);
}

TEST_CASE("the request that holds most gives way itself", "[connections]")
{
    table_fixture all(100 * kilobyte);
    auto* one = all.connect();
    CHECK(all.receive(*one, 10 * kilobyte));
    auto* large = all.connect();
    CHECK_FALSE(all.receive(*large, 200 * kilobyte));
    CHECK(all.m_budget->intake() <= 100 * kilobyte);
}

TEST_CASE("a connection may outlive the table", "[connections]")
{
    std::unique_ptr<caller_slot> kept;
    {
        table_fixture all;
        auto* each = all.connect();
        kept = std::move(each->m_slot);
    }
    kept->enter(caller_phase::resting, nullptr);
    kept.reset();
    CHECK(kept == nullptr);
}

TEST_CASE("no order of connections passes the bounds", "[connections]")
{
    CHECK(rc::check([] {
        constexpr std::size_t limit = 20;
        constexpr std::uint64_t intake = 300 * kilobyte;
        table_fixture all(intake);
        all.m_table.set_limits(limit, 0);
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::arbitrary<std::uint32_t>());
        for (const auto step : steps)
        {
            all.m_time.advance(milliseconds(step % 7));
            std::erase_if(all.m_callers,
                          [](const auto& each) { return each->m_closed; });
            const auto count = all.m_callers.size();
            auto* chosen =
                count == 0 ? nullptr : all.m_callers[step % count].get();
            switch ((step >> 8U) % 5)
            {
            case 0:
            case 1:
                (void)all.connect();
                break;
            case 2:
                if (chosen != nullptr && !chosen->m_given_up)
                    (void)all.receive(*chosen, step % 50000);
                break;
            case 3:
                if (chosen != nullptr)
                    chosen->m_slot->enter(step % 2 == 0 ? caller_phase::serving
                                                        : caller_phase::resting,
                                          nullptr);
                break;
            default:
                if (count > 0)
                    all.m_callers.erase(
                        all.m_callers.begin() +
                        static_cast<std::ptrdiff_t>(step % count));
            }
            RC_ASSERT(all.m_table.size() <= limit);
            RC_ASSERT(all.m_budget->intake() <= intake);
        }
        all.m_callers.clear();
        RC_ASSERT(all.m_table.size() == 0);
        RC_ASSERT(all.m_budget->intake() == 0);
    }));
}

} // namespace
