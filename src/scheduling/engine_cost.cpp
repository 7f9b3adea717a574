// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_cost.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Relative slowdown of a token with all other slots occupied.
constexpr double full_batch_slowdown = 0.3;
/// Round trip to another zone, and the cost of the traffic.
constexpr double other_zone_ms = 1.5;
/// In addition to that, for another region: a tenth of the time that a turn
/// should take.
constexpr double other_region_ms = 25;
/// Time that a failed call loses before its next attempt.
constexpr double failure_ms = 150;
/// Higher error rates are treated alike: an engine where all calls fail
/// remains a candidate.
constexpr double max_error_rate = 0.9;
/// Costs that differ by less are treated as equal.
constexpr double equal_ms = 1;
constexpr double equal_share = 0.02;
/// Calls in progress stall while a prompt is prefilled; so do those that
/// arrive meanwhile, and what it evicts from the cache is prefilled again
/// elsewhere.
constexpr double prefill_weight = 2;
/// A call in an engine's queue delays all later ones until the queue is empty.
constexpr double queue_weight = 2;
/// Calls beyond the slots that keep an engine busy between the end of one call
/// and the arrival of the next.
constexpr std::uint32_t spare_calls = 1;
/// Calls per slot beyond which an engine's queue is not used. Up to there a
/// short wait for the engine that has the prompt cached is better than
/// prefilling it elsewhere, which stalls all calls there.
constexpr double max_calls_per_slot = 1.5;

} // namespace

double batch_slowdown(double concurrent, std::uint32_t slots)
{
    const double capacity = std::max(slots, 1U);
    return 1 + full_batch_slowdown * std::clamp(concurrent, 0.0, capacity) /
                   capacity;
}

predicted_run predict_run(const engine_estimate& estimate)
{
    const std::uint32_t slots = std::max(estimate.m_slots, 1U);
    const double concurrent = std::min(estimate.m_under_way, slots - 1);
    predicted_run run;
    double queue_ms = 0;
    if (estimate.m_under_way >= slots)
        queue_ms =
            (estimate.m_under_way - slots + 1.0) * estimate.m_slot_ms / slots;
    run.m_wait_ms = estimate.m_prefill_backlog_ms + queue_ms;
    run.m_prefill_ms = estimate.m_uncached_tokens * estimate.m_prefill_token_ms;
    run.m_decode_ms = estimate.m_output_tokens * estimate.m_decode_token_ms *
                      batch_slowdown(concurrent, slots);
    const double slowdown = full_batch_slowdown / slots;
    run.m_interference_ms =
        prefill_weight * estimate.m_under_way * run.m_prefill_ms +
        concurrent * slowdown * estimate.m_output_tokens *
            estimate.m_decode_token_ms +
        queue_weight * queue_ms;
    return run;
}

double completion_ms(const predicted_run& run)
{
    return run.m_wait_ms + run.m_prefill_ms + run.m_decode_ms;
}

double engine_cost(const engine_estimate& estimate, const predicted_run& run)
{
    const double error_rate =
        std::clamp(estimate.m_error_rate, 0.0, max_error_rate);
    double cost = completion_ms(run) + run.m_interference_ms;
    // Each failure costs its time, and the call has to be run again.
    cost += error_rate / (1 - error_rate) * (failure_ms + completion_ms(run));
    if (estimate.m_other_zone)
        cost += other_zone_ms;
    if (estimate.m_other_region)
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
    return under_way >= max_calls_per_slot * std::max(slots, 1U) + spare_calls;
}

} // namespace pepperturn
