// SPDX-License-Identifier: BSL-1.0
/// \file
/// Workspaces of a configuration and the API keys that stand for them.
///
/// Keys are secrets: only their digests are kept here, and they are compared
/// as digests, so that neither memory nor the time of a look-up tells a key.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pepperturn {

/// How many requests of a workspace may run, over all VMs.
struct request_limit
{
    /// Requests a second; 0: no limit.
    double m_rate_per_s = 0;
    /// Requests above that at once.
    double m_burst = 0;

    friend bool operator==(const request_limit&,
                           const request_limit&) = default;
};

struct workspace
{
    std::string m_name;
    /// Goes before the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> m_priority;
    request_limit m_limit;
    /// Its requests are served, and turns kept, in these regions only; empty:
    /// in any.
    std::set<std::string> m_regions = {};

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// SHA-256 of an API key.
using key_digest = std::array<std::uint8_t, 32>;

[[nodiscard]] key_digest digest_of(std::string_view key);

struct workspace_directory
{
    std::vector<workspace> m_workspaces;
    /// Index into \ref m_workspaces by digest.
    std::map<key_digest, std::size_t> m_keys;

    friend bool operator==(const workspace_directory&,
                           const workspace_directory&) = default;
};

/// Adds a workspace with its keys.
/// \returns an empty text, or why the whole configuration is unusable: a name
/// that is there already, a key of another workspace, no name, a limit that
/// is no number or negative
[[nodiscard]] std::string add_workspace(workspace_directory& directory,
                                        workspace row,
                                        const std::vector<std::string>& keys);

/// The workspace that \p key stands for; null: no workspace has it.
[[nodiscard]] const workspace* find_workspace(const workspace_directory& in,
                                              std::string_view key);

/// The credentials of a request.
struct credentials
{
    /// Empty if there is a fault.
    std::string m_key;
    /// Why they cannot be anybody's; empty: they may be.
    std::string_view m_error;

    friend bool operator==(const credentials&, const credentials&) = default;
};

/// Longest key that is looked at, in bytes; longer than any in use.
constexpr std::size_t max_key_bytes = 512;

/// Reads SCHEME KEY.
/// \param values of each Authorization header of the request
/// \param scheme in any case
[[nodiscard]] credentials
read_credentials(const std::vector<std::string_view>& values,
                 std::string_view scheme);

} // namespace pepperturn
