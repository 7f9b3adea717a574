// SPDX-License-Identifier: BSL-1.0
/// \file
/// Non-cryptographic hashing (xxHash), stable across machines and versions.
#pragma once

#include <cstdint>
#include <string_view>

namespace pepperturn {

/// 64-bit xxHash of \p data.
[[nodiscard]] std::uint64_t hash64(std::string_view data,
                                   std::uint64_t seed = 0);

/// Order-dependent combination of two hashes.
[[nodiscard]] std::uint64_t hash_combine(std::uint64_t left,
                                         std::uint64_t right);

} // namespace pepperturn
