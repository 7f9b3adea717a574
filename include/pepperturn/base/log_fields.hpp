// SPDX-License-Identifier: BSL-1.0
/// \file
/// Values in lines of key=value pairs.
#pragma once

#include <string>

namespace pepperturn {

/// \p value as it is, or in quotes if it would not read back as one value;
/// quotes and line feeds in it become apostrophes.
[[nodiscard]] std::string quoted(const std::string& value);

} // namespace pepperturn
