// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_memory.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace {

using namespace pepperturn;

using parts = std::vector<prompt_part>;

} // namespace

TEST_CASE("tokens that an engine holds of a prompt", "[places]")
{
    struct sample
    {
        std::string m_name;
        parts m_prompt;
        std::uint32_t m_held;
    };
    const auto each = GENERATE(values<sample>({
        {"nothing named", {}, 0},
        {"all", {{1, 100}, {2, 10}}, 110},
        {"the beginning", {{1, 100}, {3, 10}}, 100},
        {"not what follows a gap", {{3, 10}, {2, 10}}, 0},
        {"a history that has grown", {{1, 100}, {2, 30}}, 110},
        {"nothing after a part held in part", {{1, 150}, {2, 10}}, 100},
        {"a shorter beginning", {{1, 60}, {2, 10}}, 70},
    }));
    INFO(each.m_name);
    engine_cache memory;
    confirm_parts(memory, {{1, 100}, {2, 10}}, 0);
    CHECK(cached_prefix_tokens(memory, each.m_prompt) == each.m_held);
}

TEST_CASE("what is used least recently gives way", "[places]")
{
    engine_cache memory;
    confirm_parts(memory, {{1, 100}, {2, 50}}, 300);
    confirm_parts(memory, {{3, 100}, {4, 50}}, 300);
    confirm_parts(memory, {{1, 100}, {5, 50}}, 300);
    CHECK(cached_prefix_tokens(memory, {{1, 100}, {5, 50}}) == 150);
    // The end of the oldest prompt went before its beginning.
    CHECK(cached_prefix_tokens(memory, {{3, 100}, {4, 50}}) == 150);
    CHECK(cached_prefix_tokens(memory, {{1, 100}, {2, 50}}) == 100);
    confirm_parts(memory, {{6, 100}}, 300);
    CHECK(cached_prefix_tokens(memory, {{3, 100}, {4, 50}}) == 0);
}

TEST_CASE("only what a broken call alone was to read is forgotten", "[places]")
{
    engine_cache memory;
    confirm_parts(memory, {{1, 100}}, 0);
    expect_parts(memory, {{1, 100}, {2, 50}}, 7, 0);
    expect_parts(memory, {{1, 100}, {3, 50}}, 8, 0);
    forget_parts(memory, 7);
    CHECK(cached_prefix_tokens(memory, {{1, 100}, {2, 50}}) == 100);
    CHECK(cached_prefix_tokens(memory, {{1, 100}, {3, 50}}) == 150);
    confirm_parts(memory, {{1, 100}, {3, 50}}, 0);
    forget_parts(memory, 8);
    CHECK(cached_prefix_tokens(memory, {{1, 100}, {3, 50}}) == 150);
}

TEST_CASE("rows are bounded, and figures that can't be do no harm", "[places]")
{
    engine_cache memory;
    for (std::uint64_t i = 0; i < 10 * max_cached_parts; ++i)
        confirm_parts(memory, {{i, 1}}, 0);
    CHECK(memory.m_parts.size() == max_cached_parts);
    confirm_parts(memory, {{1, 4'000'000'000}, {2, 4'000'000'000}}, 0);
    CHECK(cached_prefix_tokens(memory, {{1, 4'000'000'000},
                                        {2, 4'000'000'000}}) == 4'294'967'295);
    confirm_parts(memory, {{1, 4'000'000'000}}, 1000);
    CHECK(memory.m_parts.empty());
}
