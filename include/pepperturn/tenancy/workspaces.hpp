// SPDX-License-Identifier: BSL-1.0
/// \file
/// Workspaces of a configuration and their API keys.
///
/// Keys are secrets: only their digests are stored and compared, so that
/// neither memory nor the time of a look-up reveals a key.
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

/// Rate limit of a workspace's requests, over all VMs.
struct request_limit
{
    /// Requests per second; 0: unlimited.
    double m_rate_per_s = 0;
    /// Requests above the rate that may arrive at once.
    double m_burst = 0;

    friend bool operator==(const request_limit&,
                           const request_limit&) = default;
};

struct workspace
{
    std::string m_name;
    /// Overrides the priority of a route; 0 is the most urgent.
    std::optional<std::uint32_t> m_priority;
    request_limit m_limit;
    /// Regions in which its requests are served and its turns are stored;
    /// empty: any.
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
/// \returns an empty string, or why the whole configuration is invalid: a
/// missing or duplicate name, a key of another workspace, an empty key, or a
/// limit that is out of range
[[nodiscard]] std::string add_workspace(workspace_directory& directory,
                                        workspace row,
                                        const std::vector<std::string>& keys);

/// Returns the workspace of \p key; null if no workspace has it.
[[nodiscard]] const workspace*
find_workspace(const workspace_directory& directory, std::string_view key);

/// Credentials of a request.
struct credentials
{
    /// Empty if m_error is set.
    std::string m_key;
    /// Why the credentials are malformed; empty if they are well-formed.
    std::string_view m_error;

    friend bool operator==(const credentials&, const credentials&) = default;
};

/// Maximum key length in bytes; longer than any key in use.
constexpr std::size_t max_key_bytes = 512;

/// Parses `SCHEME KEY`.
/// \param values of all Authorization headers of the request
/// \param scheme expected scheme, case-insensitive
[[nodiscard]] credentials
read_credentials(const std::vector<std::string_view>& values,
                 std::string_view scheme);

} // namespace pepperturn
