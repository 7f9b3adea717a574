// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/zone_map.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <vector>

namespace pepperturn {

std::string region_of(const zone_map& zones, const std::string& zone)
{
    const auto found = zones.m_regions.find(zone);
    return found == zones.m_regions.end() ? std::string{} : found->second;
}

zone_distance distance_between(const zone_map& zones, const std::string& left,
                               const std::string& right)
{
    if (left == right)
        return zone_distance::same_zone;
    const auto left_region = region_of(zones, left);
    const auto right_region = region_of(zones, right);
    const bool apart = !left_region.empty() && !right_region.empty() &&
                       left_region != right_region;
    return apart ? zone_distance::other_region : zone_distance::same_region;
}

std::string parse_zone_map(const std::string& text, zone_map& zones)
{
    std::vector<std::string> rows;
    if (!text.empty())
        boost::algorithm::split(rows, text, boost::algorithm::is_any_of(","));
    for (const auto& row : rows)
    {
        const auto at = row.find('=');
        if (at == std::string::npos || at == 0 || at + 1 == row.size())
            return "\"" + row + "\" is no zone=region";
        const auto zone = row.substr(0, at);
        if (!zones.m_regions.emplace(zone, row.substr(at + 1)).second)
            return "zone " + zone + " stands there twice";
    }
    return {};
}

} // namespace pepperturn
