// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/config/keys.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <vector>

namespace pepperturn {

namespace {

std::string to_hex(const unsigned char* data, std::size_t size)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string out;
    for (std::size_t i = 0; i < size; ++i)
    {
        out += digits[data[i] >> 4U];
        out += digits[data[i] & 15U];
    }
    return out;
}

} // namespace

std::string key_digest(const std::string& salt, const std::string& key)
{
    const std::string text = salt + ":" + key;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return to_hex(digest.data(), size);
}

bool key_matches(const std::string& salt, const std::string& digest,
                 const std::string& key)
{
    const auto actual = key_digest(salt, key);
    return actual.size() == digest.size() &&
           CRYPTO_memcmp(actual.data(), digest.data(), digest.size()) == 0;
}

std::string random_hex(unsigned bytes)
{
    std::vector<unsigned char> data(bytes);
    RAND_bytes(data.data(), static_cast<int>(bytes));
    return to_hex(data.data(), data.size());
}

} // namespace pepperturn
