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
struct queued_call
{
    std::uint64_t m_call = 0;
    std::uint64_t m_workspace = 0;
    call_rank m_rank = call_rank::first;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    instant m_enqueued{};
    /// When its patience ends.
    instant m_deadline{};
    /// Time that it is expected to take an engine's place.
    double m_work_ms = 0;

    friend bool operator==(const queued_call&, const queued_call&) = default;
};

/// True if its program has had calls before, be it in time or late: refused,
/// all of it would be lost.
[[nodiscard]] bool has_begun_program(const queued_call& entry);

/// True if \p left goes before \p right of the same workspace: by rank, then
/// by priority, then in order of arrival, unless the other has waited for
/// long.
[[nodiscard]] bool precedes(const queued_call& left, const queued_call& right);

/// The line of one workspace.
struct workspace_queue
{
    std::uint64_t m_workspace = 0;
    /// Work that it may still have in its turn.
    double m_deficit_ms = 0;
    /// How fast its calls go that open programs, while it has a line.
    admission_rate m_first_call_rate;
    /// In the order in which they go.
    std::vector<queued_call> m_calls;

    friend bool operator==(const workspace_queue&,
                           const workspace_queue&) = default;
};

/// All lines; the first of them has its turn.
struct placement_queue
{
    std::vector<workspace_queue> m_workspaces;
    std::size_t m_size = 0;

    friend bool operator==(const placement_queue&,
                           const placement_queue&) = default;
};

void enqueue_call(placement_queue& line, const queued_call& entry);

/// False: the call does not wait.
bool remove_queued(placement_queue& line, std::uint64_t call);

/// The call that goes next, until the line changes; null: nobody waits.
[[nodiscard]] const queued_call* next_queued(placement_queue& line);

/// Takes that call out; its work counts against its workspace.
void dequeue_next(placement_queue& line, instant now);

/// Takes the calls out whose patience is over.
[[nodiscard]] std::vector<queued_call> remove_expired(placement_queue& line,
                                                      instant now);

/// Work that goes before the entry if it joins the line now.
/// \param begun_only counts only calls of programs under way
[[nodiscard]] double work_ahead(const placement_queue& line,
                                const queued_call& entry, bool begun_only);

/// How long the entry waits if it joins the line now, in milliseconds. A call
/// of a program under way waits for its like only; one that opens a program
/// also for those under way that are yet to come, which shows in how fast
/// such calls of its workspace go now.
/// \param places that the engines have for calls
[[nodiscard]] double expected_queue_wait(const placement_queue& line,
                                         const queued_call& entry,
                                         double places, instant now);

} // namespace pepperturn
