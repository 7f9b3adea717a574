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

/// Whether \p status announces that the answer is still to come. A switch of
/// protocols does not: nobody asks for one.
[[nodiscard]] constexpr bool is_interim_status(std::int64_t status)
{
    constexpr std::int64_t first_interim = 100;
    constexpr std::int64_t switching_protocols = 101;
    constexpr std::int64_t last_interim = 199;
    return status >= first_interim && status <= last_interim &&
           status != switching_protocols;
}

} // namespace pepperturn
