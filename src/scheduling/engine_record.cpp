// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/engine_record.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Defaults until there are samples: a medium engine and response.
constexpr double default_decode_token_ms = 1;
constexpr double default_prefill_token_ms = 0.004;
constexpr double default_output_tokens = 100;
constexpr double default_slot_ms = 200;
/// Ended calls after which the typical values are trusted.
constexpr std::uint32_t min_profile_calls = 20;
/// Share of the calls that generate fewer tokens than a long one.
constexpr double long_quantile = 0.9;
/// A long call is overdue after this many times its predicted time, plus some
/// milliseconds for the transfer of its report.
constexpr double overdue_share = 1.25;
constexpr double overdue_ms = 10;
/// Upper bound: the engine hangs, and for how long makes no difference.
constexpr double max_overdue_factor = 20;
/// An engine without a call for this long is sent one, overdue calls or not:
/// it may have recovered, or the caller that should report their end may have
/// died.
constexpr milliseconds overdue_probe_interval{2000};
/// Prompts with fewer uncached tokens are treated as cached, and only longer
/// ones measure how fast an engine prefills.
constexpr std::uint32_t short_prefill_tokens = 500;
constexpr std::uint32_t long_prefill_tokens = 4000;
constexpr double short_wait_ms = 1;
/// An engine that takes this many times the typical time per token appears to
/// hang. Engines of one service may well differ by half of that.
constexpr double deprioritised_slowness = 4;
constexpr double deprioritised_error_rate = 0.5;
/// A call whose end is not reported releases its slot after this time, and
/// after this many times its predicted duration: its caller has died.
constexpr milliseconds lost_after{6000};
constexpr double lost_share = 4;
/// Reports beyond these values are treated as wrong.
constexpr std::uint32_t max_report_ms = 600'000;
constexpr std::uint32_t max_report_tokens = 1'000'000;
/// Longest prompt, for engines that do not report their capacity.
constexpr std::uint32_t max_prompt_tokens = 1'000'000;
/// Smallest share of a run that is attributed to generating, whatever was
/// prefilled beside it.
constexpr double min_decode_share = 0.3;

/// The capacity of a cold engine is given in calls per second.
constexpr milliseconds cold_window_span{1000};

double milliseconds_since(instant then, instant now)
{
    return std::max(to_seconds(now - then) * 1e3, 0.0);
}

double prefill_token_ms(const engine_record& engine,
                        const service_profile& profile, double token_ms,
                        instant now)
{
    const double usual = typical_prefill_token_ms(profile);
    // An engine that generates slowly is assumed to prefill slowly.
    const double slowness = token_ms / typical_decode_token_ms(profile);
    if (engine.m_prefill.m_samples == 0)
        return usual * slowness;
    return current_token_ms(engine.m_prefill, usual * slowness, now);
}

double present_decode_token_ms(const engine_record& engine,
                               const service_profile& profile, instant now)
{
    const double measured = current_token_ms(
        engine.m_decode, typical_decode_token_ms(profile), now);
    const double overdue = overdue_factor(engine, now);
    if (overdue <= 1)
        return measured;
    const double long_term =
        current_token_ms({.m_long_term = engine.m_decode.m_long_term,
                          .m_samples = engine.m_decode.m_samples,
                          .m_last = now},
                         typical_decode_token_ms(profile), now);
    return std::max(measured, long_term * overdue);
}

/// A prompt longer than the capacity is treated as a wrong figure.
std::uint32_t plausible_prompt_tokens(const engine_record& engine,
                                      std::uint32_t prompt_tokens)
{
    const auto capacity = engine.m_info.m_token_capacity;
    const std::uint64_t most = capacity == 0 ? max_prompt_tokens : capacity;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(prompt_tokens, most));
}

void update_prefill(engine_record& engine, service_profile& profile,
                    const running_call& call, const placement_report& report,
                    instant now)
{
    // After a wait for a slot or for other prefills the time to first byte
    // does not measure the prefill.
    if (call.m_wait_ms > short_wait_ms)
        return;
    const double first_byte = report.m_first_byte_ms;
    if (call.m_uncached_tokens < short_prefill_tokens)
        profile.m_first_byte_ms =
            add_value(profile.m_first_byte_ms, first_byte, 0.5);
    if (call.m_uncached_tokens < long_prefill_tokens)
        return;
    const double prefill_ms = first_byte - profile.m_first_byte_ms.m_value;
    const double token_ms = prefill_ms / call.m_uncached_tokens;
    profile.m_prefill_token_ms =
        add_value(profile.m_prefill_token_ms, token_ms, 0.5);
    engine.m_prefill = add_token_time(engine.m_prefill, token_ms, now);
}

void update_decode(engine_record& engine, service_profile& profile,
                   const running_call& call, const placement_report& report,
                   instant now)
{
    if (report.m_run_ms == 0 || report.m_output_tokens == 0)
        return;
    // Prefills of other prompts stalled it meanwhile.
    const double stalled = std::max(
        engine.m_total_prefill_ms - call.m_total_prefill_ms - call.m_prefill_ms,
        0.0);
    const double run =
        std::max(report.m_run_ms - stalled, min_decode_share * report.m_run_ms);
    const auto at_end = static_cast<double>(engine.m_calls.size());
    const double concurrent = (call.m_concurrent + at_end) / 2;
    const double token_ms = run / report.m_output_tokens /
                            batch_slowdown(concurrent, engine.m_info.m_slots);
    profile.m_decode_token_ms =
        add_value(profile.m_decode_token_ms, token_ms, 0.5);
    engine.m_decode = add_token_time(engine.m_decode, token_ms, now);
}

bool is_sane(const placement_report& report)
{
    return report.m_first_byte_ms <= max_report_ms &&
           report.m_run_ms <= max_report_ms &&
           report.m_output_tokens <= max_report_tokens;
}

} // namespace

double typical_decode_token_ms(const service_profile& profile)
{
    return profile.m_decode_token_ms.m_samples == 0
               ? default_decode_token_ms
               : profile.m_decode_token_ms.m_value;
}

double typical_prefill_token_ms(const service_profile& profile)
{
    return profile.m_prefill_token_ms.m_samples == 0
               ? default_prefill_token_ms
               : profile.m_prefill_token_ms.m_value;
}

double typical_slot_ms(const service_profile& profile)
{
    return profile.m_slot_ms.m_samples == 0 ? default_slot_ms
                                            : profile.m_slot_ms.m_value;
}

double typical_output_tokens(const service_profile& profile, std::uint32_t most)
{
    const double tokens = profile.m_output_tokens.m_samples == 0
                              ? default_output_tokens
                              : profile.m_output_tokens.m_value;
    return most == 0 ? tokens : std::min<double>(tokens, most);
}

double expected_output_tokens(const service_profile& profile,
                              const placement_request& request)
{
    if (request.m_expected_output_tokens == 0)
        return typical_output_tokens(profile, request.m_max_output_tokens);
    // A caller's expectation is better than the median of all calls.
    return request.m_max_output_tokens == 0
               ? request.m_expected_output_tokens
               : std::min(request.m_expected_output_tokens,
                          request.m_max_output_tokens);
}

double overdue_factor(const engine_record& engine, instant now)
{
    double factor = 1;
    // The latest call is at the end.
    if (engine.m_calls.empty() ||
        now - engine.m_calls.back().m_started > overdue_probe_interval)
        return factor;
    for (const auto& call : engine.m_calls)
    {
        // A call that started later has ended: this one is just long, or its
        // end was not reported.
        if (call.m_started < engine.m_last_completed_start ||
            call.m_expected_long_ms <= 0)
            continue;
        const double elapsed = milliseconds_since(call.m_started, now);
        if (elapsed > overdue_share * call.m_expected_long_ms + overdue_ms)
            factor = std::max(factor, elapsed / call.m_expected_ms);
    }
    return std::min(factor, max_overdue_factor);
}

engine_estimate estimate_engine(const engine_record& engine,
                                const service_profile& profile,
                                const placement_request& request, instant now)
{
    engine_estimate estimate;
    estimate.m_under_way = static_cast<std::uint32_t>(engine.m_calls.size());
    estimate.m_slots = engine.m_info.m_slots;
    const auto cached = cached_prefix_tokens(engine.m_cache, request.m_parts);
    const auto prompt =
        plausible_prompt_tokens(engine, request.m_prompt_tokens);
    estimate.m_cached_tokens = std::min(cached, prompt);
    estimate.m_uncached_tokens = prompt - estimate.m_cached_tokens;
    estimate.m_output_tokens = expected_output_tokens(profile, request);
    estimate.m_decode_token_ms = present_decode_token_ms(engine, profile, now);
    estimate.m_prefill_token_ms =
        prefill_token_ms(engine, profile, estimate.m_decode_token_ms, now);
    estimate.m_prefill_backlog_ms =
        milliseconds_since(now, engine.m_prefill_until);
    estimate.m_slot_ms = typical_slot_ms(profile);
    estimate.m_error_rate = current_error_rate(engine.m_error_rate, now);
    estimate.m_other_zone =
        engine.m_info.m_availability_zone != request.m_availability_zone;
    estimate.m_other_region =
        estimate.m_other_zone && !engine.m_info.m_region.empty() &&
        !request.m_region.empty() && engine.m_info.m_region != request.m_region;
    return estimate;
}

bool is_deprioritised(const engine_estimate& estimate,
                      const service_profile& profile)
{
    return estimate.m_decode_token_ms >
               deprioritised_slowness * typical_decode_token_ms(profile) ||
           estimate.m_error_rate > deprioritised_error_rate;
}

bool is_cold_limited(const engine_record& engine, instant now)
{
    const auto& facts = engine.m_info;
    return facts.m_cold_per_s > 0 && now < facts.m_cold_until &&
           now - engine.m_cold_window.m_began < cold_window_span &&
           engine.m_cold_window.m_calls + 1 > facts.m_cold_per_s;
}

void start_call(engine_record& engine, const service_profile& profile,
                const placement_request& request,
                const engine_estimate& estimate, instant now)
{
    const auto run = predict_run(estimate);
    running_call call;
    call.m_call = request.m_call;
    call.m_started = now;
    call.m_parts = request.m_parts;
    call.m_parts.resize(std::min(call.m_parts.size(), max_prompt_parts));
    call.m_uncached_tokens = estimate.m_uncached_tokens;
    call.m_concurrent = estimate.m_under_way;
    call.m_wait_ms = run.m_wait_ms;
    call.m_prefill_ms = run.m_prefill_ms;
    call.m_expected_ms = completion_ms(run) + profile.m_first_byte_ms.m_value;
    if (profile.m_output_tokens.m_samples >= min_profile_calls)
    {
        const double more = std::max(profile.m_long_output_tokens.m_value /
                                         profile.m_output_tokens.m_value,
                                     1.0);
        call.m_expected_long_ms =
            call.m_expected_ms + (more - 1) * run.m_decode_ms;
    }
    if (now - engine.m_cold_window.m_began >= cold_window_span)
        engine.m_cold_window = {now, 0};
    ++engine.m_cold_window.m_calls;
    engine.m_total_prefill_ms += run.m_prefill_ms;
    call.m_total_prefill_ms = engine.m_total_prefill_ms;
    engine.m_prefill_until = std::max(engine.m_prefill_until, now) +
                             from_seconds(run.m_prefill_ms / 1e3);
    expect_parts(engine.m_cache, call.m_parts, request.m_call,
                 engine.m_info.m_token_capacity);
    engine.m_calls.push_back(std::move(call));
}

std::optional<running_call> remove_running_call(engine_record& engine,
                                                std::uint64_t call)
{
    const auto row = std::find_if(
        engine.m_calls.begin(), engine.m_calls.end(),
        [call](const running_call& each) { return each.m_call == call; });
    if (row == engine.m_calls.end())
        return std::nullopt;
    std::optional<running_call> taken(std::move(*row));
    engine.m_calls.erase(row);
    // An engine without calls prefills nothing.
    if (engine.m_calls.empty())
        engine.m_prefill_until = {};
    return taken;
}

void learn_from_end(engine_record& engine, service_profile& profile,
                    const running_call& call, const placement_report& report,
                    instant now)
{
    engine.m_error_rate = add_outcome(
        engine.m_error_rate, report.m_end != placement_end::whole, now);
    if (report.m_end != placement_end::whole)
    {
        forget_parts(engine.m_cache, call.m_call);
        return;
    }
    confirm_parts(engine.m_cache, call.m_parts, engine.m_info.m_token_capacity);
    engine.m_last_completed_start =
        std::max(engine.m_last_completed_start, call.m_started);
    if (!is_sane(report))
        return;
    update_prefill(engine, profile, call, report, now);
    update_decode(engine, profile, call, report, now);
    profile.m_output_tokens =
        add_value(profile.m_output_tokens, report.m_output_tokens, 0.5);
    profile.m_long_output_tokens = add_value(
        profile.m_long_output_tokens, report.m_output_tokens, long_quantile);
    profile.m_slot_ms = add_value(
        profile.m_slot_ms, 1.0 * report.m_first_byte_ms + report.m_run_ms, 0.5);
}

std::vector<running_call> remove_lost_calls(engine_record& engine, instant now)
{
    std::vector<running_call> lost;
    const auto is_lost = [now](const running_call& call) {
        const auto expected =
            from_seconds(lost_share * call.m_expected_ms / 1e3);
        return now - call.m_started >
               std::max<microseconds>(lost_after, expected);
    };
    for (auto& call : engine.m_calls)
    {
        if (is_lost(call))
            lost.push_back(call);
    }
    if (!lost.empty())
        std::erase_if(engine.m_calls, is_lost);
    return lost;
}

} // namespace pepperturn
