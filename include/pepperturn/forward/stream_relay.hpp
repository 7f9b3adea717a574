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
    void note_begun()
    {
        m_begun = true;
    }
    [[nodiscard]] bool begun() const
    {
        return m_begun;
    }

    /// What is to be passed on now that \p bytes have come.
    [[nodiscard]] std::string take(std::string_view bytes);
    /// The rest, once the run has ended whole.
    [[nodiscard]] std::string take_rest();
    /// The run was cut: what came of an unfinished event is dropped.
    void drop_rest();

    /// Where the next run goes on; empty: from the start.
    [[nodiscard]] std::optional<std::uint64_t> last_event() const;
    [[nodiscard]] const event_reader& events() const
    {
        return m_events;
    }

private:
    bool m_resumable;
    bool m_begun = false;
    std::optional<std::uint64_t> m_last_event;
    std::string m_held;
    event_reader m_events;
};

} // namespace pepperturn
