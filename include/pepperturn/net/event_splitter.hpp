// SPDX-License-Identifier: BSL-1.0
/// \file
/// Splits a stream of server-sent events into the events that have ended.
#pragma once

#include "pepperturn/forward/event_boundary.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace pepperturn {

/// Data of one event: its `data` fields, joined by line feeds.
[[nodiscard]] std::string event_data(std::string_view event);

class event_splitter
{
public:
    /// Gives the data of each event that ends in \p bytes to \p on_data;
    /// events without data are left out.
    void consume(std::string_view bytes,
                 const std::function<void(const std::string&)>& on_data);

    /// Bytes of an event were read, and not its end.
    [[nodiscard]] bool inside_event() const
    {
        return m_boundary.inside_event();
    }

private:
    event_boundary m_boundary;
    std::string m_event;
};

} // namespace pepperturn
