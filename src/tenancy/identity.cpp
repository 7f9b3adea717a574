// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/identity.hpp"

namespace pepperturn {

const char* to_string(identity_verdict verdict)
{
    switch (verdict)
    {
    case identity_verdict::known:
        return "known";
    case identity_verdict::malformed:
        return "malformed";
    case identity_verdict::unknown:
        return "unknown";
    case identity_verdict::uncertain:
        return "uncertain";
    }
    return "invalid";
}

identity identify(const workspace_directory& directory,
                  const credentials& given, milliseconds config_age,
                  const staleness_limits& limits)
{
    if (!given.m_error.empty())
        return {identity_verdict::malformed};
    const auto* owner = find_workspace(directory, given.m_key);
    if (owner != nullptr && config_age <= max_use_age(limits))
        return {identity_verdict::known, owner};
    if (owner == nullptr && config_age <= max_denial_age(limits))
        return {identity_verdict::unknown};
    return {};
}

std::string scoped_id(const workspace* owner, const std::string& id)
{
    if (owner == nullptr || id.empty())
        return id;
    // No header value contains a line feed, so different pairs never give the
    // same id.
    return owner->m_name + '\n' + id;
}

} // namespace pepperturn
