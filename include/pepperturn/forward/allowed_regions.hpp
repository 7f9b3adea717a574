// SPDX-License-Identifier: BSL-1.0
/// \file
/// The regions in which a request may be served and its turns stored.
#pragma once

#include "pepperturn/forward/routing_config.hpp"

namespace pepperturn {

/// Regions that both the route and the workspace allow; empty: any.
/// \param owner workspace of the request; null: none
[[nodiscard]] std::optional<std::set<std::string>>
allowed_regions(const route& route, const workspace* owner);

} // namespace pepperturn
