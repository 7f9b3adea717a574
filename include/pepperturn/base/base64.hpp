// SPDX-License-Identifier: BSL-1.0
/// \file
/// Base64 (RFC 4648) by OpenSSL.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pepperturn {

[[nodiscard]] std::string to_base64(std::string_view data);
/// Empty if \p text is not padded base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace pepperturn
