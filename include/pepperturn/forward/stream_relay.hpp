// SPDX-License-Identifier: BSL-1.0
/// \file
/// State of a stream that is relayed to a caller over one run or several:
/// which bytes may be forwarded, and after which event the next run resumes.
#pragma once

#include "pepperturn/forward/event_boundary.hpp"
#include "pepperturn/forward/event_reader.hpp"

#include <optional>

namespace pepperturn {

/// Largest event, and the most that may stand between two events, in bytes.
constexpr std::size_t max_event_bytes = 256U << 10U;
/// Largest data of all events of a turn, in bytes: it is stored in one record.
constexpr std::size_t max_turn_output_bytes = 4U << 20U;

class stream_relay
{
public:
    /// \param resumable an aborted run may be followed by another, so only
    /// complete events are forwarded
    /// \param collect_data collect the events' data
    /// \param last_event id of the last event that the caller has received
    stream_relay(bool resumable, bool collect_data,
                 std::optional<std::uint64_t> last_event);

    /// The head has been sent to the caller.
    void mark_started()
    {
        m_started = true;
    }
    [[nodiscard]] bool started() const
    {
        return m_started;
    }

    /// \returns what may be forwarded after \p bytes have been received;
    /// nothing of a run that \ref run_rejected
    [[nodiscard]] std::string consume(std::string_view bytes);
    /// The run was to continue the events forwarded before, and does not:
    /// forwarding it would repeat some, or join two responses. Ids of a stream
    /// rise.
    [[nodiscard]] bool run_rejected() const
    {
        return m_run_rejected;
    }
    /// Once the run has ended completely: whether it has no events, although
    /// there are more or it has other bytes.
    [[nodiscard]] bool continuation_missing() const;
    /// \returns the remaining bytes, once the run has ended completely
    [[nodiscard]] std::string flush();
    /// The run was aborted: discards the bytes of an incomplete event.
    void discard_partial_event();

    /// Id of the event after which the next run resumes; empty: it starts over.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const;
    /// Whether another run can go on from what was forwarded: an event without
    /// an id cannot be named to it.
    [[nodiscard]] bool can_resume() const;
    [[nodiscard]] const event_reader& events() const
    {
        return m_events;
    }
    /// At most this many events make a response; before the call, any number.
    void limit_events(std::uint32_t max_events)
    {
        m_max_events = max_events;
    }
    /// The current run sends what cannot become a response: bytes that no event
    /// ends, or more events or data than it may have.
    [[nodiscard]] bool endless() const;
    /// Bytes of the response that are held here.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    [[nodiscard]] bool continues(std::string_view events);

    bool m_resumable;
    bool m_started = false;
    /// No event of the current run has arrived, and its id is to be checked.
    bool m_awaits_continuation = false;
    bool m_run_rejected = false;
    /// An earlier run broke off inside an event.
    bool m_event_discarded = false;
    /// Events that were forwarded of earlier runs.
    std::uint32_t m_events_before_run = 0;
    std::optional<std::uint64_t> m_last_event;
    std::string m_pending;
    std::uint32_t m_max_events = UINT32_MAX;
    /// Bytes since the last event that ended.
    std::size_t m_open_bytes = 0;
    event_boundary m_boundary;
    event_reader m_events;
};

} // namespace pepperturn
