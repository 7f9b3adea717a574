// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/traffic_metrics.hpp"

namespace pepperturn {

void traffic_metrics::count(const std::string& name, std::uint64_t by)
{
    m_counters[name] += by;
}

void traffic_metrics::record_response(milliseconds duration)
{
    m_response_times.note(duration);
}

void traffic_metrics::record_turn_begin(milliseconds duration)
{
    m_turn_begin_times.note(duration);
}

void traffic_metrics::record_turn_store(milliseconds duration)
{
    m_turn_store_times.note(duration);
}

std::string traffic_metrics::text() const
{
    std::string out;
    for (const auto& [name, value] : m_counters)
        write_metric(out, name, value);
    m_response_times.write(out, "answer");
    m_turn_begin_times.write(out, "turn_begin");
    m_turn_store_times.write(out, "turn_store");
    out += m_workspaces.text();
    return out;
}

} // namespace pepperturn
