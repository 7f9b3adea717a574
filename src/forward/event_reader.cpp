// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/event_reader.hpp"

#include "pepperturn/forward/request_head.hpp"

#include <utility>

namespace pepperturn {

void event_reader::consume(std::string_view bytes)
{
    for (const char c : bytes)
    {
        const bool after_return = std::exchange(m_after_return, c == '\r');
        if (c == '\n' && after_return)
            continue;
        if (c == '\n' || c == '\r')
            end_line();
        else
            m_line.push_back(c);
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
    const std::string line_text = std::exchange(m_line, {});
    if (line_text.front() == ':')
        return;
    m_in_event = true;
    std::string_view line = line_text;
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
