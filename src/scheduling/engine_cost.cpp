// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_cost.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Relative slowdown of a token with all other slots occupied.
constexpr double full_batch_share = 0.3;
/// Round trip to another zone, and the cost of the traffic.
constexpr double other_zone_ms = 1.5;
/// In addition to that, for another region: a tenth of the time that a turn
/// should take.
constexpr double other_region_ms = 25;
/// Time that a failed call loses before its next attempt.
constexpr double failure_ms = 150;
/// Higher error rates are treated alike: an engine where all calls fail
/// remains a candidate.
constexpr double most_trouble = 0.9;
/// Costs that differ by less are treated as equal.
constexpr double equal_ms = 1;
constexpr double equal_share = 0.02;
/// Calls in progress stall while a prompt is prefilled; so do those that
/// arrive meanwhile, and what it evicts from the cache is prefilled again
/// elsewhere.
constexpr double read_weight = 2;
/// A call in an engine's queue delays all later ones until the queue is empty.
constexpr double queue_weight = 2;
/// Calls beyond the slots that keep an engine busy between the end of one call
/// and the arrival of the next.
constexpr std::uint32_t spare_calls = 1;
/// Calls per slot beyond which an engine's queue is not used. Up to there a
/// short wait for the engine that has the prompt cached is better than
/// prefilling it elsewhere, which stalls all calls there.
constexpr double most_calls_a_slot = 1.5;

} // namespace

double batch_slowdown(double beside, std::uint32_t slots)
{
    const double most = std::max(slots, 1U);
    return 1 + full_batch_share * std::clamp(beside, 0.0, most) / most;
}

predicted_run predict_run(const engine_estimate& outlook)
{
    const std::uint32_t slots = std::max(outlook.m_slots, 1U);
    const double beside = std::min(outlook.m_under_way, slots - 1);
    predicted_run run;
    double queue_ms = 0;
    if (outlook.m_under_way >= slots)
        queue_ms =
            (outlook.m_under_way - slots + 1.0) * outlook.m_slot_ms / slots;
    run.m_wait_ms = outlook.m_prefill_backlog_ms + queue_ms;
    run.m_prefill_ms = outlook.m_uncached_tokens * outlook.m_prefill_token_ms;
    run.m_decode_ms = outlook.m_output_tokens * outlook.m_decode_token_ms *
                      batch_slowdown(beside, slots);
    const double slower = full_batch_share / slots;
    run.m_interference_ms =
        read_weight * outlook.m_under_way * run.m_prefill_ms +
        beside * slower * outlook.m_output_tokens * outlook.m_decode_token_ms +
        queue_weight * queue_ms;
    return run;
}

double completion_ms(const predicted_run& run)
{
    return run.m_wait_ms + run.m_prefill_ms + run.m_decode_ms;
}

double engine_cost(const engine_estimate& outlook, const predicted_run& run)
{
    const double trouble = std::clamp(outlook.m_error_rate, 0.0, most_trouble);
    double cost = completion_ms(run) + run.m_interference_ms;
    // Each failure costs its time, and the call has to be run again.
    cost += trouble / (1 - trouble) * (failure_ms + completion_ms(run));
    if (outlook.m_other_zone)
        cost += other_zone_ms;
    if (outlook.m_other_region)
        cost += other_region_ms;
    return cost;
}

bool nearly_equal(double cost_ms, double best_ms)
{
    return cost_ms <= best_ms + equal_ms + equal_share * best_ms;
}

bool is_full(std::uint32_t under_way, std::uint32_t slots)
{
    return under_way >= 1.0 * std::max(slots, 1U) + spare_calls;
}

bool is_overloaded(std::uint32_t under_way, std::uint32_t slots)
{
    return under_way >= most_calls_a_slot * std::max(slots, 1U) + spare_calls;
}

} // namespace pepperturn
