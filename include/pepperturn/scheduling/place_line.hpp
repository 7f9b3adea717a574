// SPDX-License-Identifier: BSL-1.0
/// \file
/// Who is next among the calls that wait for a place at an engine.
///
/// Load pattern: a burst, often of one workspace, with all engines full. In a
/// common line its calls stand before everybody else's. Here each workspace
/// has a line of its own, and these take turns by the work that they ask for
/// (deficit round robin): whoever asks for its usual share hardly waits, and
/// what others leave goes to the burst.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/admission.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// A call in line.
struct line_entry
{
    std::uint64_t m_call = 0;
    std::uint64_t m_workspace = 0;
    call_rank m_rank = call_rank::first;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    instant m_since{};
    /// When its patience ends.
    instant m_until{};
    /// Time that it is expected to take an engine's place.
    double m_work_ms = 0;

    friend bool operator==(const line_entry&, const line_entry&) = default;
};

/// True if its program has had calls before, be it in time or late: refused,
/// all of it would be lost.
[[nodiscard]] bool is_begun(const line_entry& entry);

/// True if \p left goes before \p right of the same workspace: by rank, then
/// by priority, then in order of arrival, unless the other has waited for
/// long.
[[nodiscard]] bool goes_before(const line_entry& left, const line_entry& right);

/// The line of one workspace.
struct workspace_line
{
    std::uint64_t m_workspace = 0;
    /// Work that it may still have in its turn.
    double m_credit_ms = 0;
    /// How fast its calls go that open programs, while it has a line.
    drain_rate m_opening;
    /// In the order in which they go.
    std::vector<line_entry> m_entries;

    friend bool operator==(const workspace_line&,
                           const workspace_line&) = default;
};

/// All lines; the first of them has its turn.
struct place_line
{
    std::vector<workspace_line> m_workspaces;
    std::size_t m_size = 0;

    friend bool operator==(const place_line&, const place_line&) = default;
};

void add_waiting(place_line& line, const line_entry& entry);

/// False: the call does not wait.
bool remove_waiting(place_line& line, std::uint64_t call);

/// The call that goes next, until the line changes; null: nobody waits.
[[nodiscard]] const line_entry* next_waiting(place_line& line);

/// Takes that call out; its work counts against its workspace.
void drop_next(place_line& line, instant now);

/// Takes the calls out whose patience is over.
[[nodiscard]] std::vector<line_entry> take_expired(place_line& line,
                                                   instant now);

/// Work that goes before the entry if it joins the line now.
/// \param begun_only counts only calls of programs under way
[[nodiscard]] double work_before(const place_line& line,
                                 const line_entry& entry, bool begun_only);

/// How long the entry waits if it joins the line now, in milliseconds. A call
/// of a program under way waits for its like only; one that opens a program
/// also for those under way that are yet to come, which shows in how fast
/// such calls of its workspace go now.
/// \param places that the engines have for calls
[[nodiscard]] double expected_line_wait(const place_line& line,
                                        const line_entry& entry, double places,
                                        instant now);

} // namespace pepperturn
