// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/admission.hpp"

#include <algorithm>
#include <tuple>

namespace pepperturn {

namespace {

/// Weight of a new sample in the smoothed times: averages about ten calls.
constexpr double latency_weight = 0.1;
/// The baseline follows lower values quickly. Higher ones raise it by this
/// share per call, however high they are: a burst of some hundred calls does
/// not become the norm, while longer prompts do within some thousand calls.
constexpr double baseline_down_weight = 0.05;
constexpr double baseline_up_share = 0.001;
/// A time to first byte of this many times the baseline indicates a queue:
/// prompts of all lengths and a full batch explain two or three times.
constexpr double queueing_factor = 6.0;
/// A limit is set only at this many times the longest unqueued wait: programs
/// can absorb short bursts, and no call is refused for them.
constexpr double onset_factor = 2.0;
/// Shorter waits indicate nothing: network hops and wake-ups take as long.
constexpr double min_queueing_ms = 60.0;
/// A VM may always have this many calls in progress, to notice when the
/// overload has ended.
constexpr double min_limit = 2.0;
/// A limit of this many times the calls in progress has no effect and is
/// removed.
constexpr double unlimited_factor = 2.0;
/// A first call may wait for one in so many of its program's remaining time: a
/// third of the time is slack, and the later turns wait a little as well.
constexpr int first_call_divisor = 5;
/// Callers abandon a stream after two seconds without data, and the first
/// event takes a while.
constexpr milliseconds max_wait_under_way{1500};
constexpr milliseconds max_wait_first{700};
/// Weight of one admission in the admission rate: averages about ten.
constexpr double rate_weight = 0.1;
/// A queue without an admission for this long was empty.
constexpr milliseconds rate_expiry{1000};
/// Callers accept a retry delay of up to a third of their remaining time, and
/// send a call twice: with shorter delays they are refused again, with longer
/// ones their program misses its deadline.
constexpr milliseconds min_retry_delay{250};
constexpr milliseconds max_retry_delay{800};
constexpr milliseconds retry_delay_spread{250};
constexpr double ms_per_s = 1000.0;

double smoothed(double before, double value, double weight)
{
    return before + weight * (value - before);
}

} // namespace

call_latency add_call(call_latency latency, double first_byte_ms, double run_ms)
{
    if (latency.m_first_byte_ms == 0)
        return {first_byte_ms, first_byte_ms, run_ms};
    latency.m_first_byte_ms =
        smoothed(latency.m_first_byte_ms, first_byte_ms, latency_weight);
    latency.m_run_ms = smoothed(latency.m_run_ms, run_ms, latency_weight);
    if (latency.m_first_byte_ms < latency.m_baseline_ms)
        latency.m_baseline_ms =
            smoothed(latency.m_baseline_ms, latency.m_first_byte_ms,
                     baseline_down_weight);
    else
        latency.m_baseline_ms =
            std::min(latency.m_first_byte_ms,
                     latency.m_baseline_ms * (1 + baseline_up_share));
    return latency;
}

double max_unqueued_wait_ms(const call_latency& latency)
{
    return std::max(queueing_factor * latency.m_baseline_ms, min_queueing_ms);
}

concurrency_limit adjust_limit(concurrency_limit limit,
                               const call_latency& latency,
                               std::uint32_t under_way)
{
    const double calls = std::max<double>(under_way, min_limit);
    const double unqueued_wait = max_unqueued_wait_ms(latency);
    const double target = calls * (unqueued_wait + latency.m_run_ms) /
                          (latency.m_first_byte_ms + latency.m_run_ms);
    const bool limited =
        limit.m_limit < std::numeric_limits<double>::infinity();
    const bool queueing = latency.m_first_byte_ms > unqueued_wait;
    if (!limited && latency.m_first_byte_ms <= onset_factor * unqueued_wait)
        return limit;
    // Averaged over one round of all calls: the effect of a call sent now is
    // seen that much later.
    const double before = limited ? limit.m_limit : calls;
    const double next = smoothed(before, target, 1.0 / calls);
    // Below the limit, a short wait is no reason to lower it.
    limit.m_limit =
        queueing ? std::max(min_limit, next) : std::max(limit.m_limit, next);
    if (!queueing && limit.m_limit > unlimited_factor * calls)
        limit.m_limit = std::numeric_limits<double>::infinity();
    return limit;
}

const char* to_string(call_rank rank)
{
    switch (rank)
    {
    case call_rank::under_way:
        return "under_way";
    case call_rank::first:
        return "first";
    case call_rank::late:
        return "late";
    }
    return "unknown";
}

bool precedes(const waiting_call& left, const waiting_call& right)
{
    return std::tie(left.m_rank, left.m_sequence) <
           std::tie(right.m_rank, right.m_sequence);
}

milliseconds queue_timeout(call_rank rank,
                           std::optional<milliseconds> program_left,
                           milliseconds call_left)
{
    if (rank == call_rank::under_way)
        return std::min(max_wait_under_way, call_left / 2);
    auto timeout = std::min(max_wait_first, call_left / 4);
    if (rank == call_rank::first && program_left)
        timeout = std::min(timeout, *program_left / first_call_divisor);
    return timeout;
}

admission_rate add_admission(admission_rate rate, instant now)
{
    const double interval = to_seconds(now - rate.m_last) * ms_per_s;
    const bool fresh =
        rate.m_last == instant{} || now - rate.m_last > rate_expiry;
    // The first interval after a pause says nothing about the rate.
    rate.m_interval_ms =
        fresh ? 0
        : rate.m_interval_ms == 0
            ? interval
            : smoothed(rate.m_interval_ms, interval, rate_weight);
    rate.m_last = now;
    return rate;
}

milliseconds expected_wait(const admission_rate& rate, std::size_t ahead,
                           instant now)
{
    if (rate.m_last == instant{} || now - rate.m_last > rate_expiry)
        return milliseconds(0);
    const double since = to_seconds(now - rate.m_last) * ms_per_s;
    const double interval = std::max(rate.m_interval_ms, since);
    return milliseconds(
        static_cast<std::int64_t>(interval * static_cast<double>(ahead)));
}

milliseconds retry_delay(milliseconds expected, std::uint64_t random)
{
    const auto base = std::clamp(expected, min_retry_delay, max_retry_delay);
    return base + milliseconds(random % retry_delay_spread.count());
}

} // namespace pepperturn
