// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the bytes that this process has allocated, by every library.
#pragma once

#include <cstddef>

namespace pepperturn::test {

/// Bytes in use now.
[[nodiscard]] std::size_t live_bytes();
/// Most bytes in use since \ref reset_peak.
[[nodiscard]] std::size_t peak_bytes();
void reset_peak();

} // namespace pepperturn::test
