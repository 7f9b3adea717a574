// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/workspaces.hpp"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cmath>
#include <openssl/sha.h>

namespace pepperturn {

namespace {

/// More than any fleet can serve; a higher limit is treated as a mistake.
constexpr double max_rate_per_s = 1e9;

bool is_valid_limit(double value)
{
    return std::isfinite(value) && value >= 0 && value <= max_rate_per_s;
}

bool is_blank(char c)
{
    return c == ' ' || c == '\t';
}

/// Printable ASCII without blanks, as the grammar of credentials requires.
bool is_key_character(char c)
{
    return c > ' ' && c <= '~';
}

} // namespace

key_digest digest_of(std::string_view key)
{
    key_digest out{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
           out.data());
    return out;
}

std::string add_workspace(workspace_directory& directory, workspace row,
                          const std::vector<std::string>& keys)
{
    if (row.m_name.empty())
        return "workspace without a name";
    if (!is_valid_limit(row.m_limit.m_rate_per_s) ||
        !is_valid_limit(row.m_limit.m_burst))
        return "workspace " + row.m_name + ": its limit is out of range";
    for (const auto& other : directory.m_workspaces)
    {
        if (other.m_name == row.m_name)
            return "workspace " + row.m_name + " is listed twice";
    }
    const auto index = directory.m_workspaces.size();
    for (const auto& key : keys)
    {
        if (key.empty())
            return "workspace " + row.m_name + " has an empty key";
        const auto [at, is_new] =
            directory.m_keys.emplace(digest_of(key), index);
        // The key itself is left out because the reason is logged.
        if (!is_new && at->second != index)
            return "workspace " + row.m_name + " has a key of " +
                   directory.m_workspaces[at->second].m_name;
    }
    directory.m_workspaces.push_back(std::move(row));
    return {};
}

const workspace* find_workspace(const workspace_directory& directory,
                                std::string_view key)
{
    const auto found = directory.m_keys.find(digest_of(key));
    return found == directory.m_keys.end()
               ? nullptr
               : &directory.m_workspaces[found->second];
}

credentials read_credentials(const std::vector<std::string_view>& values,
                             std::string_view scheme)
{
    if (values.empty())
        return {{}, "no credentials"};
    if (values.size() > 1)
        return {{}, "credentials twice"};
    auto text = values.front();
    const auto scheme_end = std::find_if(text.begin(), text.end(), is_blank);
    const auto scheme_size =
        static_cast<std::size_t>(scheme_end - text.begin());
    if (!boost::algorithm::iequals(text.substr(0, scheme_size), scheme))
        return {{}, "credentials of another scheme"};
    text.remove_prefix(scheme_size);
    while (!text.empty() && is_blank(text.front()))
        text.remove_prefix(1);
    if (text.empty())
        return {{}, "credentials without a key"};
    if (text.size() > max_key_bytes)
        return {{}, "a key that is too long"};
    if (!std::all_of(text.begin(), text.end(), is_key_character))
        return {{}, "a key with characters that none has"};
    return {std::string(text), {}};
}

} // namespace pepperturn
