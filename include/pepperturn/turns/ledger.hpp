// SPDX-License-Identifier: BSL-1.0
/// \file
/// Token budgets of programs, decided from the reservations that several
/// storage VMs report.
#pragma once

#include "pepperturn/turns/records.hpp"

#include <map>
#include <vector>

namespace pepperturn {

/// The reservations of one program, merged from several members, by attempt.
using joint_ledger = std::map<id_key, reservation>;

/// Merges the rows of one member. A settled count replaces a reserved one:
/// settling happens later, and only by the VM that reserved.
void join_ledger(joint_ledger& ledger, const std::vector<reservation>& rows);

/// Tokens that all attempts except \p own have used or have reserved.
[[nodiscard]] std::uint64_t committed_tokens(const joint_ledger& ledger,
                                             const id_key& own);

/// Reservations of other attempts than \p own that are not settled.
[[nodiscard]] std::vector<reservation> unsettled_of(const joint_ledger& ledger,
                                                    const id_key& own);

/// \param budget maximum tokens of the whole program
[[nodiscard]] bool fits_budget(const joint_ledger& ledger,
                               const reservation& own, std::uint64_t budget);

} // namespace pepperturn
