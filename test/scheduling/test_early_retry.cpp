// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/early_retry.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace {

using namespace pepperturn;

response_times times_of(const std::vector<int>& taken_ms, int rounds)
{
    response_times out;
    for (int i = 0; i < rounds; ++i)
    {
        for (const int ms : taken_ms)
            out = add_response_time(out, milliseconds(ms));
    }
    return out;
}

/// Retries that the budget allows when \p hung of a hundred calls hang.
unsigned retries(unsigned calls, unsigned hung)
{
    retry_budget budget;
    unsigned out = 0;
    for (unsigned i = 0; i < calls; ++i)
    {
        budget = earn_retry(budget);
        if (!retry_allowed(budget))
            continue;
        budget = spend_retry(budget);
        if (i % 100 < hung)
            ++out;
        else
            budget = refund_retry(budget);
    }
    return out;
}

} // namespace

TEST_CASE("quantiles of response times, to a fifth", "[second_try]")
{
    CHECK(response_time_quantile({}, 0.5) == milliseconds(0));
    struct sample
    {
        std::vector<int> m_taken_ms;
        double m_share;
        int m_min_ms;
        int m_max_ms;
    };
    const std::vector<sample> samples{
        {{0}, 0.5, 1, 1},
        {{10}, 0.5, 10, 12},
        {{10, 10, 10, 10, 10, 10, 10, 10, 10, 80}, 0.5, 10, 12},
        {{10, 10, 10, 10, 10, 10, 10, 10, 10, 80}, 0.97, 80, 96},
        {{90000000}, 0.5, 60000, 120000},
    };
    for (const auto& each : samples)
    {
        const auto got = response_time_quantile(times_of(each.m_taken_ms, 100),
                                                each.m_share);
        INFO(got.count());
        CHECK(got >= milliseconds(each.m_min_ms));
        CHECK(got <= milliseconds(each.m_max_ms));
    }
}

TEST_CASE("the retry timeout follows the route's response times",
          "[second_try]")
{
    struct sample
    {
        std::vector<int> m_taken_ms;
        int m_rounds;
        /// 0: too few samples.
        int m_min_ms;
        int m_max_ms;
    };
    const std::vector<sample> samples{
        {{10}, 10, 0, 0},
        {{1}, 100, 20, 20},
        {{10}, 100, 40, 48},
        {{8, 9, 10, 11, 12, 14, 16, 20, 25, 30}, 20, 60, 72},
        {{100}, 100, 400, 480},
    };
    for (const auto& each : samples)
    {
        const auto wait =
            retry_timeout(times_of(each.m_taken_ms, each.m_rounds));
        REQUIRE(wait.has_value() == (each.m_min_ms > 0));
        INFO(wait.value_or(milliseconds(0)).count());
        CHECK(wait.value_or(milliseconds(0)) >= milliseconds(each.m_min_ms));
        CHECK(wait.value_or(milliseconds(0)) <= milliseconds(each.m_max_ms));
    }
    // Follows when all runners become slower.
    auto times = times_of({10}, 200);
    for (int i = 0; i < 100; ++i)
        times = add_response_time(times, milliseconds(100));
    CHECK(retry_timeout(times) >= milliseconds(400));
}

TEST_CASE("retries stay at a few percent", "[second_try]")
{
    CHECK(retries(1000, 0) == 0);
    // Nearly all calls that hang by chance are retried.
    CHECK(retries(1000, 2) >= 18);
    // Every call hangs.
    CHECK(retries(1000, 100) <= 40);
    CHECK(retries(20, 100) == 0);
}
