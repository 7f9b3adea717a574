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
    first.set(held_kind::request, 100);
    first.set_workspace("a");
    first.add(held_kind::answer, 50);
    {
        held_account second(book);
        second.set_workspace("b");
        second.set(held_kind::chain, 30);
        second.set(held_kind::chain, 40);
        second.give_back(held_kind::chain, 10);
        CHECK(second.total() == 30);
        CHECK(book->total() == 180);
        CHECK(book->of_workspace("a") == 150);
        CHECK(book->of_workspace("b") == 30);
        CHECK(book->of_kind(held_kind::chain) == 30);
        second.give_back(held_kind::chain, 1000);
        CHECK(second.total() == 0);
        second.set(held_kind::unread, 7);
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
        account.set(held_kind::answer, bytes);
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
    account.set(held_kind::unread, 10);
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
