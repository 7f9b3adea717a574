// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/event_boundary.hpp"

#include <utility>

namespace pepperturn {

std::size_t event_boundary::consume(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        const char byte = bytes[at];
        const bool after_return = std::exchange(m_after_return, byte == '\r');
        if (byte == '\n' && after_return)
        {
            // The second half of the line end that has just ended an event.
            if (end == at && end > 0)
                ++end;
            continue;
        }
        if (byte == '\n' || byte == '\r')
        {
            if (end_line())
                end = at + 1;
        }
        else if (m_line == line_state::empty)
            m_line = byte == ':' ? line_state::comment : line_state::field;
    }
    return end;
}

bool event_boundary::end_line()
{
    const auto line = std::exchange(m_line, line_state::empty);
    if (line == line_state::field)
        m_in_event = true;
    if (line != line_state::empty || !m_in_event)
        return false;
    m_in_event = false;
    ++m_complete_events;
    return true;
}

} // namespace pepperturn
