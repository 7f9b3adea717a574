// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_cost.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace {

using namespace pepperturn;

/// An idle engine of 12 slots with the shared part cached.
engine_estimate make_idle_engine()
{
    return {.m_under_way = 0,
            .m_slots = 12,
            .m_cached_tokens = 12'600,
            .m_uncached_tokens = 1'000,
            .m_output_tokens = 128,
            .m_prefill_token_ms = 0.004,
            .m_decode_token_ms = 1,
            .m_prefill_backlog_ms = 0,
            .m_slot_ms = 150,
            .m_error_rate = 0,
            .m_other_zone = false};
}

double cost(const engine_estimate& estimate)
{
    return engine_cost(estimate, predict_run(estimate));
}

template <class Change> engine_estimate changed(Change change)
{
    auto estimate = make_idle_engine();
    change(estimate);
    return estimate;
}

} // namespace

TEST_CASE("which of two engines has the lower cost", "[places]")
{
    struct sample
    {
        std::string m_name;
        engine_estimate m_less;
        engine_estimate m_more;
    };
    const auto idle = make_idle_engine();
    const auto cold =
        changed([](auto& out) { out.m_uncached_tokens = 13'600; });
    const auto busy = changed([](auto& out) { out.m_under_way = 6; });
    const auto full = changed([](auto& out) { out.m_under_way = 13; });
    const auto slow = changed([](auto& out) { out.m_decode_token_ms = 2; });
    const auto each = GENERATE_COPY(values<sample>({
        {"the idle engine", idle, busy},
        {"the engine with the prompt cached", idle, cold},
        {"the engine with the prompt cached, some slots occupied",
         changed([](auto& out) { out.m_under_way = 3; }), cold},
        {"the fast engine", idle, slow},
        {"a fast engine without the prompt before a slow one", cold, slow},
        {"a slow engine before a long queue", slow,
         changed([](auto& out) { out.m_under_way = 24; })},
        {"a short queue before a prefill beside many calls", full,
         changed([](auto& out) {
             out.m_under_way = 10;
             out.m_uncached_tokens = 13'600;
         })},
        {"an engine without pending prefills", idle,
         changed([](auto& out) { out.m_prefill_backlog_ms = 20; })},
        {"an engine without failures", idle,
         changed([](auto& out) { out.m_error_rate = 0.1; })},
        {"the caller's zone", idle,
         changed([](auto& out) { out.m_other_zone = true; })},
        {"another zone before a slower engine",
         changed([](auto& out) { out.m_other_zone = true; }),
         changed([](auto& out) { out.m_decode_token_ms = 1.1; })},
    }));
    INFO(each.m_name);
    CHECK(cost(each.m_less) < cost(each.m_more));
}

TEST_CASE("whether an engine is full, for any number of slots", "[places]")
{
    CHECK_FALSE(is_full(12, 12));
    CHECK(is_full(13, 12));
    CHECK_FALSE(is_overloaded(18, 12));
    CHECK(is_overloaded(19, 12));
    CHECK_FALSE(is_full(0, 0));
    CHECK_FALSE(is_full(5, 4'294'967'295));
    CHECK_FALSE(is_overloaded(5, 4'294'967'295));
}
