// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/event_reader.hpp"

#include "pepperturn/forward/request_head.hpp"

#include <utility>

namespace pepperturn {

void event_reader::consume(std::string_view bytes)
{
    for (const char c : bytes)
    {
        switch (m_line_ends.next(c))
        {
        case line_ends::byte_kind::text:
            m_line.push_back(c);
            break;
        case line_ends::byte_kind::line_end:
            end_line();
            m_line.clear();
            break;
        case line_ends::byte_kind::ignored:
            break;
        }
    }
}

void event_reader::end_line()
{
    constexpr std::string_view field = "data:";
    constexpr std::string_view id_field = "id:";
    if (m_line.empty())
    {
        if (m_in_event)
            ++m_events;
        if (m_has_data || m_event_id)
            m_last_unnumbered = !m_event_id;
        if (m_event_id)
            m_last_id = std::exchange(m_event_id, std::nullopt);
        if (m_has_data && m_collect_data)
        {
            m_data += m_event_data;
            m_data += '\n';
        }
        m_event_data.clear();
        m_in_event = false;
        m_has_data = false;
        return;
    }
    if (m_line.front() == ':')
        return;
    m_in_event = true;
    std::string_view line = m_line;
    if (line.starts_with(field))
    {
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        // Several data lines of one event are joined by line feeds.
        if (m_has_data)
            m_event_data += '\n';
        m_event_data += line;
        m_has_data = true;
    }
    else if (line.starts_with(id_field))
    {
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        m_event_id = parse_number(line);
    }
}

} // namespace pepperturn
