// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/event_splitter.hpp"

namespace pepperturn {

std::string event_data(std::string_view event)
{
    constexpr std::string_view field = "data:";
    constexpr std::string_view line_ends = "\r\n";
    std::string out;
    while (!event.empty())
    {
        const auto end = event.find_first_of(line_ends);
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (!out.empty())
            out += '\n';
        out += line;
    }
    return out;
}

void event_splitter::consume(
    std::string_view bytes,
    const std::function<void(const std::string&)>& on_data)
{
    for (std::size_t at = 0; at < bytes.size(); ++at)
    {
        const auto events_before = m_boundary.complete_events();
        m_event += bytes[at];
        // Everything up to here may be passed on if no event is under way.
        if (m_boundary.consume(bytes.substr(at, 1)) == 0)
            continue;
        if (m_boundary.complete_events() != events_before)
        {
            const auto data = event_data(m_event);
            if (!data.empty())
                on_data(data);
        }
        m_event.clear();
    }
}

} // namespace pepperturn
