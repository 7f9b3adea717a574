// SPDX-License-Identifier: BSL-1.0
/// \file
/// What became of each workspace's requests, for metrics.
///
/// A limit is shared by all callers of a workspace, and engines by all
/// workspaces: an operator has to see who is refused and whose burst it is. A
/// fleet may have thousands of workspaces, so only the busiest are written by
/// name, the others as one.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pepperturn {

enum class workspace_event : std::uint8_t
{
    asked,
    /// At an edge VM: answered with success. At an owner: granted.
    served,
    /// Served, but later than its route's target.
    late,
    /// Waited for a place below the limit.
    waited,
    /// The limit bore no further program.
    refused_first_call,
    /// The limit had no room for a call of a program under way.
    refused_call,
    /// Nobody could count the limit.
    refused_uncounted,
    /// Not run for another reason.
    refused_otherwise,
    /// Any other end without success.
    failed
};
constexpr std::size_t workspace_event_count = 9;

[[nodiscard]] const char* to_string(workspace_event event);

struct workspace_counts
{
    std::array<std::uint64_t, workspace_event_count> m_counts{};

    void increment(workspace_event event)
    {
        ++m_counts.at(static_cast<std::size_t>(event));
    }
    [[nodiscard]] std::uint64_t count(workspace_event event) const
    {
        return m_counts.at(static_cast<std::size_t>(event));
    }

    friend bool operator==(const workspace_counts&,
                           const workspace_counts&) = default;
};

struct named_counts
{
    std::string m_name;
    workspace_counts m_counts;

    friend bool operator==(const named_counts&, const named_counts&) = default;
};

/// Workspaces that are written by name: as many as one looks through.
constexpr std::size_t max_named_workspaces = 100;

/// One line `workspace_NAME_EVENT value` for each count above zero, those that
/// asked most first; all beyond \ref workspaces_named as `other`. Characters
/// that do not belong into a metric's name become `_`.
[[nodiscard]] std::string text_of(std::vector<named_counts> rows);

/// Counts by name, bounded in number: names beyond that count as `other`.
class workspace_totals
{
public:
    [[nodiscard]] workspace_counts& counts_of(const std::string& name);
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, workspace_counts> m_rows;
};

} // namespace pepperturn
