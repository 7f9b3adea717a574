// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/proxy.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How long a turn waits for the storage VMs before it is refused: they
/// answer within milliseconds, a restarted one within a second.
constexpr milliseconds begin_patience{1500};
/// Refused requests come back after this: long enough for a slot to free up,
/// a fraction of the usual objective.
constexpr milliseconds come_back_soon{60};
constexpr milliseconds come_back_later{250};
/// A VM that has just started hears of the world within some tenths of a
/// second; what comes before that waits for it rather than being refused.
constexpr milliseconds start_patience{1200};
constexpr milliseconds start_hold{500};
constexpr milliseconds start_check{15};
/// Without any configuration the VM has just started and the platform's
/// store is away: that takes a second or more.
constexpr milliseconds come_back_configured{1000};
/// Runners that may refuse one request before it is refused itself; each
/// costs a round trip.
constexpr unsigned most_refusals = 4;
/// The most urgent routes go in front of the engines' default of 5.
constexpr std::uint32_t first_urgency = 3;
constexpr std::uint32_t last_urgency = 9;
constexpr milliseconds drain_retry{100};
/// An idempotent request moves on to another runner after this many times
/// its objective: slow ones are done by then, hung ones never are.
constexpr int patience_factor = 2;
constexpr unsigned first_server_error = 500;

milliseconds elapsed(instant from, instant to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

std::string seconds_text(milliseconds span)
{
    constexpr double ms_per_s = 1000;
    std::string text =
        std::to_string(static_cast<double>(span.count()) / ms_per_s);
    return text.substr(0, text.find('.') + 4);
}

} // namespace

proxy::proxy(asio::io_context& io, const clock& time, wire_names names,
             std::string availability_zone, turn_client& turns)
    : m_io(io), m_time(time), m_names(std::move(names)),
      m_availability_zone(std::move(availability_zone)), m_turns(turns),
      m_acceptor(io), m_pool(io, time), m_started(time.now())
{}

bool proxy::listen(const tcp::endpoint& at, std::string& reason)
{
    if (!open_listener(m_acceptor, at, reason))
        return false;
    spawn(m_io, "proxy.accept", accept_callers());
    return true;
}

bool proxy::take_config(routing_config config)
{
    if (m_config && config.m_version <= m_config->m_version)
    {
        LOG(WARNING) << "event=config_refused version=" << config.m_version
                     << " in_force=" << m_config->m_version;
        return false;
    }
    LOG(INFO) << "event=config_taken version=" << config.m_version
              << " routes=" << config.m_routes.size()
              << " services=" << config.m_services.size();
    m_config = std::make_shared<const routing_config>(std::move(config));
    return true;
}

void proxy::take_runners(const std::vector<runner_info>& runners)
{
    m_runners.replace(runners);
    m_pool.retain([this](const std::string& id) {
        const auto* row = m_runners.find(id);
        return row != nullptr && !row->m_info.m_draining;
    });
}

void proxy::begin_drain()
{
    m_draining = true;
}

void proxy::stop_accepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void proxy::close_idle()
{
    for (const auto& caller : std::set(m_callers))
        caller->close_if_idle();
}

task<> proxy::accept_callers()
{
    while (m_acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await m_acceptor.async_accept(into(ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
        {
            LOG(WARNING) << "event=accept_failed reason=\"" << ec.message()
                         << '"';
            co_await sleep_for(m_io, drain_retry);
            continue;
        }
        auto caller =
            std::make_shared<caller_connection>(m_io, std::move(socket));
        m_callers.insert(caller);
        spawn(m_io, "proxy.serve", serve(caller));
    }
}

task<> proxy::serve(std::shared_ptr<caller_connection> caller)
{
    while (true)
    {
        const auto limits = m_config ? m_config->m_limits : caller_limits{};
        auto read = co_await caller->read_request(limits);
        if (read.m_outcome == read_outcome::closed)
            break;
        if (read.m_outcome == read_outcome::refused)
        {
            LOG(INFO) << "event=request_refused status=" << read.m_status
                      << " reason=\"" << read.m_reason << '"';
            m_metrics.count("requests_malformed");
            const auto refusal = own_answer(read.m_status, read.m_reason);
            (void)co_await caller->write_answer(refusal, false);
            break;
        }
        ++m_active;
        const bool go_on =
            co_await serve_one(caller, std::move(read.m_request));
        --m_active;
        if (!go_on)
            break;
    }
    caller->close();
    m_callers.erase(caller);
}

task<bool> proxy::serve_one(std::shared_ptr<caller_connection> caller,
                            caller_request request)
{
    const auto work = std::make_shared<call>();
    work->m_request = std::move(request);
    work->m_fields = decode_fields(work->m_request, m_names);
    work->m_arrived = m_time.now();
    work->m_config = m_config;
    work->m_aborter = std::make_shared<abort_switch>();
    work->m_keep_alive = work->m_request.keep_alive();
    m_metrics.count("requests");
    auto result = co_await handle(caller, work);
    caller->stop_watching();
    const bool keep_alive = work->m_keep_alive && !m_draining && !result.m_cut;
    bool written = !result.m_cut;
    unsigned status = 0;
    if (result.m_answer)
    {
        status = result.m_answer->m_status;
        if (!work->m_fields.m_id.empty() &&
            result.m_answer->m_fields.count(m_names.m_request_id) == 0)
            result.m_answer->m_fields.set(m_names.m_request_id,
                                          work->m_fields.m_id);
        written = co_await caller->write_answer(*result.m_answer, keep_alive);
    }
    log_end(*work, status);
    co_return written&& keep_alive;
}

void proxy::log_end(const call& work, unsigned status)
{
    const auto took = elapsed(work.m_arrived, m_time.now());
    m_metrics.note_answer(took);
    m_metrics.count("answers_" + std::to_string(status));
    LOG(INFO) << "event=request_end id=" << work.m_fields.m_id
              << " program=" << work.m_fields.m_program << " route="
              << (work.m_route != nullptr ? work.m_route->m_name : "none")
              << " status=" << status << " runner=" << work.m_runner
              << " attempts=" << work.m_attempts << " took_ms=" << took.count()
              << " config=" << (work.m_config ? work.m_config->m_version : 0)
              << " why=\"" << work.m_why << '"';
}

upstream_answer proxy::refuse(call& work, const std::string& why,
                              milliseconds come_back)
{
    work.m_why += why;
    auto answer = own_answer(503, "not run: " + why + "\n");
    answer.m_fields.set(http::field::retry_after, seconds_text(come_back));
    return answer;
}

upstream_answer proxy::fail(call& work, unsigned status, const std::string& why)
{
    work.m_why += why;
    return own_answer(status, why + "\n");
}

task<> proxy::watch_deadline(std::shared_ptr<call> work)
{
    asio::steady_timer timer(m_io);
    timer.expires_at(work->m_deadline);
    const std::weak_ptr<abort_switch> aborter = work->m_aborter;
    work.reset();
    error_code ec;
    co_await timer.async_wait(into(ec));
    if (const auto alive = aborter.lock())
        alive->pull(abort_cause::timeout);
}

task<> proxy::wait_for(std::function<bool()> ready)
{
    const auto until =
        std::min(m_started + start_patience, m_time.now() + start_hold);
    while (!ready() && m_time.now() < until)
        co_await sleep_for(m_io, start_check);
}

task<proxy::verdict> proxy::handle(std::shared_ptr<caller_connection> caller,
                                   std::shared_ptr<call> work)
{
    verdict out;
    if (!work->m_config)
    {
        co_await wait_for([this] { return m_config != nullptr; });
        work->m_config = m_config;
    }
    if (!work->m_config)
    {
        out.m_answer =
            refuse(*work, "no configuration yet", come_back_configured);
        co_return out;
    }
    const auto target = work->m_request.target();
    work->m_route = find_route(*work->m_config, work->m_fields.m_host,
                               {target.data(), target.size()});
    if (work->m_route == nullptr)
    {
        out.m_answer = fail(*work, 404, "no route");
        co_return out;
    }
    const auto& route = *work->m_route;
    if (!work->m_fields.m_fault.empty())
    {
        out.m_answer = fail(*work, 400, std::string(work->m_fields.m_fault));
        co_return out;
    }
    work->m_deadline =
        work->m_arrived +
        std::min(route.m_timeout,
                 work->m_fields.m_deadline.value_or(route.m_timeout));
    spawn(m_io, "proxy.deadline", watch_deadline(work));
    // What may not be repeated runs on to its end: its effect cannot be
    // taken back, and its answer may be asked for.
    if (route.m_kind != route_kind::unrepeatable)
        caller->watch(work->m_aborter);
    // Callers that bring their whole history have a budget too.
    if (route.m_stateful || work->m_fields.m_token_budget)
    {
        out.m_answer = co_await begin_turn(work);
        if (out.m_answer)
            co_return out;
    }
    co_return co_await forward(caller, work);
}

task<std::optional<upstream_answer>>
proxy::begin_turn(std::shared_ptr<call> work)
{
    const auto& fields = work->m_fields;
    auto& begin = work->m_begin;
    begin.m_program = key_of(fields.m_program);
    begin.m_attempt = key_of(fields.m_id);
    begin.m_tokens = fields.m_most_tokens;
    begin.m_budget = fields.m_token_budget.value_or(UINT64_MAX);
    begin.m_retention_ms =
        static_cast<std::uint32_t>(work->m_route->m_retention.count());
    if (work->m_route->m_stateful)
        begin.m_parent = fields.m_parent_turn;
    if (begin.m_tokens > begin.m_budget)
    {
        work->m_why = "budget=" + std::to_string(begin.m_budget) + ' ';
        co_return fail(*work, 402, "budget is below one turn");
    }
    if (!m_turns.connected())
        co_await wait_for([this] { return m_turns.connected(); });
    if (!m_turns.connected())
    {
        // Cut off from all of them: the next VM that is tried may not be.
        work->m_keep_alive = false;
        co_return refuse(*work, "no storage VM is heard", come_back_soon);
    }
    work->m_reserved = true;
    auto result = co_await m_turns.begin(
        begin, std::min(work->m_deadline, m_time.now() + begin_patience));
    m_metrics.note_turn_begin(elapsed(work->m_arrived, m_time.now()));
    work->m_why = result.m_reason + ' ';
    if (result.m_outcome == begin_outcome::granted)
    {
        for (const auto& turn : result.m_chain)
        {
            work->m_body += turn.m_input;
            work->m_body += turn.m_output;
        }
        const auto home =
            find_prompt_home(fields.m_prompt_parts, result.m_places);
        if (!result.m_chain.empty())
            work->m_preferred = result.m_chain.back().m_runner;
        else if (const auto* row =
                     home ? m_runners.find_hashed(home->m_runner) : nullptr)
            work->m_preferred = row->m_info.m_id;
        work->m_body += work->m_request.body();
        co_return std::nullopt;
    }
    settle(*work, 0);
    if (result.m_outcome == begin_outcome::over_budget)
        co_return fail(*work, 402, "budget is spent");
    if (result.m_outcome == begin_outcome::no_such_turn)
        co_return fail(*work, 404, "no such turn");
    co_return refuse(*work, "storage", come_back_later);
}

prompt_place proxy::place_of(const call& work) const
{
    const auto& parts = work.m_fields.m_prompt_parts;
    const auto* row = m_runners.find(work.m_runner);
    // Plain services read no prompts.
    if (row == nullptr || parts.empty())
        return {};
    return {parts.back().m_id, work.m_fields.m_prompt_tokens, row->m_hash};
}

void proxy::settle(call& work, std::uint32_t tokens)
{
    if (!std::exchange(work.m_reserved, false))
        return;
    m_turns.settle(work.m_begin, tokens, place_of(work));
}

std::string proxy::pick_service(const call& work) const
{
    const auto& parts = work.m_route->m_services;
    if (parts.size() == 1)
        return parts.front().m_service;
    // A turn stays with the service that has its prefix.
    if (const auto* kept = m_runners.find(work.m_preferred))
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
    if (work.m_aborter->cause() == abort_cause::caller_left)
    {
        work.m_why += "caller left";
        out.m_cut = true;
    }
    else if (state.m_reserve)
        out.m_answer = std::move(state.m_reserve);
    else if (state.m_may_have_run > 0)
        out.m_answer = fail(work, given_up ? 504 : 502, "no whole answer");
    else
        out.m_answer = refuse(work, given_up ? "timeout" : "no runner took it",
                              state.m_come_back.value_or(come_back_soon));
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
    const auto found = work.m_config->m_services.find(choice.m_service);
    if (found != work.m_config->m_services.end() && found->second.m_engine)
    {
        work.m_tokens_per_event = found->second.m_engine->m_tokens_per_event;
        work.m_urgency =
            std::min(first_urgency + work.m_route->m_priority, last_urgency);
        // No preference for open connections: a conversation stays where it
        // begins, and its memory there is worth more than a connect.
        return choice;
    }
    choice.m_connected = [this](const std::string& id) {
        return m_pool.has_idle(id);
    };
    return choice;
}

task<attempt_result> proxy::attempt(std::shared_ptr<call> work,
                                    runner_row target, bool may_repeat,
                                    stream_sink sink)
{
    const auto& route = *work->m_route;
    const auto& runner = target.m_info;
    ++work->m_attempts;
    work->m_runner = runner.m_id;
    const auto sent_at = m_time.now();
    std::optional<instant> give_up_at;
    if (may_repeat)
        give_up_at =
            std::min(work->m_deadline,
                     sent_at + patience_factor * route.m_target_latency);
    const std::string_view body =
        route.m_stateful ? work->m_body : work->m_request.body();
    const attempt_request request{work->m_request,
                                  body,
                                  work->m_fields.m_id,
                                  route.m_name,
                                  route.m_kind == route_kind::stream,
                                  work->m_deadline,
                                  give_up_at,
                                  work->m_urgency};
    auto result = co_await run_attempt(m_io, m_time, m_pool, m_runners, m_names,
                                       runner, request, sink, work->m_aborter);
    const double load =
        static_cast<double>(target.m_in_flight) / runner.m_slots;
    LOG(INFO) << "event=attempt id=" << work->m_fields.m_id
              << " runner=" << runner.m_id << " service=" << runner.m_service
              << " load=" << load << " preferred=" << work->m_preferred
              << " outcome=" << to_string(result.m_outcome)
              << " ms=" << elapsed(sent_at, m_time.now()).count()
              << " reason=\"" << result.m_reason << '"';
    m_metrics.count(std::string("attempts_") + to_string(result.m_outcome));
    co_return result;
}

task<proxy::verdict> proxy::forward(std::shared_ptr<caller_connection> caller,
                                    std::shared_ptr<call> work)
{
    const auto& route = *work->m_route;
    auto choice = begin_choice(*work);
    event_reader events(route.m_stateful);
    stream_sink sink;
    sink.m_begin = [&](const upstream_answer& head) -> task<bool> {
        co_return co_await caller->begin_stream(head, work->m_keep_alive &&
                                                          !m_draining);
    };
    sink.m_data = [&](std::string_view bytes) -> task<bool> {
        events.take(bytes);
        co_return co_await caller->write_piece(bytes);
    };
    progress state;
    while (true)
    {
        const bool given_up = work->m_aborter->cause() != abort_cause::none ||
                              m_time.now() >= work->m_deadline;
        choice.m_draw = ++m_draw;
        const auto* row = given_up || state.m_refusals >= most_refusals
                              ? nullptr
                              : m_runners.choose(choice, m_time.now());
        if (row == nullptr)
            co_return give_up(*work, state, given_up);
        choice.m_excluded.insert(row->m_info.m_id);
        state.m_may_repeat = route.m_kind == route_kind::idempotent &&
                             state.m_may_have_run + 1 < route.m_max_attempts;
        auto result = co_await attempt(work, *row, state.m_may_repeat, sink);
        if (result.m_streamed)
            co_return co_await finish_stream(caller, work, result, events);
        if (auto done = judge(*work, state, std::move(result)))
            co_return std::move(*done);
    }
}

task<proxy::verdict>
proxy::finish_stream(std::shared_ptr<caller_connection> caller,
                     std::shared_ptr<call> work, const attempt_result& result,
                     const event_reader& events)
{
    verdict out;
    const auto count_tokens = [&](std::uint32_t count) {
        return std::min(
            count * work->m_tokens_per_event,
            std::max(work->m_fields.m_most_tokens, work->m_tokens_per_event));
    };
    if (result.m_outcome != attempt_outcome::answered)
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
        turn.m_id = work->m_fields.m_id;
        turn.m_parent = work->m_fields.m_parent_turn;
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
    out.m_cut = !co_await caller->end_stream();
    co_return out;
}

} // namespace pepperturn
