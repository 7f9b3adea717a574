// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/stream_relay.hpp"

#include <utility>

namespace pepperturn {

namespace {

/// Bytes that each piece counts for besides its own: a run of tiny pieces costs
/// the processor as much as one of long ones.
constexpr std::size_t piece_cost = 64;

} // namespace

stream_relay::stream_relay(bool resumable, bool collect_data,
                           std::optional<std::uint64_t> last_event)
    : m_resumable(resumable), m_last_event(last_event), m_events(collect_data)
{}

std::string stream_relay::consume(std::string_view bytes)
{
    const auto events_before = m_events.complete_events();
    std::string out;
    if (m_resumable)
    {
        const auto complete = m_boundary.consume(bytes);
        if (complete > 0)
            out = std::exchange(m_pending, {});
        out += bytes.substr(0, complete);
        m_pending += bytes.substr(complete);
        m_run_rejected = m_run_rejected || !continues(out);
        if (m_run_rejected)
            return {};
    }
    else
        out = bytes;
    m_events.consume(out);
    if (m_events.complete_events() > events_before)
        m_open_bytes = 0;
    m_open_bytes += bytes.size() + piece_cost;
    return out;
}

bool stream_relay::endless() const
{
    return m_open_bytes > max_event_bytes ||
           m_events.complete_events() > m_max_events ||
           m_events.data().size() > max_turn_output_bytes;
}

std::size_t stream_relay::held_bytes() const
{
    return m_pending.size() + m_events.held_bytes();
}

std::string stream_relay::flush()
{
    m_events.consume(m_pending);
    return std::exchange(m_pending, {});
}

bool stream_relay::continues(std::string_view events)
{
    if (!m_awaits_continuation)
        return true;
    event_reader first(false);
    for (const char& byte : events)
    {
        first.consume({&byte, 1});
        m_awaits_continuation =
            !first.last_id() && !first.last_event_unnumbered();
        if (!m_awaits_continuation)
            return first.last_id() > last_event();
    }
    return true;
}

void stream_relay::discard_partial_event()
{
    m_event_discarded =
        m_event_discarded || (!m_run_rejected && !m_pending.empty());
    m_pending.clear();
    m_boundary = {};
    m_open_bytes = 0;
    m_run_rejected = false;
    m_events_before_run = m_events.complete_events();
    // A caller's own id is the caller's to compare.
    m_awaits_continuation = m_events.last_id().has_value();
}

bool stream_relay::continuation_missing() const
{
    if (m_events.complete_events() > m_events_before_run)
        return false;
    return m_pending.empty() ? m_event_discarded : m_awaits_continuation;
}

std::optional<std::uint64_t> stream_relay::last_event() const
{
    return m_events.last_id() ? m_events.last_id() : m_last_event;
}

bool stream_relay::can_resume() const
{
    return !m_events.last_event_unnumbered();
}

} // namespace pepperturn
