// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/crash_ledger.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/cluster/suspects.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// High half of the keys of all crash ledgers. Keys of programs are 128-bit
/// hashes, none of which has it but by chance.
constexpr std::uint64_t crash_ledger_tag = 0xc7a54ed9e2b1f063ULL;
/// High half of the keys of the rows of ends, likewise.
constexpr std::uint64_t end_row_tag = 0x3d51f0c88a6be297ULL;
constexpr std::uint64_t max_weight =
    std::uint64_t{max_runner_ends} * certain_end_weight;

} // namespace

id_key crash_ledger_key(std::uint64_t fingerprint)
{
    return {crash_ledger_tag, fingerprint};
}

std::optional<std::uint64_t> fingerprint_of_ledger(const id_key& ledger)
{
    if (ledger.m_high != crash_ledger_tag)
        return std::nullopt;
    return ledger.m_low;
}

id_key end_row_key(const id_key& attempt)
{
    return {end_row_tag, hash_combine(attempt.m_high, attempt.m_low)};
}

bool is_end_row(const id_key& row)
{
    return row.m_high == end_row_tag;
}

crash_count count_crashes(const std::vector<reservation>& unsettled)
{
    crash_count out;
    for (const auto& row : unsettled)
    {
        if (is_end_row(row.m_attempt))
        {
            out.m_end_weight += row.m_tokens;
            out.m_end_rows.push_back(row.m_attempt);
        }
        else
            out.m_reserved_weight += row.m_tokens;
    }
    return out;
}

bool may_end_another(std::uint64_t weight)
{
    return weight + certain_end_weight <= max_weight;
}

std::uint32_t ends_of_weight(std::uint64_t weight)
{
    return static_cast<std::uint32_t>((weight + certain_end_weight - 1) /
                                      certain_end_weight);
}

id_key turn_attempt_key(std::uint64_t fingerprint,
                        const std::string& request_id)
{
    return {fingerprint, key_of(request_id).m_low};
}

std::size_t count_other_tries(const std::vector<reservation>& unsettled,
                              const id_key& own)
{
    return static_cast<std::size_t>(std::count_if(
        unsettled.begin(), unsettled.end(), [&](const reservation& row) {
            return row.m_attempt.m_high == own.m_high && row.m_attempt != own;
        }));
}

} // namespace pepperturn
