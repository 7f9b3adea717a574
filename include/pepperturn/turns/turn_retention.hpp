// SPDX-License-Identifier: BSL-1.0
/// \file
/// Until when turns are needed: a turn is retained for as long as any turn that
/// continues it, directly or through others.
///
/// A storage VM stores only some turns of a history, and learns of the others
/// from the turns that continue them. It remembers until when those are needed
/// too, since it may be the only member that can tell their holders.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/turns/records.hpp"

#include <optional>
#include <unordered_map>

namespace pepperturn {

class turn_retention
{
public:
    /// Records that \p turn and \p ancestors are needed until \p until.
    /// \param ancestors what it continues, its parent first
    void retain(const id_key& turn, const std::vector<id_key>& ancestors,
                instant until);
    /// The same for \p turn and its ancestors as far as they are known here.
    void extend(const id_key& turn, instant until);
    /// Empty: nothing is known of the turn.
    [[nodiscard]] std::optional<instant> end_of(const id_key& turn) const;
    /// Forgets turns that are no longer needed by \p now, except those of which
    /// \p stored is true.
    template <class Predicate> void forget_ended(instant now, Predicate stored)
    {
        std::erase_if(m_rows, [&](const auto& row) {
            return row.second.m_end <= now && !stored(row.first);
        });
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

private:
    struct row
    {
        /// All zero: none, or not known.
        id_key m_parent;
        instant m_end{};
    };

    std::unordered_map<id_key, row, id_key_hash> m_rows;
};

} // namespace pepperturn
