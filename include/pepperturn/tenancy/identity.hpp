// SPDX-License-Identifier: BSL-1.0
/// \file
/// Determines the workspace of a request, and whether this VM's configuration
/// is recent enough to decide.
#pragma once

#include "pepperturn/tenancy/freshness.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

namespace pepperturn {

enum class identity_verdict : std::uint8_t
{
    known,
    /// The credentials are malformed.
    malformed,
    /// No workspace has the key.
    unknown,
    /// The configuration is too old to decide: another VM may have a newer one.
    uncertain
};

[[nodiscard]] const char* to_string(identity_verdict verdict);

struct identity
{
    identity_verdict m_verdict = identity_verdict::uncertain;
    /// Points into the directory; null unless the verdict is `known`.
    const workspace* m_workspace = nullptr;

    friend bool operator==(const identity&, const identity&) = default;
};

/// Looks up the workspace of \p given.
/// \param config_age age of the configuration that contains the directory
[[nodiscard]] identity identify(const workspace_directory& directory,
                                const credentials& given,
                                milliseconds config_age,
                                const staleness_limits& limits);

/// Prefixes an id with its workspace, so that ids of different workspaces never
/// collide.
[[nodiscard]] std::string scoped_id(const workspace* owner,
                                    const std::string& id);

} // namespace pepperturn
