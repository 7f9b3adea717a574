// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/log_fields.hpp"

namespace pepperturn {

std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos)
        return value;
    std::string out = "\"";
    for (const char c : value)
        out += c == '"' || c == '\n' ? '\'' : c;
    return out + "\"";
}

} // namespace pepperturn
