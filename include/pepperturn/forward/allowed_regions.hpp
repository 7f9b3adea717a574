// SPDX-License-Identifier: BSL-1.0
/// \file
/// In which regions a request may be served and its turns kept.
#pragma once

#include "pepperturn/forward/routing_config.hpp"

namespace pepperturn {

/// Those that both its route and its workspace allow; empty: any.
/// \param owner null: of no workspace
[[nodiscard]] std::optional<std::set<std::string>>
allowed_regions(const route& route, const workspace* owner);

} // namespace pepperturn
