// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/suspects.hpp"

#include <algorithm>
#include <tuple>

namespace pepperturn {

std::vector<suspect> suspect_table::merge(const std::vector<suspect>& rows,
                                          instant now)
{
    std::vector<suspect> news;
    for (const auto& received : rows)
    {
        const auto expiry = now + milliseconds(received.m_remaining_ms);
        if (received.m_ends == 0 || expiry <= now)
            continue;
        if (!m_rows.contains(received.m_fingerprint))
            make_room(now);
        auto& known = m_rows[received.m_fingerprint];
        if (known.m_expiry <= now)
            known = {};
        if (received.m_ends > known.m_ends)
            news.push_back(received);
        known.m_ends = std::max(known.m_ends, received.m_ends);
        known.m_expiry = std::max(known.m_expiry, expiry);
    }
    return news;
}

void suspect_table::make_room(instant now)
{
    if (m_rows.size() < max_rows)
        return;
    std::erase_if(m_rows,
                  [&](const auto& row) { return row.second.m_expiry <= now; });
    if (m_rows.size() < max_rows)
        return;
    m_rows.erase(std::min_element(
        m_rows.begin(), m_rows.end(), [](const auto& left, const auto& right) {
            return std::tie(left.second.m_ends, left.second.m_expiry) <
                   std::tie(right.second.m_ends, right.second.m_expiry);
        }));
}

void suspect_table::set(const suspect& row, instant now)
{
    m_rows.erase(row.m_fingerprint);
    (void)merge({row}, now);
}

std::uint32_t suspect_table::ends(std::uint64_t fingerprint, instant now) const
{
    const auto found = m_rows.find(fingerprint);
    return found == m_rows.end() || found->second.m_expiry <= now
               ? 0
               : found->second.m_ends;
}

milliseconds suspect_table::remaining(std::uint64_t fingerprint,
                                      instant now) const
{
    const auto found = m_rows.find(fingerprint);
    return found == m_rows.end() ? milliseconds(0)
                                 : elapsed(now, found->second.m_expiry);
}

std::vector<suspect> suspect_table::list(instant now) const
{
    std::vector<suspect> out;
    for (const auto& [fingerprint, row] : m_rows)
    {
        if (row.m_expiry > now)
            out.push_back({fingerprint, row.m_ends,
                           static_cast<std::uint32_t>(
                               elapsed(now, row.m_expiry).count())});
    }
    return out;
}

bool admit_report(report_budget& budget, const suspect& row, instant now)
{
    if (row.m_ends >= always_reported_ends)
        return true;
    const double refill =
        to_seconds(now - budget.m_refilled_at) * reports_per_s;
    budget.m_reports = std::min(report_burst, budget.m_reports + refill);
    budget.m_refilled_at = now;
    if (budget.m_reports < 1)
        return false;
    budget.m_reports -= 1;
    return true;
}

} // namespace pepperturn
