// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_retention.hpp"

#include <algorithm>

namespace pepperturn {

void turn_retention::retain(const id_key& turn,
                            const std::vector<id_key>& ancestors, instant until)
{
    const id_key* child = &turn;
    for (const auto& ancestor : ancestors)
    {
        auto& row = m_rows[*child];
        row.m_parent = ancestor;
        row.m_end = std::max(row.m_end, until);
        child = &ancestor;
    }
    auto& first = m_rows[*child];
    first.m_end = std::max(first.m_end, until);
}

void turn_retention::extend(const id_key& turn, instant until)
{
    auto next = turn;
    while (next != id_key{})
    {
        const auto found = m_rows.find(next);
        // A row ends no later than its parent's, so that the rest of the
        // history is retained for as long.
        if (found == m_rows.end() || found->second.m_end >= until)
            return;
        found->second.m_end = until;
        next = found->second.m_parent;
    }
}

std::optional<instant> turn_retention::end_of(const id_key& turn) const
{
    const auto found = m_rows.find(turn);
    if (found == m_rows.end())
        return std::nullopt;
    return found->second.m_end;
}

} // namespace pepperturn
