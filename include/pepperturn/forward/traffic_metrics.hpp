// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counters and latency histograms of forwarding, as text.
#pragma once

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/tenancy/workspace_counts.hpp"

#include <map>

namespace pepperturn {

class traffic_metrics
{
public:
    void count(const std::string& name, std::uint64_t by = 1);
    /// \param duration from a request's arrival to the end of its response
    void record_response(milliseconds duration);
    /// \param duration from a turn's arrival to the reply of the storage VMs
    void record_turn_begin(milliseconds duration);
    /// \param duration until the storage VMs have stored a turn, or have not
    void record_turn_store(milliseconds duration);

    /// Outcomes of the requests of one workspace.
    [[nodiscard]] workspace_counts& of_workspace(const std::string& name)
    {
        return m_workspaces.counts_of(name);
    }

    /// One `name value` a line.
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::uint64_t> m_counters;
    workspace_totals m_workspaces;
    latency_histogram m_response_times;
    latency_histogram m_turn_begin_times;
    latency_histogram m_turn_store_times;
};

} // namespace pepperturn
