// SPDX-License-Identifier: BSL-1.0
/// \file
/// Limits that the system sets for this process.
#pragma once

#include <cstddef>

namespace pepperturn {

/// Descriptors that the process may have open.
/// \param setting if it is not 0, at most so many
[[nodiscard]] std::size_t descriptor_limit(std::size_t setting);

} // namespace pepperturn
