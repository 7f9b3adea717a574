// SPDX-License-Identifier: BSL-1.0
/// \file
/// Runner ends of a request, kept as a budget: each request may end a few
/// runners. Storage VMs keep it beside the token budgets of programs, so that
/// one quorum's answer tells all ends, through whichever VM they came and over
/// restarts.
///
/// A ledger has two kinds of rows. An attempt that may end a runner is reserved
/// before it is sent, and settled with nothing once its runner is known to have
/// outlived it. An end has a row of its own, so that settling an attempt, by
/// whichever VM, never takes an end away. Each row that stays unsettled counts,
/// also where two name the same runner: one that has started anew may go on
/// under the incarnation that VMs know.
///
/// Turns reserve tokens in the ledger of their program in any case. Their tries
/// are told apart there, so that too many are not sent side by side.
#pragma once

#include "pepperturn/turns/records.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// Ends are counted in parts, since not each is known to be the request's
/// doing. Nothing else explains this one; an attempt under way counts as much.
constexpr std::uint32_t certain_end_weight = 2;
/// Something else may have ended the runner.
constexpr std::uint32_t doubtful_end_weight = 1;

/// The ledger of a request. Its high half is the same for all requests, so that
/// a storage VM finds these ledgers among those of programs.
[[nodiscard]] id_key crash_ledger_key(std::uint64_t fingerprint);
/// \returns empty for the ledger of a program
[[nodiscard]] std::optional<std::uint64_t>
fingerprint_of_ledger(const id_key& ledger);

/// The row of the end of the attempt's runner.
[[nodiscard]] id_key end_row_key(const id_key& attempt);
[[nodiscard]] bool is_end_row(const id_key& row);

/// What the unsettled rows of a ledger come to.
struct crash_count
{
    /// Of the ends, in parts.
    std::uint64_t m_end_weight = 0;
    /// Of the attempts that may end a runner yet.
    std::uint64_t m_reserved_weight = 0;
    /// Rows of the ends.
    std::vector<id_key> m_end_rows;

    friend bool operator==(const crash_count&, const crash_count&) = default;
};

/// \param unsettled rows of one ledger
[[nodiscard]] crash_count
count_crashes(const std::vector<reservation>& unsettled);
/// Whether rows of \p weight leave room for an attempt that may end another
/// runner.
[[nodiscard]] bool may_end_another(std::uint64_t weight);
/// Runners that rows of \p weight stand for, rounded up.
[[nodiscard]] std::uint32_t ends_of_weight(std::uint64_t weight);

/// Key of one try of a turn in the ledger of its program: all tries of one turn
/// have the high half in common, so that those under way elsewhere are known
/// before a runner has ended.
/// \param fingerprint of the turn
[[nodiscard]] id_key turn_attempt_key(std::uint64_t fingerprint,
                                      const std::string& request_id);
/// Other tries of the turn that are under way.
/// \param unsettled rows of the program's ledger
[[nodiscard]] std::size_t
count_other_tries(const std::vector<reservation>& unsettled, const id_key& own);

} // namespace pepperturn
