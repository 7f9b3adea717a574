// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the outcomes of each workspace's requests, for metrics.
///
/// A limit is shared by all callers of a workspace, and engines by all
/// workspaces: operators need to see which workspace is refused and which one
/// causes the load. A fleet may have thousands of workspaces, so only the
/// busiest are reported by name, and the others as one sum.
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
    /// At an edge VM: succeeded. At an owner: granted.
    served,
    /// Served, but later than its route's target latency.
    late,
    /// Waited for capacity below the limit.
    waited,
    /// The limit had no capacity for another program.
    refused_first_call,
    /// The limit had no capacity for a call of an active program.
    refused_call,
    /// No owner was available to count the limit.
    refused_uncounted,
    /// Not run for any other reason.
    refused_otherwise,
    /// Any other failure.
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

/// Maximum number of workspaces reported by name: as many as a person can read
/// through.
constexpr std::size_t max_named_workspaces = 100;

/// Formats one line `workspace_NAME_EVENT value` for each count above zero, the
/// workspaces with the most requests first; all beyond
/// \ref max_named_workspaces are summed as `other`. Characters that are not
/// allowed in a metric name become `_`.
[[nodiscard]] std::string text_of(std::vector<named_counts> rows);

/// Counts by name; names beyond a bound are counted as `other`.
class workspace_totals
{
public:
    [[nodiscard]] workspace_counts& counts_of(const std::string& name);
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, workspace_counts> m_rows;
};

} // namespace pepperturn
