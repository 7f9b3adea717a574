// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_latency.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

namespace {

using namespace pepperturn;

constexpr instant start{seconds(1000)};

token_latency add_samples(token_latency latency, double token_ms, int calls,
                          instant& now)
{
    for (int i = 0; i < calls; ++i)
    {
        now += milliseconds(100);
        latency = add_token_time(latency, token_ms, now);
    }
    return latency;
}

} // namespace

TEST_CASE("a running quantile converges to the quantile", "[places]")
{
    struct sample
    {
        double m_quantile;
        double m_low;
        double m_high;
    };
    const auto each = GENERATE(values<sample>({{0.5, 40, 60}, {0.9, 80, 98}}));
    running_quantile tracked;
    for (int i = 0; i < 4000; ++i)
        tracked = add_value(tracked, 1 + i * 37 % 100, each.m_quantile);
    CHECK(tracked.m_value > each.m_low);
    CHECK(tracked.m_value < each.m_high);
    const auto before = tracked;
    tracked = add_value(tracked, 1e9, each.m_quantile);
    CHECK(tracked.m_value < before.m_value * 1.1);
}

TEST_CASE("implausible values are ignored", "[places]")
{
    const double value =
        GENERATE(0.0, -1.0, 1e9, 1e-9, std::numeric_limits<double>::quiet_NaN(),
                 std::numeric_limits<double>::infinity());
    instant now = start;
    const auto latency = add_samples({}, 2, 20, now);
    CHECK(add_token_time(latency, value, now) == latency);
    if (!(value > 0) || !std::isfinite(value))
        CHECK(add_value({.m_value = 3, .m_samples = 2}, value, 0.5).m_value ==
              3);
}

TEST_CASE("current time per token after given samples", "[places]")
{
    struct sample
    {
        std::string m_name;
        /// Milliseconds per token and number of calls, ten calls a second, in
        /// order.
        std::vector<std::pair<double, int>> m_samples_seen;
        milliseconds m_later;
        double m_min;
        double m_max;
    };
    const auto each = GENERATE(values<sample>({
        {"no samples: the typical value", {}, milliseconds(0), 1, 1},
        {"a constant speed", {{2, 30}}, milliseconds(0), 1.99, 2.01},
        {"one slow call in many",
         {{2, 30}, {20, 1}, {2, 5}},
         milliseconds(0),
         1.8,
         2.4},
        {"slow right now", {{1, 30}, {5, 3}}, milliseconds(0), 3.5, 5.5},
        {"a short slowdown has passed",
         {{1, 30}, {2.5, 2}},
         milliseconds(2000),
         0.9,
         1.3},
        {"seconds of slowness are remembered for longer than one",
         {{1, 30}, {5, 10}},
         milliseconds(1000),
         2,
         5.5},
        {"permanently slow", {{1, 30}, {5, 100}}, milliseconds(0), 4, 5.5},
        {"fast again", {{5, 50}, {1, 50}}, milliseconds(0), 0.9, 1.3},
        {"unused for long: the typical value",
         {{5, 50}},
         milliseconds(60'000),
         1,
         1.1},
    }));
    INFO(each.m_name);
    instant now = start;
    token_latency latency;
    for (const auto& [token_ms, calls] : each.m_samples_seen)
        latency = add_samples(latency, token_ms, calls, now);
    const double current = current_token_ms(latency, 1, now + each.m_later);
    CHECK(current >= each.m_min);
    CHECK(current <= each.m_max);
}

TEST_CASE("the error rate grows with failures and decays", "[places]")
{
    engine_error_rate error_rate;
    for (int i = 0; i < 10; ++i)
        error_rate = add_outcome(error_rate, true, start);
    CHECK(current_error_rate(error_rate, start) > 0.9);
    CHECK(current_error_rate(error_rate, start + seconds(10)) < 0.05);
    for (int i = 0; i < 10; ++i)
        error_rate = add_outcome(error_rate, false, start);
    CHECK(current_error_rate(error_rate, start) < 0.05);
}
