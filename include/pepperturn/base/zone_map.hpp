// SPDX-License-Identifier: BSL-1.0
/// \file
/// How far availability zones are from each other.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace pepperturn {

/// A step is worth about ten times the one before it, in time and in price.
enum class zone_distance : std::uint8_t
{
    same_zone,
    same_region,
    other_region
};

/// The region of each availability zone; empty: there is one region.
struct zone_map
{
    std::map<std::string, std::string> m_regions;

    friend bool operator==(const zone_map&, const zone_map&) = default;
};

/// Empty: the zone is not known.
[[nodiscard]] std::string region_of(const zone_map& zones,
                                    const std::string& zone);

/// Zones that are not known count as of the same region.
[[nodiscard]] zone_distance distance_between(const zone_map& zones,
                                             const std::string& left,
                                             const std::string& right);

/// Reads "zone=region" rows, separated by commas.
/// \returns an empty text, or what is wrong with it
[[nodiscard]] std::string parse_zone_map(const std::string& text,
                                         zone_map& zones);

} // namespace pepperturn
