// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limit_owners.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Lists are kept for this many takeover times: by then a window that was
/// assumed full after one of them has free capacity again.
constexpr int takeovers_kept = 3;

double share_in(const std::vector<std::string>& members,
                const std::string& self, std::uint64_t workspace,
                std::size_t target)
{
    const auto owners = owners_of(members, workspace, target);
    if (std::find(owners.begin(), owners.end(), self) == owners.end())
        return 0;
    return 1.0 / static_cast<double>(owners.size());
}

} // namespace

std::vector<std::string> owners_of(const std::vector<std::string>& members,
                                   std::uint64_t workspace, std::size_t target)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(members.size());
    for (const auto& name : members)
        ranked.emplace_back(hash64(name, workspace), name);
    const auto count = std::min(ranked.size(), target);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<std::string> out;
    out.reserve(count);
    for (auto row = ranked.begin(); row != end; ++row)
        out.push_back(std::move(row->second));
    return out;
}

owner_history unknown_history()
{
    return {{owner_history::period{}}};
}

void record_missed_members(owner_history& history, instant now,
                           milliseconds takeover)
{
    // With no members, nobody owns a share.
    record_members(history, {}, now, takeover);
}

void record_members(owner_history& history, std::vector<std::string> members,
                    instant now, milliseconds takeover)
{
    std::sort(members.begin(), members.end());
    auto& periods = history.m_periods;
    if (!periods.empty() && periods.back().m_members == members)
        return;
    if (!periods.empty())
        periods.back().m_replaced_at = now;
    periods.push_back({std::move(members)});
    std::erase_if(periods, [&](const owner_history::period& row) {
        return row.m_replaced_at != instant::max() &&
               now - row.m_replaced_at > takeovers_kept * takeover;
    });
}

double share_of(const owner_history& history, const std::string& self,
                std::uint64_t workspace, instant now, milliseconds takeover,
                std::size_t target)
{
    if (history.m_periods.empty())
        return 0;
    double share = 1;
    for (const auto& row : history.m_periods)
    {
        if (row.m_replaced_at != instant::max() &&
            now - row.m_replaced_at > takeover)
            continue;
        share =
            std::min(share, share_in(row.m_members, self, workspace, target));
    }
    return share;
}

instant granting_since(const owner_history& history, const std::string& self,
                       std::uint64_t workspace, double share,
                       milliseconds takeover, std::size_t target)
{
    const auto& periods = history.m_periods;
    for (auto row = periods.rbegin(); row != periods.rend(); ++row)
    {
        if (row->m_replaced_at != instant::max() &&
            share_in(row->m_members, self, workspace, target) < share)
            return row->m_replaced_at + takeover;
    }
    return instant{};
}

} // namespace pepperturn
