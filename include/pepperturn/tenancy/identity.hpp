// SPDX-License-Identifier: BSL-1.0
/// \file
/// Whose a request is, and whether this VM may say so.
#pragma once

#include "pepperturn/tenancy/freshness.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

namespace pepperturn {

enum class identity_verdict : std::uint8_t
{
    known,
    /// The credentials cannot be anybody's.
    malformed,
    /// No workspace has the key.
    unknown,
    /// What this VM knows is too old: another VM may know better.
    uncertain
};

[[nodiscard]] const char* to_string(identity_verdict verdict);

struct identity
{
    identity_verdict m_verdict = identity_verdict::uncertain;
    /// Of the directory; null unless known.
    const workspace* m_workspace = nullptr;

    friend bool operator==(const identity&, const identity&) = default;
};

/// \param config_age of the configuration that has the directory
[[nodiscard]] identity identify(const workspace_directory& directory,
                                const credentials& given,
                                milliseconds config_age,
                                const staleness_limits& limits);

/// An id as it is kept for one workspace: ids of another one never meet it.
[[nodiscard]] std::string scoped_id(const workspace* owner,
                                    const std::string& id);

} // namespace pepperturn
