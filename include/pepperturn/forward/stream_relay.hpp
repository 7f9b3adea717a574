// SPDX-License-Identifier: BSL-1.0
/// \file
/// A stream on its way to a caller, over one run or several: what of it may
/// be passed on, and where the next run goes on.
#pragma once

#include "pepperturn/forward/event_reader.hpp"

#include <optional>

namespace pepperturn {

class stream_relay
{
public:
    /// \param resumable a run that is cut may be followed by another, so only
    /// whole events are passed on
    /// \param keep_data collect what the events say
    /// \param last_event what the caller has already
    stream_relay(bool resumable, bool keep_data,
                 std::optional<std::uint64_t> last_event);

    /// The head has gone to the caller.
    void mark_started()
    {
        m_started = true;
    }
    [[nodiscard]] bool started() const
    {
        return m_started;
    }

    /// What is to be passed on now that \p bytes have come.
    [[nodiscard]] std::string consume(std::string_view bytes);
    /// The rest, once the run has ended whole.
    [[nodiscard]] std::string flush();
    /// The run was cut: what came of an unfinished event is dropped.
    void discard_partial_event();

    /// Where the next run goes on; empty: from the start.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const;
    [[nodiscard]] const event_reader& events() const
    {
        return m_events;
    }

private:
    bool m_resumable;
    bool m_started = false;
    std::optional<std::uint64_t> m_last_event;
    std::string m_pending;
    event_reader m_events;
};

} // namespace pepperturn
