// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/view.hpp"

#include <bit>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

member row(const std::string& name, member_state state)
{
    return {name, name + ":1", "zone", 7, state};
}

cluster_view view_of(std::vector<member_state> states)
{
    cluster_view view;
    view.m_epoch = 9;
    for (std::size_t i = 0; i < states.size(); ++i)
        view.m_members.push_back(row("m" + std::to_string(i), states[i]));
    return view;
}

constexpr auto joining = member_state::joining;
constexpr auto full = member_state::full;
constexpr auto leaving = member_state::leaving;
constexpr auto lost = member_state::lost;

std::uint32_t bits_of(const cluster_view& view, bool (*counts)(member_state))
{
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < view.m_members.size(); ++i)
    {
        if (counts(view.m_members[i].m_state))
            bits |= 1U << i;
    }
    return bits;
}

bool is_voter(member_state state)
{
    return takes_writes(state);
}

bool is_full(member_state state)
{
    return state == member_state::full;
}

/// All subsets of \p from with \p count members.
std::vector<std::uint32_t> subsets(std::uint32_t from, std::uint32_t count)
{
    std::vector<std::uint32_t> out;
    for (std::uint32_t set = 0; set <= from; ++set)
    {
        if ((set & ~from) == 0 &&
            static_cast<std::uint32_t>(std::popcount(set)) == count)
            out.push_back(set);
    }
    return out;
}

} // namespace

TEST_CASE("quorums by size and state", "[view]")
{
    struct sample
    {
        std::vector<member_state> m_states;
        std::uint32_t m_losses;
        quorum_sizes m_expected;
    };
    const auto each = GENERATE(values<sample>({
        {{full}, 1, {2, 1, 1}},
        {{full, joining}, 1, {2, 1, 1}},
        {{full, full}, 1, {2, 1, 1}},
        {{full, full, full}, 1, {2, 2, 2}},
        {{full, full, joining}, 1, {2, 2, 2}},
        {{full, full, full, full}, 1, {3, 2, 2}},
        {{full, full, full, joining}, 1, {3, 2, 2}},
        // The leaving member can be the second one that knows earlier writes.
        {{full, full, full, leaving}, 1, {2, 2, 2}},
        {{full, full, leaving}, 1, {2, 1, 2}},
        {{full, lost, leaving}, 1, {2, 1, 2}},
        {{full, full, full, full, full}, 2, {3, 3, 3}},
        {{full, full, full}, 2, {3, 1, 1}},
        {{full}, 0, {1, 1, 1}},
        // Too few voters for a write: the joining one does not count as a
        // source of copies.
        {{full, joining}, 2, {3, 1, 1}},
        {{full, full, joining}, 2, {3, 1, 1}},
        // One of the tolerated losses has happened: as many copies are still
        // needed, since the next disk to be lost may be one that holds them.
        {{full, lost}, 1, {2, 1, 1}},
        {{full, full, lost}, 1, {2, 2, 2}},
        {{full, joining, lost}, 1, {2, 2, 2}},
        {{full, full, full, lost}, 1, {2, 2, 2}},
        {{full, full, lost}, 2, {3, 2, 2}},
        {{full, lost, lost}, 2, {3, 1, 1}},
        {{full, full, full, lost}, 2, {3, 2, 2}},
        {{full, full, full, full, leaving, lost}, 2, {3, 3, 3}},
    }));
    CHECK(quorums_of(view_of(each.m_states), each.m_losses) == each.m_expected);
}

TEST_CASE("each read quorum overlaps with each write quorum", "[view]")
{
    // Also when the disk of the joining member is lost: it is not part of read
    // quorums.
    for (const std::uint32_t losses : {0U, 1U, 2U})
    {
        for (std::size_t size = 1; size <= 9; ++size)
        {
            for (const bool one_joins : {false, true})
            {
                std::vector<member_state> states(size, full);
                if (one_joins)
                    states.back() = joining;
                const auto view = view_of(states);
                const auto quorums = quorums_of(view, losses);
                const auto voters = bits_of(view, is_voter);
                const auto readers = bits_of(view, is_full);
                if (quorums.m_write > size)
                    continue;
                for (const auto write : subsets(voters, quorums.m_write))
                {
                    for (const auto read : subsets(readers, quorums.m_read_all))
                        REQUIRE((write & read) != 0);
                }
            }
        }
    }
}

TEST_CASE("evicting a member loses no write", "[view]")
{
    // A write acknowledged before by any quorum, without its copy on the
    // evicted member, still overlaps with every read quorum of the smaller
    // view.
    for (const std::uint32_t losses : {1U, 2U})
    {
        for (std::size_t size = 2; size <= 9; ++size)
        {
            const auto before = view_of(std::vector<member_state>(size, full));
            if (!may_evict(before, "m0", losses))
                continue;
            const auto after = without(before, "m0");
            const auto write_size = quorums_of(before, losses).m_write;
            const auto read_size = quorums_of(after, losses).m_read_all;
            const auto all = bits_of(before, is_voter);
            for (const auto write : subsets(all, write_size))
            {
                const auto left = write & ~1U;
                for (const auto read : subsets(all & ~1U, read_size))
                    REQUIRE((left & read) != 0);
            }
        }
    }
}

TEST_CASE("which members may be evicted", "[view]")
{
    struct sample
    {
        std::vector<member_state> m_states;
        std::uint32_t m_losses;
        bool m_allowed;
    };
    const auto each = GENERATE(values<sample>({
        {{full, full, full, full}, 1, true},
        // Too few would remain.
        {{full, full, full}, 1, false},
        // With an odd number of members the read quorum would not shrink.
        {{full, full, full, full, full}, 1, false},
        {{full, full, full, joining}, 1, false},
        {{joining, full, full, full}, 1, true},
        {{full, full, full, full, leaving}, 1, false},
        {{full, full, full, full, full, full}, 2, true},
        {{full, full, full, full}, 2, false},
    }));
    CHECK(may_evict(view_of(each.m_states), "m0", each.m_losses) ==
          each.m_allowed);
    CHECK_FALSE(may_evict(view_of(each.m_states), "nobody", 1));
}

TEST_CASE("which members may be marked lost, and which one gathers their data",
          "[view]")
{
    struct sample
    {
        std::vector<member_state> m_states;
        std::uint32_t m_losses;
        bool m_may_mark_lost;
        std::string m_collector;
    };
    const auto each = GENERATE(values<sample>({
        {{full, full, full}, 1, true, ""},
        {{joining, full, full}, 1, true, ""},
        {{leaving, full, full}, 1, true, ""},
        // No more than may be lost at once.
        {{full, full, lost}, 1, false, "m0"},
        {{full, full, lost}, 2, true, ""},
        {{full, joining, lost}, 1, false, ""},
        {{lost, full, full}, 1, false, "m1"},
        {{full, full, full, lost, lost}, 2, false, "m0"},
        // At the first loss already, although another one is tolerated.
        {{full, full, full, full, lost}, 2, true, "m0"},
        {{lost, full, full, full, joining}, 2, false, "m1"},
    }));
    const auto view = view_of(each.m_states);
    CHECK(may_mark_lost(view, "m0", each.m_losses) == each.m_may_mark_lost);
    const auto* collector = collector_of(view, each.m_losses);
    CHECK((collector == nullptr ? "" : collector->m_name) == each.m_collector);
}

TEST_CASE("the first member is full, later ones join", "[view]")
{
    auto view = with_joining({}, row("a", full));
    CHECK(find_member(view, "a")->m_state == full);
    view = with_joining(view, row("b", full));
    CHECK(find_member(view, "b")->m_state == joining);
    CHECK(find_member(view, "b")->m_intact);
    auto wiped = row("a", full);
    wiped.m_disk = 8;
    view = with_joining(view, wiped);
    CHECK(view.m_members.size() == 2);
    CHECK(find_member(view, "a")->m_state == joining);
    CHECK(find_member(view, "a")->m_disk == 8);
    CHECK_FALSE(find_member(view, "a")->m_intact);
    view = with_state(view, "b", full);
    CHECK_FALSE(find_member(view, "b")->m_intact);
}
