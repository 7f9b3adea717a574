// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/relay_peers.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace pepperturn {

namespace {

struct ranked_peer
{
    std::uint64_t m_hash = 0;
    const relay_peer* m_row = nullptr;
};

/// Appends the \p count rows with the lowest random values to \p out.
void take_first(std::vector<ranked_peer>& rows, std::size_t count,
                std::vector<relay_peer>& out)
{
    std::sort(rows.begin(), rows.end(),
              [](const ranked_peer& left, const ranked_peer& right) {
                  return left.m_hash < right.m_hash;
              });
    rows.resize(std::min(rows.size(), count));
    for (const auto& row : rows)
        out.push_back(*row.m_row);
}

} // namespace

std::vector<relay_peer>
choose_relay_peers(const std::vector<relay_peer>& candidates,
                   const std::string& requester,
                   const std::string& availability_zone)
{
    std::vector<ranked_peer> near;
    std::vector<ranked_peer> far;
    std::set<std::string> seen{requester};
    const auto requester_hash = hash64(requester);
    for (const auto& row : candidates)
    {
        if (row.m_address.empty() || !seen.insert(row.m_name).second)
            continue;
        auto& rows = row.m_availability_zone == availability_zone ? near : far;
        rows.push_back({hash64(row.m_name, requester_hash), &row});
    }
    std::vector<relay_peer> out;
    take_first(near, near_peer_count, out);
    take_first(far, far_peer_count, out);
    return out;
}

std::optional<std::size_t>
next_relay_peer(const std::vector<relay_peer_facts>& rows,
                const std::string& member, const std::string& availability_zone,
                instant now)
{
    const bool tried_near =
        std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
            return row.m_tried && row.m_availability_zone == availability_zone;
        });
    const auto member_hash = hash64(member);
    std::optional<std::size_t> best;
    std::tuple<std::size_t, bool, std::uint64_t> best_rank;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const auto& row = rows[i];
        if (row.m_tried || row.m_backoff_until > now ||
            row.m_unreachable_until > now)
            continue;
        const bool near = row.m_availability_zone == availability_zone;
        const std::tuple rank{row.m_in_flight / requests_per_load_step,
                              near == tried_near,
                              hash64(row.m_name, member_hash)};
        if (best && best_rank <= rank)
            continue;
        best = i;
        best_rank = rank;
    }
    return best;
}

} // namespace pepperturn
