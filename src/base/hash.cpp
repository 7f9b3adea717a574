// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/hash.hpp"

#include <array>
#include <xxhash.h>

namespace pepperturn {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH64(data.data(), data.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t left, std::uint64_t right)
{
    const std::array<std::uint64_t, 2> pair{left, right};
    return XXH64(pair.data(), sizeof(pair), 0);
}

} // namespace pepperturn
