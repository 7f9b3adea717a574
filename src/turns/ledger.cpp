// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/ledger.hpp"

namespace pepperturn {

void join_ledger(joint_ledger& ledger, const std::vector<reservation>& rows)
{
    for (const auto& row : rows)
    {
        const auto [known, inserted] = ledger.try_emplace(row.m_attempt, row);
        if (!inserted && row.m_settled && !known->second.m_settled)
            known->second = row;
    }
}

std::uint64_t committed_tokens(const joint_ledger& ledger, const id_key& own)
{
    std::uint64_t sum = 0;
    for (const auto& [attempt, row] : ledger)
    {
        if (attempt != own)
            sum += row.m_tokens;
    }
    return sum;
}

std::vector<reservation> unsettled_of(const joint_ledger& ledger,
                                      const id_key& own)
{
    std::vector<reservation> out;
    for (const auto& [attempt, row] : ledger)
    {
        if (!row.m_settled && attempt != own)
            out.push_back(row);
    }
    return out;
}

bool fits_budget(const joint_ledger& ledger, const reservation& own,
                 std::uint64_t budget)
{
    return committed_tokens(ledger, own.m_attempt) + own.m_tokens <= budget;
}

} // namespace pepperturn
