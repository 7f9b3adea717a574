// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/allowed_regions.hpp"

#include <algorithm>
#include <iterator>

namespace pepperturn {

std::optional<std::set<std::string>> allowed_regions(const route& route,
                                                     const workspace* owner)
{
    const bool owner_restricts = owner != nullptr && !owner->m_regions.empty();
    if (route.m_regions.empty())
        return owner_restricts ? std::optional(owner->m_regions) : std::nullopt;
    if (!owner_restricts)
        return route.m_regions;
    std::set<std::string> both;
    std::set_intersection(route.m_regions.begin(), route.m_regions.end(),
                          owner->m_regions.begin(), owner->m_regions.end(),
                          std::inserter(both, both.end()));
    return both;
}

} // namespace pepperturn
