// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/routing_config.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace pepperturn {

std::string_view to_string(route_kind kind)
{
    switch (kind)
    {
    case route_kind::idempotent:
        return "idempotent";
    case route_kind::unrepeatable:
        return "unrepeatable";
    case route_kind::stream:
        return "stream";
    }
    return "unknown";
}

std::string incarnation_of(const runner_info& info)
{
    return info.m_started_at_ms == 0
               ? info.m_id
               : info.m_id + '@' + std::to_string(info.m_started_at_ms);
}

milliseconds stored_retention(const route& value)
{
    // Callers count from the end of the answer, which may be slow to deliver.
    constexpr milliseconds delivery_margin{5000};
    // A turn that begins within the promised retention is stored at its end,
    // and only then does what it continues count as needed for longer.
    return value.m_retention + value.m_timeout + delivery_margin;
}

const route* find_route(const routing_config& config, std::string_view host,
                        std::string_view path)
{
    const auto bare_host = host.substr(0, host.find(':'));
    const auto bare_path = path.substr(0, path.find('?'));
    const route* best = nullptr;
    for (const auto& row : config.m_routes)
    {
        if (!bare_path.starts_with(row.m_path_prefix) ||
            !boost::algorithm::iequals(row.m_host, bare_host))
            continue;
        if (best == nullptr ||
            row.m_path_prefix.size() > best->m_path_prefix.size())
            best = &row;
    }
    return best;
}

} // namespace pepperturn
