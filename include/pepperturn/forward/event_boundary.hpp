// SPDX-License-Identifier: BSL-1.0
/// \file
/// Finds where the events of a stream of server-sent events end, however its
/// bytes are split.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pepperturn {

/// Lines end with a line feed, a carriage return or both; an empty line ends an
/// event. Lines that begin with a colon are comments and belong to no event.
class event_boundary
{
public:
    /// \returns how many of \p bytes may be passed on before the rest arrives:
    /// those up to the last line end at which no event is under way
    [[nodiscard]] std::size_t consume(std::string_view bytes);

    /// Bytes of an event were read, and not its end: a stream that stops here
    /// has been broken off.
    [[nodiscard]] bool inside_event() const
    {
        return m_in_event || m_line == line_state::field;
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

    line_state m_line = line_state::empty;
    /// A line feed after a carriage return belongs to the same line end.
    bool m_after_return = false;
    bool m_in_event = false;
    std::uint32_t m_complete_events = 0;
};

} // namespace pepperturn
