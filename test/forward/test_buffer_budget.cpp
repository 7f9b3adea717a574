// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/buffer_budget.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("held bytes are summed by kind, workspace and VM", "[readers]")
{
    const auto book = std::make_shared<buffer_budget>(1000);
    buffer_account first(book);
    CHECK(first.set(buffer_kind::request, 100));
    first.set_workspace("a");
    CHECK(first.add(buffer_kind::response, 50));
    {
        buffer_account second(book);
        second.set_workspace("b");
        CHECK(second.set(buffer_kind::history, 30));
        CHECK(second.set(buffer_kind::history, 40));
        second.release(buffer_kind::history, 10);
        CHECK(second.total() == 30);
        CHECK(book->total() == 180);
        CHECK(book->workspace_bytes("a") == 150);
        CHECK(book->workspace_bytes("b") == 30);
        CHECK(book->kind_bytes(buffer_kind::history) == 30);
        second.release(buffer_kind::history, 1000);
        CHECK(second.total() == 0);
        CHECK(second.set(buffer_kind::undelivered, 7));
    }
    CHECK(book->workspace_bytes("b") == 0);
    CHECK(book->kind_bytes(buffer_kind::undelivered) == 0);
    CHECK(book->total() == 150);
    CHECK(book->peak() == 190);
}

TEST_CASE("levels are told once each", "[readers]")
{
    const auto book = std::make_shared<buffer_budget>(1000);
    std::vector<pressure_level> told;
    book->on_level([&](pressure_level level) { told.push_back(level); });
    buffer_account account(book);
    for (const std::uint64_t bytes : {100, 510, 520, 460, 820, 810, 0})
        CHECK(account.set(buffer_kind::response, bytes));
    CHECK(told == std::vector<pressure_level>{pressure_level::pausing,
                                              pressure_level::cutting,
                                              pressure_level::calm});
}

TEST_CASE("only callers that leave something unread can be cut", "[readers]")
{
    const auto book = std::make_shared<buffer_budget>(1000);
    const instant start{};
    int cuts = 0;
    buffer_account account(book);
    account.disconnect();
    CHECK(cuts == 0);
    CHECK(account.set(buffer_kind::undelivered, 10));
    account.begin_reader_wait(start, [&] { ++cuts; });
    account.record_read(4, start + milliseconds(500));
    CHECK(account.unread(start + milliseconds(3000)) ==
          unread_response{10, 4, milliseconds(3000), milliseconds(2500)});
    CHECK(book->waiting_accounts().contains(&account));
    account.disconnect();
    CHECK(cuts == 1);
    account.end_reader_wait(start + milliseconds(3000));
    CHECK(book->waiting_accounts().empty());
    CHECK(book->slow_readers() == 1);
    CHECK(book->disconnected_readers() == 1);
    // It stopped, then took the rest at once.
    account.begin_reader_wait(start, [&] { ++cuts; });
    account.record_read(100000, start + milliseconds(2000));
    account.end_reader_wait(start + milliseconds(2010));
    CHECK(book->slow_readers() == 2);
    // A wait that a usual caller causes.
    account.begin_reader_wait(start, [&] { ++cuts; });
    account.end_reader_wait(start + milliseconds(30));
    CHECK(book->slow_readers() == 2);
}

TEST_CASE("answers are gathered in the order of their requests", "[readers]")
{
    const auto book = std::make_shared<buffer_budget>(1000);
    buffer_account second(book);
    CHECK(book->first_blocked() == nullptr);
    {
        buffer_account third(book);
        third.mark_blocked();
        CHECK(book->first_blocked() == &third);
        second.mark_blocked();
        second.mark_blocked();
        CHECK(book->first_blocked() == &second);
        second.clear_blocked();
        CHECK(book->first_blocked() == &third);
    }
    CHECK(book->first_blocked() == nullptr);
}

TEST_CASE("room that is refused changes nothing", "[readers]")
{
    struct row
    {
        const char* m_what;
        buffer_kind m_kind;
        std::uint64_t m_before;
        std::uint64_t m_more;
        bool m_given;
    };
    // Of 1000 bytes, 950 are for work and the rest for delivery alone.
    const auto row = GENERATE(values<struct row>({
        {"work up to its share", buffer_kind::response, 900, 50, true},
        {"work beyond it", buffer_kind::response, 900, 51, false},
        {"a body beyond it", buffer_kind::request, 950, 1, false},
        {"delivery up to the bound", buffer_kind::undelivered, 950, 50, true},
        {"delivery beyond it", buffer_kind::undelivered, 950, 51, false},
    }));
    INFO(row.m_what);
    const bool reserves = GENERATE(false, true);
    const auto book = std::make_shared<buffer_budget>(1000);
    std::uint64_t refused = 0;
    book->on_refused(
        [&](buffer_kind, std::uint64_t bytes) { refused += bytes; });
    buffer_account first(book);
    buffer_account second(book);
    // Reserved room is as good as held room to everyone else.
    CHECK((reserves ? first.reserve(buffer_kind::request, row.m_before)
                    : first.set(buffer_kind::request, row.m_before)));
    CHECK(second.add(row.m_kind, row.m_more) == row.m_given);
    CHECK(second.total() == (row.m_given ? row.m_more : 0));
    CHECK(refused == (row.m_given ? 0 : row.m_more));
    CHECK(book->committed() == row.m_before + second.total());
    CHECK(book->peak() <= book->bound());
}

TEST_CASE("what is reserved is held without asking again", "[readers]")
{
    const auto book = std::make_shared<buffer_budget>(1000);
    buffer_account first(book);
    buffer_account second(book);
    CHECK(first.reserve(buffer_kind::response, 300));
    CHECK(first.reserve(buffer_kind::receive_buffer, 200));
    CHECK(book->total() == 0);
    CHECK(second.set(buffer_kind::request, 450));
    CHECK_FALSE(second.add(buffer_kind::request, 1));
    CHECK(first.add(buffer_kind::response, 300));
    first.use_reservation(buffer_kind::receive_buffer);
    CHECK(book->total() == 950);
    first.release(buffer_kind::receive_buffer, 200);
    CHECK_FALSE(second.add(buffer_kind::request, 1));
    first.end_reservation(buffer_kind::receive_buffer);
    CHECK(second.add(buffer_kind::request, 200));
    // An answer that goes on beyond what was reserved asks for it.
    CHECK_FALSE(first.reserve_more(buffer_kind::response, 1));
    second.release(buffer_kind::request, 650);
    CHECK(first.reserve_more(buffer_kind::response, 500));
    CHECK(book->committed() == 800);
    CHECK(book->total() == 300);
    first.set_workspace("a");
    CHECK(book->workspace_bytes("a") == 300);
    CHECK(book->workspace_bytes("") == 0);
}
