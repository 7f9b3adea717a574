// SPDX-License-Identifier: BSL-1.0
/// \file
/// Incremental parser for server-sent events: counts the events of a stream
/// and collects their data. Lines and events end as in \ref event_boundary.
#pragma once

#include "pepperturn/forward/line_ends.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pepperturn {

class event_reader
{
public:
    /// \param collect_data collect the events' data for \ref data
    explicit event_reader(bool collect_data) : m_collect_data(collect_data) {}

    void consume(std::string_view bytes);

    /// Events that were terminated by an empty line.
    [[nodiscard]] std::uint32_t complete_events() const
    {
        return m_events;
    }
    /// Events of which at least one byte was read, complete or not.
    [[nodiscard]] std::uint32_t started_events() const
    {
        const bool in_field = !m_line.empty() && m_line.front() != ':';
        return m_events + (m_in_event || in_field ? 1 : 0);
    }
    /// Id of the last complete event with a numeric id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const
    {
        return m_last_id;
    }
    /// Whether the last complete event has data and no id, so that no run can
    /// be asked to go on after it.
    [[nodiscard]] bool last_event_unnumbered() const
    {
        return m_last_unnumbered;
    }
    /// Bytes that are held here.
    [[nodiscard]] std::size_t held_bytes() const
    {
        return m_line.size() + m_event_data.size() + m_data.size();
    }
    /// Data of each complete event, each followed by a line feed.
    [[nodiscard]] const std::string& data() const
    {
        return m_data;
    }

private:
    void end_line();

    bool m_collect_data;
    line_ends m_line_ends;
    bool m_in_event = false;
    bool m_has_data = false;
    std::string m_line;
    std::string m_event_data;
    std::string m_data;
    std::uint32_t m_events = 0;
    std::optional<std::uint64_t> m_event_id;
    std::optional<std::uint64_t> m_last_id;
    bool m_last_unnumbered = false;
};

} // namespace pepperturn
