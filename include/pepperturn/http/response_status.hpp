// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which statuses a response may have (RFC 9110, 15).
#pragma once

#include <cstdint>

namespace pepperturn {

/// Whether \p status may be the status of an answer.
[[nodiscard]] constexpr bool is_final_status(std::int64_t status)
{
    constexpr std::int64_t first_final = 200;
    constexpr std::int64_t last_final = 599;
    return status >= first_final && status <= last_final;
}

} // namespace pepperturn
