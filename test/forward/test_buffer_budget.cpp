// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/buffer_budget.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("buffered bytes are summed by kind, workspace and VM", "[readers]")
{
    const auto budget = std::make_shared<buffer_budget>(1000);
    buffer_account first(budget);
    CHECK(first.set(buffer_kind::request, 100));
    first.set_workspace("a");
    CHECK(first.add(buffer_kind::response, 50));
    {
        buffer_account second(budget);
        second.set_workspace("b");
        CHECK(second.set(buffer_kind::history, 30));
        CHECK(second.set(buffer_kind::history, 40));
        second.release(buffer_kind::history, 10);
        CHECK(second.total() == 30);
        CHECK(budget->total() == 180);
        CHECK(budget->workspace_bytes("a") == 150);
        CHECK(budget->workspace_bytes("b") == 30);
        CHECK(budget->kind_bytes(buffer_kind::history) == 30);
        second.release(buffer_kind::history, 1000);
        CHECK(second.total() == 0);
        CHECK(second.set(buffer_kind::undelivered, 7));
    }
    CHECK(budget->workspace_bytes("b") == 0);
    CHECK(budget->kind_bytes(buffer_kind::undelivered) == 0);
    CHECK(budget->total() == 150);
    CHECK(budget->peak() == 190);
}

TEST_CASE("each level change is reported once", "[readers]")
{
    const auto budget = std::make_shared<buffer_budget>(1000);
    std::vector<pressure_level> reported;
    budget->on_level([&](pressure_level level) { reported.push_back(level); });
    buffer_account account(budget);
    for (const std::uint64_t bytes : {100, 510, 520, 460, 820, 810, 0})
        CHECK(account.set(buffer_kind::response, bytes));
    CHECK(reported == std::vector<pressure_level>{pressure_level::pausing,
                                                  pressure_level::cutting,
                                                  pressure_level::calm});
}

TEST_CASE("only callers with unread data can be disconnected", "[readers]")
{
    const auto budget = std::make_shared<buffer_budget>(1000);
    const instant start{};
    int disconnects = 0;
    buffer_account account(budget);
    account.disconnect();
    CHECK(disconnects == 0);
    CHECK(account.set(buffer_kind::undelivered, 10));
    account.begin_reader_wait(start, [&] { ++disconnects; });
    account.record_read(4, start + milliseconds(500));
    CHECK(account.unread(start + milliseconds(3000)) ==
          unread_response{10, 4, milliseconds(3000), milliseconds(2500)});
    CHECK(budget->waiting_accounts().contains(&account));
    account.disconnect();
    CHECK(disconnects == 1);
    account.end_reader_wait(start + milliseconds(3000));
    CHECK(budget->waiting_accounts().empty());
    CHECK(budget->slow_readers() == 1);
    CHECK(budget->disconnected_readers() == 1);
    // It stalled, then read the rest at once.
    account.begin_reader_wait(start, [&] { ++disconnects; });
    account.record_read(100000, start + milliseconds(2000));
    account.end_reader_wait(start + milliseconds(2010));
    CHECK(budget->slow_readers() == 2);
    // A wait of a length usual for a caller.
    account.begin_reader_wait(start, [&] { ++disconnects; });
    account.end_reader_wait(start + milliseconds(30));
    CHECK(budget->slow_readers() == 2);
}

TEST_CASE("blocked responses proceed in the order of their requests",
          "[readers]")
{
    const auto budget = std::make_shared<buffer_budget>(1000);
    buffer_account second(budget);
    CHECK(budget->first_blocked() == nullptr);
    {
        buffer_account third(budget);
        third.mark_blocked();
        CHECK(budget->first_blocked() == &third);
        second.mark_blocked();
        second.mark_blocked();
        CHECK(budget->first_blocked() == &second);
        second.clear_blocked();
        CHECK(budget->first_blocked() == &third);
    }
    CHECK(budget->first_blocked() == nullptr);
}

TEST_CASE("a refused reservation changes nothing", "[readers]")
{
    struct row
    {
        const char* m_what;
        buffer_kind m_kind;
        std::uint64_t m_before;
        std::uint64_t m_more;
        bool m_given;
    };
    // Of 1000 bytes, 950 are for new work and the rest only for delivery.
    const auto row = GENERATE(values<struct row>({
        {"work up to its share", buffer_kind::response, 900, 50, true},
        {"work beyond it", buffer_kind::response, 900, 51, false},
        {"a body beyond it", buffer_kind::request, 950, 1, false},
        {"delivery up to the bound", buffer_kind::undelivered, 950, 50, true},
        {"delivery beyond it", buffer_kind::undelivered, 950, 51, false},
    }));
    INFO(row.m_what);
    const bool reserves = GENERATE(false, true);
    const auto budget = std::make_shared<buffer_budget>(1000);
    std::uint64_t refused = 0;
    budget->on_refused(
        [&](buffer_kind, std::uint64_t bytes) { refused += bytes; });
    buffer_account first(budget);
    buffer_account second(budget);
    // To other accounts, reserved bytes count like buffered ones.
    CHECK((reserves ? first.reserve(buffer_kind::request, row.m_before)
                    : first.set(buffer_kind::request, row.m_before)));
    CHECK(second.add(row.m_kind, row.m_more) == row.m_given);
    CHECK(second.total() == (row.m_given ? row.m_more : 0));
    CHECK(refused == (row.m_given ? 0 : row.m_more));
    CHECK(budget->committed() == row.m_before + second.total());
    CHECK(budget->peak() <= budget->bound());
}

TEST_CASE("reserved bytes are buffered without another check", "[readers]")
{
    const auto budget = std::make_shared<buffer_budget>(1000);
    buffer_account first(budget);
    buffer_account second(budget);
    CHECK(first.reserve(buffer_kind::response, 300));
    CHECK(first.reserve(buffer_kind::receive_buffer, 200));
    CHECK(budget->total() == 0);
    CHECK(second.set(buffer_kind::request, 450));
    CHECK_FALSE(second.add(buffer_kind::request, 1));
    CHECK(first.add(buffer_kind::response, 300));
    first.use_reservation(buffer_kind::receive_buffer);
    CHECK(budget->total() == 950);
    first.release(buffer_kind::receive_buffer, 200);
    CHECK_FALSE(second.add(buffer_kind::request, 1));
    first.end_reservation(buffer_kind::receive_buffer);
    CHECK(second.add(buffer_kind::request, 200));
    // A response longer than its reservation must reserve more.
    CHECK_FALSE(first.reserve_more(buffer_kind::response, 1));
    second.release(buffer_kind::request, 650);
    CHECK(first.reserve_more(buffer_kind::response, 500));
    CHECK(budget->committed() == 800);
    CHECK(budget->total() == 300);
    first.set_workspace("a");
    CHECK(budget->workspace_bytes("a") == 300);
    CHECK(budget->workspace_bytes("") == 0);
}
