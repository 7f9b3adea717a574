// SPDX-License-Identifier: BSL-1.0
/// \file
/// Identifies what a request asks for. A caller that tries again does so under
/// a new request id, often through another VM; the fingerprint stays the same.
#pragma once

#include "pepperturn/forward/request_head.hpp"

namespace pepperturn {

/// Hash of what all tries of one request have in common: never 0.
///
/// Requests that name no program and have no body look alike whoever sends
/// them; only those of the same address are taken for the same.
/// \param workspace empty: none
/// \param caller_address IP of the caller
[[nodiscard]] std::uint64_t fingerprint_of(const caller_request& request,
                                           const request_fields& fields,
                                           std::string_view workspace,
                                           std::string_view caller_address);

/// A fingerprint as logs show it.
[[nodiscard]] std::string fingerprint_text(std::uint64_t fingerprint);

} // namespace pepperturn
