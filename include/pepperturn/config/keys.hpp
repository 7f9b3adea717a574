// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keys of workspaces and operators: kept as salted SHA-256 digests only.
#pragma once

#include <string>

namespace pepperturn {

/// Hexadecimal SHA-256 of salt and key.
[[nodiscard]] std::string key_digest(const std::string& salt,
                                     const std::string& key);

/// Compares in constant time; an empty digest matches nothing.
[[nodiscard]] bool key_matches(const std::string& salt,
                               const std::string& digest,
                               const std::string& key);

/// Random hexadecimal text from the system's source.
[[nodiscard]] std::string random_hex(unsigned bytes);

} // namespace pepperturn
