// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/stream_relay.hpp"

#include <utility>

namespace pepperturn {

stream_relay::stream_relay(bool resumable, bool collect_data,
                           std::optional<std::uint64_t> last_event)
    : m_resumable(resumable), m_last_event(last_event), m_events(collect_data)
{}

std::string stream_relay::consume(std::string_view bytes)
{
    std::string out;
    if (m_resumable)
    {
        const auto complete = m_boundary.consume(bytes);
        if (complete > 0)
            out = std::exchange(m_pending, {});
        out += bytes.substr(0, complete);
        m_pending += bytes.substr(complete);
    }
    else
        out = bytes;
    m_events.consume(out);
    return out;
}

std::string stream_relay::flush()
{
    m_events.consume(m_pending);
    return std::exchange(m_pending, {});
}

void stream_relay::discard_partial_event()
{
    m_pending.clear();
    m_boundary = {};
}

std::optional<std::uint64_t> stream_relay::last_event() const
{
    return m_events.last_id() ? m_events.last_id() : m_last_event;
}

} // namespace pepperturn
