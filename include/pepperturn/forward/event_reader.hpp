// SPDX-License-Identifier: BSL-1.0
/// \file
/// Reads a stream of server-sent events as it passes: how many there were and
/// what their data said.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pepperturn {

class event_reader
{
public:
    /// \param keep_data collect the data for \ref data
    explicit event_reader(bool keep_data) : m_collect_data(keep_data) {}

    void consume(std::string_view bytes);

    /// Events that were ended by an empty line.
    [[nodiscard]] std::uint32_t complete_events() const
    {
        return m_events;
    }
    /// Events of which anything was passed on.
    [[nodiscard]] std::uint32_t started_events() const
    {
        return m_events + (m_in_event || !m_line.empty() ? 1 : 0);
    }
    /// Id of the last whole event that had a number as id.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const
    {
        return m_last_id;
    }
    /// Data of each whole event with a line feed behind it.
    [[nodiscard]] const std::string& data() const
    {
        return m_data;
    }

private:
    void end_line();

    bool m_collect_data;
    bool m_in_event = false;
    bool m_has_data = false;
    std::string m_line;
    std::string m_event_data;
    std::string m_data;
    std::uint32_t m_events = 0;
    std::optional<std::uint64_t> m_event_id;
    std::optional<std::uint64_t> m_last_id;
};

} // namespace pepperturn
