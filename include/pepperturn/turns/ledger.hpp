// SPDX-License-Identifier: BSL-1.0
/// \file
/// Budgets of programs, decided from what several storage VMs know.
#pragma once

#include "pepperturn/turns/records.hpp"

#include <map>

namespace pepperturn {

/// The reservations of one program as several members know them together.
using joint_ledger = std::map<id_key, reservation>;

/// Adds what one member knows. A settled figure goes before a reserved one:
/// settling comes later, and only from the VM that reserved.
void join_ledger(joint_ledger& ledger, const std::vector<reservation>& rows);

/// Tokens that all attempts but \p own have had or may still have.
[[nodiscard]] std::uint64_t committed_tokens(const joint_ledger& ledger,
                                             const id_key& own);

/// \param budget tokens that the whole program may have
[[nodiscard]] bool fits_budget(const joint_ledger& ledger,
                               const reservation& own, std::uint64_t budget);

} // namespace pepperturn
