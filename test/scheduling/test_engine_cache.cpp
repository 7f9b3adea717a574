// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_cache.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace {

using namespace pepperturn;

using parts = std::vector<prompt_part>;

} // namespace

TEST_CASE("length of the cached prefix of a prompt", "[places]")
{
    struct sample
    {
        std::string m_name;
        parts m_prompt;
        std::uint32_t m_cached;
    };
    const auto each = GENERATE(values<sample>({
        {"no parts", {}, 0},
        {"all parts cached", {{1, 100}, {2, 10}}, 110},
        {"the beginning cached", {{1, 100}, {3, 10}}, 100},
        {"nothing after a gap", {{3, 10}, {2, 10}}, 0},
        {"a grown history", {{1, 100}, {2, 30}}, 110},
        {"nothing after a partly cached part", {{1, 150}, {2, 10}}, 100},
        {"a shorter beginning", {{1, 60}, {2, 10}}, 70},
    }));
    INFO(each.m_name);
    engine_cache cache;
    confirm_parts(cache, {{1, 100}, {2, 10}}, 0);
    CHECK(cached_prefix_tokens(cache, each.m_prompt) == each.m_cached);
}

TEST_CASE("the least recently used parts are evicted", "[places]")
{
    engine_cache cache;
    confirm_parts(cache, {{1, 100}, {2, 50}}, 300);
    confirm_parts(cache, {{3, 100}, {4, 50}}, 300);
    confirm_parts(cache, {{1, 100}, {5, 50}}, 300);
    CHECK(cached_prefix_tokens(cache, {{1, 100}, {5, 50}}) == 150);
    // The end of the oldest prompt was evicted before its beginning.
    CHECK(cached_prefix_tokens(cache, {{3, 100}, {4, 50}}) == 150);
    CHECK(cached_prefix_tokens(cache, {{1, 100}, {2, 50}}) == 100);
    confirm_parts(cache, {{6, 100}}, 300);
    CHECK(cached_prefix_tokens(cache, {{3, 100}, {4, 50}}) == 0);
}

TEST_CASE("a broken call removes only the parts that it alone was to prefill",
          "[places]")
{
    engine_cache cache;
    confirm_parts(cache, {{1, 100}}, 0);
    expect_parts(cache, {{1, 100}, {2, 50}}, 7, 0);
    expect_parts(cache, {{1, 100}, {3, 50}}, 8, 0);
    forget_parts(cache, 7);
    CHECK(cached_prefix_tokens(cache, {{1, 100}, {2, 50}}) == 100);
    CHECK(cached_prefix_tokens(cache, {{1, 100}, {3, 50}}) == 150);
    confirm_parts(cache, {{1, 100}, {3, 50}}, 0);
    forget_parts(cache, 8);
    CHECK(cached_prefix_tokens(cache, {{1, 100}, {3, 50}}) == 150);
}

TEST_CASE(
    "the number of parts is bounded, and implausible token counts are harmless",
    "[places]")
{
    engine_cache cache;
    for (std::uint64_t i = 0; i < 10 * max_cached_parts; ++i)
        confirm_parts(cache, {{i, 1}}, 0);
    CHECK(cache.m_parts.size() == max_cached_parts);
    confirm_parts(cache, {{1, 4'000'000'000}, {2, 4'000'000'000}}, 0);
    CHECK(cached_prefix_tokens(cache, {{1, 4'000'000'000},
                                       {2, 4'000'000'000}}) == 4'294'967'295);
    confirm_parts(cache, {{1, 4'000'000'000}}, 1000);
    CHECK(cache.m_parts.empty());
}
