// SPDX-License-Identifier: BSL-1.0
// Streams: forwarded to the caller as they arrive, and stored or settled at
// their end.
#include "pepperturn/forward/proxy.hpp"

#include <algorithm>

namespace pepperturn {

std::uint32_t proxy::max_events_of(const call& work)
{
    // Some runners send events that hold no tokens.
    constexpr std::uint64_t margin = 64;
    const std::uint64_t tokens = work.m_fields.m_max_tokens;
    if (tokens == 0 || work.m_tokens_per_event == 0)
        return UINT32_MAX;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        2 * tokens / work.m_tokens_per_event + margin, UINT32_MAX));
}

stream_sink proxy::make_sink(const std::shared_ptr<caller_connection>& caller,
                             const std::shared_ptr<call>& work,
                             const std::shared_ptr<stream_relay>& relay)
{
    const auto check_taken = [caller, work](bool written) {
        if (!written && caller->write_aborted())
            work->m_aborter->abort(abort_cause::not_read);
        return written;
    };
    stream_sink sink;
    sink.m_begin = [=, this](const upstream_response& head) -> task<bool> {
        // A run that resumes another one keeps the first run's head.
        if (relay->started())
            co_return true;
        relay->mark_started();
        const bool written = co_await caller->begin_stream(
            head, work->m_keep_alive && !m_draining);
        co_return check_taken(written);
    };
    sink.m_data = [=, this](std::string_view bytes) -> task<sink_result> {
        const auto complete = relay->consume(bytes);
        if (relay->run_rejected())
        {
            m_metrics.count("streams_not_continued");
            co_return sink_result::not_continued;
        }
        if (relay->endless())
        {
            m_metrics.count("endless_responses");
            co_return sink_result::endless;
        }
        if (!work->m_buffered->set(buffer_kind::response, relay->held_bytes()))
            co_return sink_result::too_long;
        if (complete.empty())
            co_return sink_result::accepted;
        const bool written = co_await caller->write_chunk(complete);
        co_return check_taken(written) ? sink_result::accepted
                                       : sink_result::caller_disconnected;
    };
    sink.m_end = [=, this] {
        if (!relay->continuation_missing())
            return sink_result::accepted;
        m_metrics.count("streams_not_continued");
        return sink_result::not_continued;
    };
    return sink;
}

task<proxy::call_result>
proxy::finish_stream(std::shared_ptr<caller_connection> caller,
                     std::shared_ptr<call> work, const attempt_result& result,
                     stream_relay& relay)
{
    call_result out;
    const bool complete = result.m_outcome == attempt_outcome::answered;
    const std::string rest = complete ? relay.flush() : std::string{};
    if (!rest.empty())
    {
        const bool written = co_await caller->write_chunk(rest);
        out.m_aborted = !written;
    }
    const auto& events = relay.events();
    const auto count_tokens = [&](std::uint32_t count) {
        return std::min(
            count * work->m_tokens_per_event,
            std::max(work->m_fields.m_max_tokens, work->m_tokens_per_event));
    };
    if (!complete)
    {
        // The last chunk is omitted, so that the stream does not look complete.
        settle(*work, count_tokens(events.started_events()));
        work->m_reason += "stream aborted: " + result.m_reason;
        out.m_aborted = true;
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
        turn.m_tokens = count_tokens(events.complete_events());
        turn.m_ancestors = work->m_ancestors;
        work->m_budget_reserved = false;
        log_entry entry{work->m_begin.m_retention_ms, std::move(turn)};
        const auto began = m_time.now();
        const bool stored =
            co_await m_turns.store(std::move(entry), work->m_deadline);
        m_metrics.record_turn_store(elapsed(began, m_time.now()));
        m_metrics.count(stored ? "turns_stored" : "turns_not_stored");
        if (!stored)
        {
            work->m_reason += "the storage VMs did not store the turn";
            work->m_not_stored = true;
            out.m_aborted = true;
            co_return out;
        }
    }
    else
        settle(*work, count_tokens(events.complete_events()));
    // Callers treat the turn as stored from here on.
    if (!out.m_aborted)
        out.m_aborted = !co_await caller->end_stream();
    co_return out;
}

} // namespace pepperturn
