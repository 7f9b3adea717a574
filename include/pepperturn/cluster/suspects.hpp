// SPDX-License-Identifier: BSL-1.0
/// \file
/// Requests under which runners have ended, as VMs tell each other.
///
/// Load pattern: one request crashes each runner that works on it, and its
/// caller tries again through other VMs. A VM that has not seen the ends must
/// know of them before it sends the request; VMs that never meet it pay for a
/// row in memory only.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace pepperturn {

/// Runners that may end under one request: it is sent to no further one.
constexpr std::uint32_t max_runner_ends = 3;
/// A request that has ended more than one runner is always reported. Of the
/// others, one crash may strike hundreds that have nothing to do with it: a VM
/// reports so many at once, and so many a second.
constexpr std::uint32_t always_reported_ends = 2;
constexpr double report_burst = 16;
constexpr double reports_per_s = 4;
/// How long ends are remembered after the last one. Programs return within
/// their retention, which is shorter.
constexpr milliseconds crash_retention{300000};

/// A request under which runners have ended.
struct suspect
{
    /// Of the request, the same for all its tries.
    std::uint64_t m_fingerprint = 0;
    /// Runners that have ended under it.
    std::uint32_t m_ends = 0;
    /// Until it is forgotten.
    std::uint32_t m_remaining_ms = 0;

    friend bool operator==(const suspect&, const suspect&) = default;
};

/// The suspects that one VM knows, a bounded number.
class suspect_table
{
public:
    /// Rows kept, some dozen bytes each; beyond, the one with the fewest ends
    /// makes room, of these the one that would be forgotten first.
    static constexpr std::size_t max_rows = 4096;

    /// \returns the rows that are new here, or have more ends than were known
    std::vector<suspect> merge(const std::vector<suspect>& rows, instant now);
    /// Replaces what is known of a request by what its crash ledger tells;
    /// without ends it is forgotten.
    void set(const suspect& row, instant now);

    /// Runners known to have ended under the request.
    [[nodiscard]] std::uint32_t ends(std::uint64_t fingerprint,
                                     instant now) const;
    /// Until the request is forgotten; 0: it is unknown.
    [[nodiscard]] milliseconds remaining(std::uint64_t fingerprint,
                                         instant now) const;
    [[nodiscard]] std::vector<suspect> list(instant now) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

private:
    struct row
    {
        std::uint32_t m_ends = 0;
        instant m_expiry{};
    };

    void make_room(instant now);

    /// By fingerprint.
    std::map<std::uint64_t, row> m_rows;
};

/// Reports that a VM may send.
struct report_budget
{
    double m_reports = report_burst;
    instant m_refilled_at{};

    friend bool operator==(const report_budget&,
                           const report_budget&) = default;
};

/// \returns whether \p row is to be reported, and takes it off the budget
[[nodiscard]] bool admit_report(report_budget& budget, const suspect& row,
                                instant now);

} // namespace pepperturn
