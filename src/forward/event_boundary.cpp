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
        const auto kind = m_line_ends.next(byte);
        if (kind == line_ends::byte_kind::text)
        {
            if (m_line == line_state::empty)
                m_line = byte == ':' ? line_state::comment : line_state::field;
            continue;
        }
        if (kind == line_ends::byte_kind::line_end)
            end_line();
        if (!inside_event())
            end = at + 1;
    }
    return end;
}

void event_boundary::end_line()
{
    const auto line = std::exchange(m_line, line_state::empty);
    if (line == line_state::field)
        m_in_event = true;
    if (line == line_state::empty && std::exchange(m_in_event, false))
        ++m_complete_events;
}

} // namespace pepperturn
