// SPDX-License-Identifier: BSL-1.0
/// \file
/// What one VM has seen of the requests that it sent lately, by fingerprint.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace pepperturn {

/// What one VM has seen of one request.
struct run_record
{
    /// Runs since the last end that were served whole.
    std::uint32_t m_clean_runs = 0;
    /// The same since an end was last cleared.
    std::uint32_t m_uncleared_runs = 0;
    /// When the crash ledger last told of it.
    std::optional<instant> m_ledger_read_at;
    /// It told of ends, not of attempts that may end a runner yet.
    bool m_has_ends = false;
    /// When another VM last reported ends of it, and how many.
    std::optional<instant> m_reported_at;
    std::uint32_t m_reported_ends = 0;
    std::uint32_t m_trials_under_way = 0;
    /// Outages in which the end of its runner was not counted, and the last.
    std::uint32_t m_excused_outages = 0;
    std::optional<instant> m_excused_at;

    friend bool operator==(const run_record&, const run_record&) = default;
};

/// The records of a bounded number of requests, those used last.
class run_record_table
{
public:
    /// Rows kept, some dozen bytes each.
    static constexpr std::size_t max_rows = 2048;

    /// The record of a request; stays valid until the next call.
    [[nodiscard]] run_record& at(std::uint64_t fingerprint);
    [[nodiscard]] run_record find(std::uint64_t fingerprint) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_recent.size() + m_older.size();
    }

private:
    using rows = std::unordered_map<std::uint64_t, run_record>;

    /// Those used since \ref m_older was replaced.
    rows m_recent;
    rows m_older;
};

} // namespace pepperturn
