// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/held_bytes.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

} // namespace

TEST_CASE("held bytes are summed by kind, workspace and VM", "[readers]")
{
    const auto book = std::make_shared<held_book>(1000);
    held_account first(book);
    CHECK(first.set(held_kind::request, 100));
    first.set_workspace("a");
    CHECK(first.add(held_kind::answer, 50));
    {
        held_account second(book);
        second.set_workspace("b");
        CHECK(second.set(held_kind::chain, 30));
        CHECK(second.set(held_kind::chain, 40));
        second.give_back(held_kind::chain, 10);
        CHECK(second.total() == 30);
        CHECK(book->total() == 180);
        CHECK(book->of_workspace("a") == 150);
        CHECK(book->of_workspace("b") == 30);
        CHECK(book->of_kind(held_kind::chain) == 30);
        second.give_back(held_kind::chain, 1000);
        CHECK(second.total() == 0);
        CHECK(second.set(held_kind::unread, 7));
    }
    CHECK(book->of_workspace("b") == 0);
    CHECK(book->of_kind(held_kind::unread) == 0);
    CHECK(book->total() == 150);
    CHECK(book->most() == 190);
}

TEST_CASE("levels are told once each", "[readers]")
{
    const auto book = std::make_shared<held_book>(1000);
    std::vector<pressure_level> told;
    book->on_level([&](pressure_level level) { told.push_back(level); });
    held_account account(book);
    for (const std::uint64_t bytes : {100, 510, 520, 460, 820, 810, 0})
        CHECK(account.set(held_kind::answer, bytes));
    CHECK(told == std::vector<pressure_level>{pressure_level::pausing,
                                              pressure_level::cutting,
                                              pressure_level::calm});
}

TEST_CASE("only callers that leave something unread can be cut", "[readers]")
{
    const auto book = std::make_shared<held_book>(1000);
    const instant start{};
    int cuts = 0;
    held_account account(book);
    account.cut();
    CHECK(cuts == 0);
    CHECK(account.set(held_kind::unread, 10));
    account.begin_wait(start, [&] { ++cuts; });
    account.note_taken(4, start + milliseconds(500));
    CHECK(account.unread(start + milliseconds(3000)) ==
          unread_answer{10, 4, milliseconds(3000), milliseconds(2500)});
    CHECK(book->waiting().contains(&account));
    account.cut();
    CHECK(cuts == 1);
    account.end_wait(start + milliseconds(3000));
    CHECK(book->waiting().empty());
    CHECK(book->slow_readers() == 1);
    CHECK(book->readers_cut() == 1);
    // It stopped, then took the rest at once.
    account.begin_wait(start, [&] { ++cuts; });
    account.note_taken(100000, start + milliseconds(2000));
    account.end_wait(start + milliseconds(2010));
    CHECK(book->slow_readers() == 2);
    // A wait that a usual caller causes.
    account.begin_wait(start, [&] { ++cuts; });
    account.end_wait(start + milliseconds(30));
    CHECK(book->slow_readers() == 2);
}

TEST_CASE("answers are gathered in the order of their requests", "[readers]")
{
    const auto book = std::make_shared<held_book>(1000);
    held_account second(book);
    CHECK(book->first_gathering() == nullptr);
    {
        held_account third(book);
        third.begin_gathering();
        CHECK(book->first_gathering() == &third);
        second.begin_gathering();
        second.begin_gathering();
        CHECK(book->first_gathering() == &second);
        second.end_gathering();
        CHECK(book->first_gathering() == &third);
    }
    CHECK(book->first_gathering() == nullptr);
}

TEST_CASE("room that is refused changes nothing", "[readers]")
{
    struct row
    {
        const char* m_what;
        held_kind m_kind;
        std::uint64_t m_before;
        std::uint64_t m_more;
        bool m_given;
    };
    // Of 1000 bytes, 950 are for work and the rest for delivery alone.
    const auto row = GENERATE(values<struct row>({
        {"work up to its share", held_kind::answer, 900, 50, true},
        {"work beyond it", held_kind::answer, 900, 51, false},
        {"a body beyond it", held_kind::request, 950, 1, false},
        {"delivery up to the bound", held_kind::unread, 950, 50, true},
        {"delivery beyond it", held_kind::unread, 950, 51, false},
    }));
    INFO(row.m_what);
    const bool reserves = GENERATE(false, true);
    const auto book = std::make_shared<held_book>(1000);
    std::uint64_t refused = 0;
    book->on_refused([&](held_kind, std::uint64_t bytes) { refused += bytes; });
    held_account first(book);
    held_account second(book);
    // Reserved room is as good as held room to everyone else.
    CHECK((reserves ? first.reserve(held_kind::request, row.m_before)
                    : first.set(held_kind::request, row.m_before)));
    CHECK(second.add(row.m_kind, row.m_more) == row.m_given);
    CHECK(second.total() == (row.m_given ? row.m_more : 0));
    CHECK(refused == (row.m_given ? 0 : row.m_more));
    CHECK(book->committed() == row.m_before + second.total());
    CHECK(book->most() <= book->bound());
}

TEST_CASE("what is reserved is held without asking again", "[readers]")
{
    const auto book = std::make_shared<held_book>(1000);
    held_account first(book);
    held_account second(book);
    CHECK(first.reserve(held_kind::answer, 300));
    CHECK(first.reserve(held_kind::incoming, 200));
    CHECK(book->total() == 0);
    CHECK(second.set(held_kind::request, 450));
    CHECK_FALSE(second.add(held_kind::request, 1));
    CHECK(first.add(held_kind::answer, 300));
    first.hold_reserved(held_kind::incoming);
    CHECK(book->total() == 950);
    first.give_back(held_kind::incoming, 200);
    CHECK_FALSE(second.add(held_kind::request, 1));
    first.end_reserve(held_kind::incoming);
    CHECK(second.add(held_kind::request, 200));
    // An answer that goes on beyond what was reserved asks for it.
    CHECK_FALSE(first.reserve_more(held_kind::answer, 1));
    second.give_back(held_kind::request, 650);
    CHECK(first.reserve_more(held_kind::answer, 500));
    CHECK(book->committed() == 800);
    CHECK(book->total() == 300);
    first.set_workspace("a");
    CHECK(book->of_workspace("a") == 300);
    CHECK(book->of_workspace("") == 0);
}
