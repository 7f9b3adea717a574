// SPDX-License-Identifier: BSL-1.0
/// \file
/// Finds where the events of a stream of server-sent events end, however its
/// bytes are split.
#pragma once

#include "pepperturn/forward/line_ends.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pepperturn {

/// An empty line ends an event; lines that begin with a colon are comments and
/// belong to no event.
class event_boundary
{
public:
    /// \returns how many of \p bytes may be passed on before the rest arrives:
    /// those up to the last line end at which no event is under way
    [[nodiscard]] std::size_t consume(std::string_view bytes);

    /// Bytes of an event, or of any line, were read, and not its end: a stream
    /// that stops here has been broken off.
    [[nodiscard]] bool inside_event() const
    {
        return m_in_event || m_line != line_state::empty;
    }
    /// Events that have ended.
    [[nodiscard]] std::uint32_t complete_events() const
    {
        return m_complete_events;
    }

private:
    enum class line_state : std::uint8_t
    {
        empty,
        field,
        comment
    };

    void end_line();

    line_ends m_line_ends;
    line_state m_line = line_state::empty;
    bool m_in_event = false;
    std::uint32_t m_complete_events = 0;
};

} // namespace pepperturn
