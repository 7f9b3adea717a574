// SPDX-License-Identifier: BSL-1.0
// Attempts of one request: selects the runner, evaluates the attempt's end and
// decides whether another one follows.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/allowed_regions.hpp"
#include "pepperturn/forward/fingerprint.hpp"
#include "pepperturn/scheduling/retry_after.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Cold runners that may be denied to one call before it is limited to warm
/// ones: each request for permission costs a round trip or two.
constexpr unsigned max_cold_denials = 2;
/// The most urgent routes are scheduled ahead of the engines' default of 5.
constexpr std::uint32_t first_urgency = 3;
constexpr std::uint32_t lowest_priority = 6;
/// An idempotent request is sent to another runner after this many times its
/// route's target latency: slow runners have responded by then, hung ones never
/// do.
constexpr int latency_factor = 2;
constexpr unsigned first_server_error = 500;
/// A resumable stream is moved to another runner after this many times the
/// usual time to the first event of its route: under a burst all engines are
/// slow, and a move would have the prompt processed once more.
constexpr int first_event_factor = 4;
/// A gap of this many times the route's target means that the runner hangs;
/// engines that preempt a run for lack of memory pause for less.
constexpr int gap_factor = 4;

} // namespace

std::string proxy::choose_service(const call& work) const
{
    const auto& parts = work.m_route->m_services;
    if (parts.size() == 1)
        return parts.front().m_service;
    // A turn stays with the service that has its prefix cached.
    if (const auto* kept = m_runners.find_incarnation(work.m_preferred_runner))
    {
        for (const auto& part : parts)
        {
            if (part.m_service == kept->m_info.m_service && part.m_weight > 0)
                return part.m_service;
        }
    }
    double sum = 0;
    for (const auto& part : parts)
        sum += part.m_weight;
    constexpr double hash_range = 18446744073709551616.0;
    double random_value =
        static_cast<double>(hash64(work.m_fields.m_id)) / hash_range * sum;
    for (const auto& part : parts)
    {
        random_value -= part.m_weight;
        if (random_value < 0)
            return part.m_service;
    }
    return parts.empty() ? std::string{} : parts.back().m_service;
}

proxy::call_result proxy::finish_without_response(call& work,
                                                  attempt_progress& state,
                                                  bool timed_out)
{
    call_result out;
    settle(work, 0);
    const auto cause = work.m_aborter->cause();
    if (cause == abort_cause::caller_left || cause == abort_cause::not_read)
    {
        if (cause == abort_cause::caller_left)
            work.m_reason +=
                "caller disconnected before a response was complete";
        out.m_aborted = true;
    }
    else if (state.m_fallback_response)
        out.m_response = std::move(state.m_fallback_response);
    else if (state.m_possible_runs > 0)
        out.m_response =
            fail(work, timed_out ? 504 : 502,
                 "no runner returned a complete response; the request may have "
                 "run" +
                     work.m_crash.m_refusal);
    else if (!work.m_crash.m_refusal.empty())
        out.m_response = refuse(work, "not sent" + work.m_crash.m_refusal,
                                retry_after_crashes);
    else if (!config_is_fresh(work))
        out.m_response = refuse_stale_config(work);
    else
        out.m_response = refuse(
            work,
            timed_out ? "timeout" : "no available runner accepted the request",
            state.m_retry_after.value_or(retry_after_no_slot));
    return out;
}

proxy::call_result proxy::refuse_for_memory(call& work, attempt_progress& state)
{
    m_memory.count_refused_request();
    if (state.m_possible_runs > 0)
        return finish_without_response(work, state, false);
    settle(work, 0);
    call_result out;
    out.m_response =
        refuse(work, "not enough memory on this VM to buffer the response",
               retry_after_no_reply);
    return out;
}

std::optional<proxy::call_result>
proxy::evaluate_attempt(call& work, attempt_progress& state,
                        attempt_result result)
{
    call_result out;
    switch (result.m_outcome)
    {
    case attempt_outcome::answered:
        if (state.m_may_retry &&
            result.m_response.m_status >= first_server_error)
        {
            // Another runner may succeed; this response is the fallback.
            ++state.m_possible_runs;
            state.m_fallback_response = std::move(result.m_response);
            return std::nullopt;
        }
        settle(work, 0);
        out.m_response = std::move(result.m_response);
        return out;
    case attempt_outcome::not_run:
        ++state.m_refusals;
        if (result.m_retry_after)
            state.m_retry_after =
                std::min(*result.m_retry_after, retry_after_no_reply);
        return std::nullopt;
    case attempt_outcome::unknown:
        ++state.m_possible_runs;
        if (state.m_may_retry)
            return std::nullopt;
        settle(work, 0);
        out.m_response = state.m_fallback_response
                             ? std::move(*state.m_fallback_response)
                             : fail(work, 502, result.m_reason);
        return out;
    case attempt_outcome::aborted:
        // The cause of the abort decides the response.
        ++state.m_possible_runs;
        return std::nullopt;
    }
    return std::nullopt;
}

runner_query proxy::make_runner_choice(call& work) const
{
    runner_query choice;
    choice.m_service = choose_service(work);
    choice.m_preferred_incarnation = work.m_preferred_runner;
    choice.m_availability_zone = m_availability_zone;
    choice.m_regions = allowed_regions(*work.m_route, work.m_workspace);
    const auto found = work.m_config->m_services.find(choice.m_service);
    if (found != work.m_config->m_services.end() && found->second.m_engine)
    {
        work.m_tokens_per_event = found->second.m_engine->m_tokens_per_event;
        auto priority = work.m_route->m_priority;
        if (work.m_workspace != nullptr)
            priority = work.m_workspace->m_priority.value_or(priority);
        work.m_urgency = first_urgency + std::min(priority, lowest_priority);
        // The last part belongs to this conversation only.
        const auto& parts = work.m_fields.m_prompt_parts;
        if (parts.size() > 1)
            choice.m_shared_prefix = parts.front().m_id;
        // No preference for open connections: a conversation stays on its
        // first engine, whose cached prompt saves more than a connect.
        return choice;
    }
    choice.m_connected = [this](const std::string& id) {
        return m_pool.has_idle(id);
    };
    return choice;
}

std::optional<milliseconds> proxy::reserve_early_retry(const route& route)
{
    m_early_retry_budget = earn_retry(m_early_retry_budget);
    const auto found = m_first_byte_times.find(route.m_name);
    if (found == m_first_byte_times.end() ||
        !retry_allowed(m_early_retry_budget))
        return std::nullopt;
    const auto wait = retry_timeout(found->second);
    if (!wait || *wait >= latency_factor * route.m_target_latency)
        return std::nullopt;
    m_early_retry_budget = spend_retry(m_early_retry_budget);
    return wait;
}

void proxy::record_early_retry(const route& route,
                               std::optional<milliseconds> wait,
                               const attempt_result& result)
{
    const bool hung = result.m_outcome == attempt_outcome::unknown &&
                      result.m_first_byte_timed_out;
    if (wait && hung)
        m_metrics.count("second_tries");
    else if (wait)
        m_early_retry_budget = refund_retry(m_early_retry_budget);
    // A hung runner says nothing about usual response times.
    if (route.m_kind == route_kind::idempotent && result.m_first_byte)
    {
        auto& times = m_first_byte_times[route.m_name];
        times = add_response_time(times, *result.m_first_byte);
    }
}

task<attempt_result> proxy::attempt(std::shared_ptr<call> work,
                                    runner_row target, bool may_retry,
                                    std::optional<std::uint64_t> last_event,
                                    stream_sink sink)
{
    const auto& route = *work->m_route;
    const auto& runner = target.m_info;
    ++work->m_attempts;
    work->m_runner = target.m_incarnation;
    const auto sent_at = m_time.now();
    std::optional<instant> attempt_deadline;
    std::optional<milliseconds> first_byte_timeout;
    std::optional<milliseconds> gap_timeout;
    if (may_retry && route.m_resumable)
    {
        first_byte_timeout = std::max(
            latency_factor * route.m_target_latency,
            first_event_factor * m_runners.average_first_byte(route.m_name));
        gap_timeout =
            gap_factor * std::max(route.m_target_gap, route.m_target_latency);
    }
    else if (may_retry)
    {
        attempt_deadline =
            std::min(work->m_deadline,
                     sent_at + latency_factor * route.m_target_latency);
        first_byte_timeout = reserve_early_retry(route);
    }
    const std::string_view body =
        route.m_stateful ? work->m_body : work->m_request.body();
    const attempt_request request{
        work->m_request,
        body,
        work->m_fields.m_id,
        route.m_name,
        route.m_kind == route_kind::stream,
        work->m_deadline,
        attempt_deadline,
        work->m_urgency,
        last_event,
        first_byte_timeout,
        gap_timeout,
        work->m_config->m_directory.has_value(),
        work->m_workspace != nullptr ? work->m_workspace->m_name
                                     : std::string{},
        [this, work] { return config_is_fresh(*work); },
        work,
        work->m_buffered,
        [this, work](std::uint64_t bytes) -> task<bool> {
            return m_memory.wait_for_capacity(work->m_buffered, bytes);
        }};
    work->m_attempting = true;
    auto result = co_await run_attempt(m_io, m_time, m_pool, m_runners, m_names,
                                       runner, request, sink, work->m_aborter);
    work->m_attempting = false;
    if (!route.m_resumable)
        record_early_retry(route, first_byte_timeout, result);
    work->m_possible_runs +=
        result.m_outcome == attempt_outcome::not_run ? 0 : 1;
    result.m_duration = elapsed(sent_at, m_time.now());
    const double load =
        static_cast<double>(target.m_in_flight) / runner.m_slots;
    LOG(INFO) << "event=attempt id=" << work->m_fields.m_id
              << " fingerprint=" << fingerprint_text(work->m_fingerprint)
              << " attempt=" << work->m_attempts
              << " cause=" << work->m_attempt_cause << " runner=" << runner.m_id
              << " service=" << runner.m_service << " load=" << load
              << " preferred=" << work->m_preferred_runner
              << " place=" << to_string(work->m_placement.m_reply.m_outcome)
              << " place_load=" << work->m_placement.m_reply.m_under_way
              << " cached=" << work->m_placement.m_reply.m_cached_tokens
              << " prompt=" << work->m_fields.m_prompt_tokens
              << " expected_ms=" << work->m_placement.m_reply.m_expected_ms
              << " outcome=" << to_string(result.m_outcome) << " first_byte_ms="
              << result.m_first_byte.value_or(milliseconds(-1)).count()
              << " ms=" << result.m_duration.count()
              << " framing=" << to_string(result.m_framing)
              << " events=" << result.m_complete_events
              << " inside_event=" << result.m_ended_inside_event << " reason=\""
              << result.m_reason << '"';
    if (work->m_holds_gate_slot && result.m_first_byte)
        m_gate.record_call(route.m_name, *result.m_first_byte,
                           result.m_duration - *result.m_first_byte);
    m_metrics.count(std::string("attempts_") + to_string(result.m_outcome));
    if (result.m_framing == body_framing::connection_close)
        m_metrics.count("responses_ended_by_close");
    if (result.m_ended_inside_event &&
        result.m_outcome == attempt_outcome::unknown)
        m_metrics.count("streams_ended_inside_event");
    co_return result;
}

bool proxy::may_retry(const call& work, const attempt_progress& state)
{
    const auto& route = *work.m_route;
    return (route.m_kind == route_kind::idempotent || route.m_resumable) &&
           state.m_possible_runs + 1 < route.m_max_attempts;
}

call_rank proxy::rank_of(const call& work) const
{
    const auto left = work.m_fields.m_program_remaining;
    if (left && elapsed(work.m_arrived, m_time.now()) >= *left)
        return call_rank::late;
    return work.m_continues_program ? call_rank::under_way : call_rank::first;
}

task<std::optional<proxy::call_result>>
proxy::wait_for_gate(std::shared_ptr<call> work)
{
    const auto began = m_time.now();
    const auto rank = rank_of(*work);
    const auto result = co_await m_gate.acquire(
        rank, queue_timeout(rank, work->m_fields.m_program_remaining,
                            elapsed(began, work->m_deadline)));
    const auto waited = elapsed(began, m_time.now());
    if (waited > milliseconds(0) || !result.m_admitted)
        LOG(INFO) << "event=engine_place id=" << work->m_fields.m_id
                  << " rank=" << to_string(rank)
                  << " expected_ms=" << result.m_expected_wait.count()
                  << " waited_ms=" << waited.count()
                  << " limit=" << m_gate.limit()
                  << " waiting=" << m_gate.waiting()
                  << " admitted=" << (result.m_admitted ? 1 : 0);
    if (result.m_admitted)
    {
        work->m_holds_gate_slot = true;
        co_return std::nullopt;
    }
    settle(*work, 0);
    call_result out;
    out.m_response = refuse(
        *work, "no engine slot became free in time",
        retry_delay(result.m_expected_wait, hash64(work->m_fields.m_id)));
    co_return out;
}

task<bool> proxy::may_use_cold_runner(std::shared_ptr<call> work,
                                      runner_row target)
{
    if (target.m_cold_until <= m_time.now())
        co_return true;
    const auto found = work->m_config->m_services.find(target.m_info.m_service);
    const double per_s = found == work->m_config->m_services.end()
                             ? 0
                             : found->second.m_cold_requests_per_s;
    if (per_s <= 0)
        co_return true;
    const bool granted =
        m_cold_client != nullptr &&
        co_await m_cold_client->acquire(target.m_incarnation_hash, per_s);
    m_metrics.count(granted ? "cold_granted" : "cold_denied");
    LOG(INFO) << "event=cold_runner id=" << work->m_fields.m_id
              << " runner=" << target.m_info.m_id << " granted=" << granted
              << " cold_for_ms="
              << elapsed(m_time.now(), target.m_cold_until).count();
    co_return granted;
}

task<proxy::call_result>
proxy::forward(std::shared_ptr<caller_connection> caller,
               std::shared_ptr<call> work)
{
    const auto& route = *work->m_route;
    const auto shared_choice =
        std::make_shared<runner_query>(make_runner_choice(*work));
    auto& choice = *shared_choice;
    const bool engine = work->m_urgency.has_value();
    if (engine)
    {
        auto refused = co_await await_placement(work, shared_choice);
        if (!refused && placed_runner(*work, choice) == nullptr)
            refused = co_await wait_for_gate(work);
        if (refused)
            co_return std::move(*refused);
    }
    const auto relay = std::make_shared<stream_relay>(
        route.m_resumable, route.m_stateful, work->m_fields.m_last_event_id);
    relay->limit_events(max_events_of(*work));
    const auto sink = make_sink(caller, work, relay);
    attempt_progress state;
    attempt_result last_result;
    while (true)
    {
        const bool timed_out = work->m_aborter->cause() != abort_cause::none ||
                               m_time.now() >= work->m_deadline ||
                               !config_is_fresh(*work);
        choice.m_random_tiebreak = ++m_random_value;
        bool may_go_on = !timed_out && state.m_refusals < max_refusals;
        if (may_go_on && work->m_possible_runs > 0)
            may_go_on = co_await request_retry_quota(work);
        if (may_go_on && !choice.m_excluded.empty())
            co_await request_other_placement(work, shared_choice);
        const auto* row = may_go_on ? placed_runner(*work, choice) : nullptr;
        if (may_go_on && row == nullptr)
            row = choose_apart(*work, choice);
        const auto target = row != nullptr ? *row : runner_row{};
        if (row != nullptr && !co_await may_use_cold_runner(work, target))
        {
            choice.m_excluded.insert(target.m_info.m_id);
            choice.m_warm_only = ++state.m_cold_denials >= max_cold_denials;
            continue;
        }
        if (row != nullptr)
        {
            const bool claimed = co_await claim_run(work, target);
            if (!claimed)
                row = nullptr;
        }
        if (row == nullptr)
            log_no_runner(*work, choice, state, !timed_out && !may_go_on);
        if (row == nullptr && relay->started())
            co_return co_await finish_stream(caller, work, last_result, *relay);
        if (row == nullptr)
            co_return finish_without_response(*work, state, timed_out);
        choice.m_excluded.insert(target.m_info.m_id);
        state.m_may_retry = may_retry(*work, state);
        const auto events_before = relay->events().complete_events();
        auto result = co_await attempt(work, target, state.m_may_retry,
                                       relay->last_event(), sink);
        report_placement(*work, result,
                         relay->events().complete_events() - events_before);
        co_await settle_run(work, target, result);
        work->m_attempt_cause = to_string(result.m_outcome);
        if (result.m_out_of_memory && !relay->started())
            co_return refuse_for_memory(*work, state);
        const bool run_lost = result.m_outcome == attempt_outcome::unknown;
        if (relay->started() && result.m_outcome == attempt_outcome::not_run)
        {
            ++state.m_refusals;
            continue;
        }
        if (relay->started() && run_lost && state.m_may_retry &&
            relay->can_resume())
        {
            ++state.m_possible_runs;
            relay->discard_partial_event();
            last_result = std::move(result);
            work->m_attempt_cause = "resumed";
            m_metrics.count("streams_resumed");
            LOG(INFO) << "event=stream_resumed id=" << work->m_fields.m_id
                      << " runner=" << work->m_runner
                      << " after_event=" << relay->last_event().value_or(0)
                      << " reason=\"" << last_result.m_reason << '"';
            continue;
        }
        if (relay->started())
        {
            if (!result.m_streamed)
                result.m_outcome = attempt_outcome::unknown;
            co_return co_await finish_stream(caller, work, result, *relay);
        }
        if (auto done = evaluate_attempt(*work, state, std::move(result)))
            co_return std::move(*done);
    }
}

} // namespace pepperturn
