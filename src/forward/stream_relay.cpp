// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/stream_relay.hpp"

#include <algorithm>
#include <utility>

namespace pepperturn {

namespace {

/// Number of bytes up to the end of the last complete event.
std::size_t complete_bytes(const std::string& text)
{
    std::size_t end = 0;
    for (const std::string_view blank : {"\n\n", "\n\r\n"})
    {
        const auto at = text.rfind(blank);
        if (at != std::string::npos)
            end = std::max(end, at + blank.size());
    }
    return end;
}

} // namespace

stream_relay::stream_relay(bool resumable, bool collect_data,
                           std::optional<std::uint64_t> last_event)
    : m_resumable(resumable), m_last_event(last_event), m_events(collect_data)
{}

std::string stream_relay::consume(std::string_view bytes)
{
    std::string out;
    if (m_resumable)
    {
        m_pending += bytes;
        const auto complete = complete_bytes(m_pending);
        out = m_pending.substr(0, complete);
        m_pending.erase(0, complete);
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
}

std::optional<std::uint64_t> stream_relay::last_event() const
{
    return m_events.last_id() ? m_events.last_id() : m_last_event;
}

} // namespace pepperturn
