// SPDX-License-Identifier: BSL-1.0
// Attempts of one request: which runner, what its end means, whether another
// one follows.
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/home_regions.hpp"
#include "pepperturn/scheduling/refusal.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Runners that may refuse one request before it is refused itself; each
/// costs a round trip.
constexpr unsigned most_refusals = 4;
/// Cold runners that may have no room for one call before it keeps to warm
/// ones: each question costs a round trip or two.
constexpr unsigned most_cold_denials = 2;
/// The most urgent routes go in front of the engines' default of 5.
constexpr std::uint32_t first_urgency = 3;
constexpr std::uint32_t lowest_priority = 6;
/// An idempotent request moves on to another runner after this many times
/// its objective: slow ones are done by then, hung ones never are.
constexpr int patience_factor = 2;
constexpr unsigned first_server_error = 500;
/// A stream that may be resumed moves on after this many times what its
/// route's first events usually take: under a burst all engines are slow,
/// and moving would have the prompt read once more.
constexpr int first_event_factor = 4;
/// Pauses of this many times the route's target mean that the runner hangs;
/// engines that put a run back for want of memory pause for less.
constexpr int gap_factor = 4;

} // namespace

std::string proxy::pick_service(const call& work) const
{
    const auto& parts = work.m_route->m_services;
    if (parts.size() == 1)
        return parts.front().m_service;
    // A turn stays with the service that has its prefix.
    if (const auto* kept = m_runners.find_incarnation(work.m_preferred))
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
    double draw =
        static_cast<double>(hash64(work.m_fields.m_id)) / hash_range * sum;
    for (const auto& part : parts)
    {
        draw -= part.m_weight;
        if (draw < 0)
            return part.m_service;
    }
    return parts.empty() ? std::string{} : parts.back().m_service;
}

proxy::verdict proxy::give_up(call& work, progress& state, bool given_up)
{
    verdict out;
    settle(work, 0);
    const auto cause = work.m_aborter->cause();
    if (cause == abort_cause::caller_left || cause == abort_cause::not_read)
    {
        if (cause == abort_cause::caller_left)
            work.m_why += "caller left";
        out.m_cut = true;
    }
    else if (state.m_reserve)
        out.m_answer = std::move(state.m_reserve);
    else if (state.m_may_have_run > 0)
        out.m_answer = fail(work, given_up ? 504 : 502, "no whole answer");
    else if (!fresh_enough(work))
        out.m_answer = refuse_stale(work);
    else
        out.m_answer = refuse(work, given_up ? "timeout" : "no runner took it",
                              state.m_come_back.value_or(come_back_soon));
    return out;
}

proxy::verdict proxy::refuse_for_memory(call& work, progress& state)
{
    m_memory.note_refused();
    if (state.m_may_have_run > 0)
        return give_up(work, state, false);
    settle(work, 0);
    verdict out;
    out.m_answer = refuse(work, "no memory for its answer", come_back_later);
    return out;
}

std::optional<proxy::verdict> proxy::judge(call& work, progress& state,
                                           attempt_result result)
{
    verdict out;
    switch (result.m_outcome)
    {
    case attempt_outcome::answered:
        if (state.m_may_repeat &&
            result.m_answer.m_status >= first_server_error)
        {
            // Another runner may do better; this answer stays in reserve.
            ++state.m_may_have_run;
            state.m_reserve = std::move(result.m_answer);
            return std::nullopt;
        }
        settle(work, 0);
        out.m_answer = std::move(result.m_answer);
        return out;
    case attempt_outcome::not_run:
        ++state.m_refusals;
        if (result.m_retry_after)
            state.m_come_back =
                std::min(*result.m_retry_after, come_back_later);
        return std::nullopt;
    case attempt_outcome::unknown:
        ++state.m_may_have_run;
        if (state.m_may_repeat)
            return std::nullopt;
        settle(work, 0);
        out.m_answer = state.m_reserve ? std::move(*state.m_reserve)
                                       : fail(work, 502, result.m_reason);
        return out;
    case attempt_outcome::aborted:
        // Whoever gave it up decides what is answered.
        ++state.m_may_have_run;
        return std::nullopt;
    }
    return std::nullopt;
}

runner_choice proxy::begin_choice(call& work) const
{
    runner_choice choice;
    choice.m_service = pick_service(work);
    choice.m_preferred = work.m_preferred;
    choice.m_availability_zone = m_availability_zone;
    choice.m_regions = home_regions(*work.m_route, work.m_workspace);
    const auto found = work.m_config->m_services.find(choice.m_service);
    if (found != work.m_config->m_services.end() && found->second.m_engine)
    {
        work.m_tokens_per_event = found->second.m_engine->m_tokens_per_event;
        auto priority = work.m_route->m_priority;
        if (work.m_workspace != nullptr)
            priority = work.m_workspace->m_priority.value_or(priority);
        work.m_urgency = first_urgency + std::min(priority, lowest_priority);
        // The last part is the conversation's own.
        const auto& parts = work.m_fields.m_prompt_parts;
        if (parts.size() > 1)
            choice.m_shared_part = parts.front().m_id;
        // No preference for open connections: a conversation stays where it
        // begins, and its memory there is worth more than a connect.
        return choice;
    }
    choice.m_connected = [this](const std::string& id) {
        return m_pool.has_idle(id);
    };
    return choice;
}

std::optional<milliseconds> proxy::take_try(const route& route)
{
    m_tries = earn_try(m_tries);
    const auto found = m_answer_times.find(route.m_name);
    if (found == m_answer_times.end() || !may_try_again(m_tries))
        return std::nullopt;
    const auto wait = second_try_wait(found->second);
    if (!wait || *wait >= patience_factor * route.m_target_latency)
        return std::nullopt;
    m_tries = spend_try(m_tries);
    return wait;
}

void proxy::note_try(const route& route, std::optional<milliseconds> wait,
                     const attempt_result& result)
{
    const bool hung =
        result.m_outcome == attempt_outcome::unknown && result.m_late;
    if (wait && hung)
        m_metrics.count("second_tries");
    else if (wait)
        m_tries = return_try(m_tries);
    // What hangs says nothing of how long answers take.
    if (route.m_kind == route_kind::idempotent && result.m_first_byte)
    {
        auto& times = m_answer_times[route.m_name];
        times = add_answer(times, *result.m_first_byte);
    }
}

task<attempt_result> proxy::attempt(std::shared_ptr<call> work,
                                    runner_row target, bool may_repeat,
                                    std::optional<std::uint64_t> last_event,
                                    stream_sink sink)
{
    const auto& route = *work->m_route;
    const auto& runner = target.m_info;
    ++work->m_attempts;
    work->m_runner = target.m_incarnation;
    const auto sent_at = m_time.now();
    std::optional<instant> give_up_at;
    std::optional<milliseconds> first_patience;
    std::optional<milliseconds> gap_patience;
    if (may_repeat && route.m_resumable)
    {
        first_patience = std::max(patience_factor * route.m_target_latency,
                                  first_event_factor *
                                      m_runners.usual_first_byte(route.m_name));
        gap_patience =
            gap_factor * std::max(route.m_target_gap, route.m_target_latency);
    }
    else if (may_repeat)
    {
        give_up_at =
            std::min(work->m_deadline,
                     sent_at + patience_factor * route.m_target_latency);
        first_patience = take_try(route);
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
        give_up_at,
        work->m_urgency,
        last_event,
        first_patience,
        gap_patience,
        work->m_config->m_directory.has_value(),
        work->m_workspace != nullptr ? work->m_workspace->m_name
                                     : std::string{},
        [this, work] { return fresh_enough(*work); },
        work,
        work->m_held,
        [this, work](std::uint64_t bytes) -> task<bool> {
            return m_memory.wait_for_room(work->m_held, bytes);
        }};
    auto result = co_await run_attempt(m_io, m_time, m_pool, m_runners, m_names,
                                       runner, request, sink, work->m_aborter);
    if (!route.m_resumable)
        note_try(route, first_patience, result);
    work->m_runs += result.m_outcome == attempt_outcome::not_run ? 0 : 1;
    result.m_took = elapsed(sent_at, m_time.now());
    const double load =
        static_cast<double>(target.m_in_flight) / runner.m_slots;
    LOG(INFO) << "event=attempt id=" << work->m_fields.m_id
              << " runner=" << runner.m_id << " service=" << runner.m_service
              << " load=" << load << " preferred=" << work->m_preferred
              << " place=" << to_string(work->m_place.m_answer.m_outcome)
              << " place_load=" << work->m_place.m_answer.m_under_way
              << " cached=" << work->m_place.m_answer.m_cached_tokens
              << " prompt=" << work->m_fields.m_prompt_tokens
              << " expected_ms=" << work->m_place.m_answer.m_expected_ms
              << " outcome=" << to_string(result.m_outcome) << " first_byte_ms="
              << result.m_first_byte.value_or(milliseconds(-1)).count()
              << " ms=" << result.m_took.count() << " reason=\""
              << result.m_reason << '"';
    if (work->m_has_place && result.m_first_byte)
        m_gate.note_call(route.m_name, *result.m_first_byte,
                         result.m_took - *result.m_first_byte);
    m_metrics.count(std::string("attempts_") + to_string(result.m_outcome));
    co_return result;
}

stream_sink proxy::make_sink(const std::shared_ptr<caller_connection>& caller,
                             const std::shared_ptr<call>& work,
                             const std::shared_ptr<stream_relay>& relay)
{
    const auto tell_taken = [caller, work](bool taken) {
        if (!taken && caller->cut_unread())
            work->m_aborter->pull(abort_cause::not_read);
        return taken;
    };
    stream_sink sink;
    sink.m_begin = [=, this](const upstream_answer& head) -> task<bool> {
        // A run that goes on from another keeps the first one's head.
        if (relay->begun())
            co_return true;
        relay->note_begun();
        const bool taken = co_await caller->begin_stream(
            head, work->m_keep_alive && !m_draining);
        co_return tell_taken(taken);
    };
    sink.m_data = [=](std::string_view bytes) -> task<bool> {
        const auto whole = relay->take(bytes);
        if (whole.empty())
            co_return true;
        const bool taken = co_await caller->write_piece(whole);
        co_return tell_taken(taken);
    };
    return sink;
}

bool proxy::may_repeat(const call& work, const progress& state)
{
    const auto& route = *work.m_route;
    return (route.m_kind == route_kind::idempotent || route.m_resumable) &&
           state.m_may_have_run + 1 < route.m_max_attempts;
}

call_rank proxy::rank_of(const call& work) const
{
    const auto left = work.m_fields.m_program_left;
    if (left && elapsed(work.m_arrived, m_time.now()) >= *left)
        return call_rank::late;
    return work.m_goes_on ? call_rank::under_way : call_rank::first;
}

task<std::optional<proxy::verdict>>
proxy::wait_for_place(std::shared_ptr<call> work)
{
    const auto asked = m_time.now();
    const auto rank = rank_of(*work);
    const auto result = co_await m_gate.enter(
        rank, wait_patience(rank, work->m_fields.m_program_left,
                            elapsed(asked, work->m_deadline)));
    const auto waited = elapsed(asked, m_time.now());
    if (waited > milliseconds(0) || !result.m_admitted)
        LOG(INFO) << "event=engine_place id=" << work->m_fields.m_id
                  << " rank=" << to_string(rank)
                  << " expected_ms=" << result.m_expected.count()
                  << " waited_ms=" << waited.count()
                  << " limit=" << m_gate.limit()
                  << " waiting=" << m_gate.waiting()
                  << " admitted=" << (result.m_admitted ? 1 : 0);
    if (result.m_admitted)
    {
        work->m_has_place = true;
        co_return std::nullopt;
    }
    settle(*work, 0);
    verdict out;
    out.m_answer =
        refuse(*work, "engines have no room",
               come_back_after(result.m_expected, hash64(work->m_fields.m_id)));
    co_return out;
}

task<bool> proxy::may_use_cold(std::shared_ptr<call> work, runner_row target)
{
    if (target.m_cold_until <= m_time.now())
        co_return true;
    const auto found = work->m_config->m_services.find(target.m_info.m_service);
    const double per_s = found == work->m_config->m_services.end()
                             ? 0
                             : found->second.m_cold_per_s;
    if (per_s <= 0)
        co_return true;
    const bool granted =
        m_cold != nullptr && co_await m_cold->take(target.m_hash, per_s);
    m_metrics.count(granted ? "cold_granted" : "cold_denied");
    LOG(INFO) << "event=cold_runner id=" << work->m_fields.m_id
              << " runner=" << target.m_info.m_id << " granted=" << granted
              << " cold_for_ms="
              << elapsed(m_time.now(), target.m_cold_until).count();
    co_return granted;
}

task<proxy::verdict> proxy::forward(std::shared_ptr<caller_connection> caller,
                                    std::shared_ptr<call> work)
{
    const auto& route = *work->m_route;
    const auto shared_choice =
        std::make_shared<runner_choice>(begin_choice(*work));
    auto& choice = *shared_choice;
    const bool engine = work->m_urgency.has_value();
    if (engine)
    {
        auto refused = co_await await_place(work, shared_choice);
        if (!refused && placed_runner(*work, choice) == nullptr)
            refused = co_await wait_for_place(work);
        if (refused)
            co_return std::move(*refused);
    }
    const auto relay = std::make_shared<stream_relay>(
        route.m_resumable, route.m_stateful, work->m_fields.m_last_event);
    const auto sink = make_sink(caller, work, relay);
    progress state;
    attempt_result cut;
    while (true)
    {
        const bool given_up = work->m_aborter->cause() != abort_cause::none ||
                              m_time.now() >= work->m_deadline ||
                              !fresh_enough(*work);
        choice.m_draw = ++m_draw;
        bool may_go_on = !given_up && state.m_refusals < most_refusals;
        if (may_go_on && work->m_runs > 0)
            may_go_on = co_await take_another_grant(work);
        if (may_go_on && !choice.m_excluded.empty())
            co_await move_place(work, shared_choice);
        const auto* row = may_go_on ? placed_runner(*work, choice) : nullptr;
        if (may_go_on && row == nullptr)
            row = m_runners.choose(choice, m_time.now());
        const auto target = row != nullptr ? *row : runner_row{};
        if (row != nullptr && !co_await may_use_cold(work, target))
        {
            choice.m_excluded.insert(target.m_info.m_id);
            choice.m_warm_only = ++state.m_cold_denied >= most_cold_denials;
            continue;
        }
        if (row == nullptr && relay->begun())
            co_return co_await finish_stream(caller, work, cut, *relay);
        if (row == nullptr)
            co_return give_up(*work, state, given_up);
        choice.m_excluded.insert(target.m_info.m_id);
        state.m_may_repeat = may_repeat(*work, state);
        const auto events_before = relay->events().whole_events();
        auto result = co_await attempt(work, target, state.m_may_repeat,
                                       relay->last_event(), sink);
        end_place(*work, result,
                  relay->events().whole_events() - events_before);
        if (result.m_no_memory && !relay->begun())
            co_return refuse_for_memory(*work, state);
        const bool cut_off = result.m_outcome == attempt_outcome::unknown;
        if (relay->begun() && result.m_outcome == attempt_outcome::not_run)
        {
            ++state.m_refusals;
            continue;
        }
        if (relay->begun() && cut_off && state.m_may_repeat)
        {
            ++state.m_may_have_run;
            relay->drop_rest();
            cut = std::move(result);
            m_metrics.count("streams_resumed");
            LOG(INFO) << "event=stream_resumed id=" << work->m_fields.m_id
                      << " runner=" << work->m_runner
                      << " after_event=" << relay->last_event().value_or(0)
                      << " reason=\"" << cut.m_reason << '"';
            continue;
        }
        if (relay->begun())
        {
            if (!result.m_streamed)
                result.m_outcome = attempt_outcome::unknown;
            co_return co_await finish_stream(caller, work, result, *relay);
        }
        if (auto done = judge(*work, state, std::move(result)))
            co_return std::move(*done);
    }
}

task<proxy::verdict>
proxy::finish_stream(std::shared_ptr<caller_connection> caller,
                     std::shared_ptr<call> work, const attempt_result& result,
                     stream_relay& relay)
{
    verdict out;
    const bool whole = result.m_outcome == attempt_outcome::answered;
    const std::string rest = whole ? relay.take_rest() : std::string{};
    if (!rest.empty())
    {
        const bool taken = co_await caller->write_piece(rest);
        out.m_cut = !taken;
    }
    const auto& events = relay.events();
    const auto count_tokens = [&](std::uint32_t count) {
        return std::min(
            count * work->m_tokens_per_event,
            std::max(work->m_fields.m_most_tokens, work->m_tokens_per_event));
    };
    if (!whole)
    {
        // The end is left out, so that what came does not look whole.
        settle(*work, count_tokens(events.begun_events()));
        work->m_why += "stream cut: " + result.m_reason;
        out.m_cut = true;
        co_return out;
    }
    if (work->m_route->m_stateful)
    {
        turn_record turn;
        turn.m_id = scoped_id(work->m_workspace, work->m_fields.m_id);
        turn.m_parent =
            scoped_id(work->m_workspace, work->m_fields.m_parent_turn);
        turn.m_input = work->m_request.body();
        turn.m_output = events.data();
        turn.m_runner = work->m_runner;
        turn.m_program = work->m_begin.m_program;
        turn.m_attempt = work->m_begin.m_attempt;
        turn.m_tokens = count_tokens(events.whole_events());
        work->m_reserved = false;
        log_entry entry{work->m_begin.m_retention_ms, std::move(turn)};
        if (!co_await m_turns.keep(std::move(entry), work->m_deadline))
        {
            work->m_why += "turn not kept";
            out.m_cut = true;
            co_return out;
        }
    }
    else
        settle(*work, count_tokens(events.whole_events()));
    // Callers count a turn from here on.
    if (!out.m_cut)
        out.m_cut = !co_await caller->end_stream();
    co_return out;
}

} // namespace pepperturn
