// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/base64.hpp"

#include <openssl/evp.h>

namespace pepperturn {

std::string to_base64(std::string_view data)
{
    std::string out((data.size() + 2) / 3 * 4 + 1, '\0');
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(data.data()),
                        static_cast<int>(data.size()));
    out.resize(size);
    return out;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string out(text.size() / 4 * 3 + 1, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        return std::nullopt;
    // EVP_DecodeBlock counts padding as zero bytes (its manual page).
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(size - padding);
    return out;
}

} // namespace pepperturn
