// SPDX-License-Identifier: BSL-1.0
/// \file
/// The queue of calls that wait for an engine slot, fair between workspaces.
///
/// Load pattern: a burst, often of one workspace, with all engines full. In a
/// common queue its calls would go before everybody else's. Here each
/// workspace has a queue of its own, and these are served by deficit round
/// robin on the work that they request: a workspace that requests its usual
/// share hardly waits, and the capacity that others leave goes to the burst.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/scheduling/admission.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// A queued call.
struct queued_call
{
    std::uint64_t m_call = 0;
    std::uint64_t m_workspace = 0;
    call_rank m_rank = call_rank::first;
    /// 0 is the most urgent.
    std::uint32_t m_priority = 0;
    instant m_enqueued{};
    /// When its queue timeout expires.
    instant m_deadline{};
    /// Time for which it is expected to occupy a slot, in milliseconds.
    double m_work_ms = 0;

    friend bool operator==(const queued_call&, const queued_call&) = default;
};

/// True if its program has had calls before, whether in time or late: refusing
/// it would waste all of them.
[[nodiscard]] bool has_begun_program(const queued_call& entry);

/// True if \p left is placed before \p right of the same workspace: by rank,
/// then by priority, then in order of arrival, unless the other has waited for
/// long.
[[nodiscard]] bool precedes(const queued_call& left, const queued_call& right);

/// The queue of one workspace.
struct workspace_queue
{
    std::uint64_t m_workspace = 0;
    /// Deficit counter: work that it may still place in its round, in
    /// milliseconds.
    double m_deficit_ms = 0;
    /// How fast first calls of programs are placed while it has a queue.
    admission_rate m_first_call_rate;
    /// In the order in which they are placed.
    std::vector<queued_call> m_calls;

    friend bool operator==(const workspace_queue&,
                           const workspace_queue&) = default;
};

/// The queues of all workspaces; the first one is being served.
struct placement_queue
{
    std::vector<workspace_queue> m_workspaces;
    std::size_t m_size = 0;

    friend bool operator==(const placement_queue&,
                           const placement_queue&) = default;
};

void enqueue_call(placement_queue& queue, const queued_call& entry);

/// Returns false if the call is not queued.
bool remove_queued(placement_queue& queue, std::uint64_t call);

/// The call to be placed next, valid until the queue changes; null: the queue
/// is empty.
[[nodiscard]] const queued_call* next_queued(placement_queue& queue);

/// Removes that call and charges its work to its workspace.
void dequeue_next(placement_queue& queue, instant now);

/// Removes the calls whose queue timeout has expired.
[[nodiscard]] std::vector<queued_call> remove_expired(placement_queue& queue,
                                                      instant now);

/// Work that would be placed before the entry if it were queued now, in
/// milliseconds.
/// \param begun_only counts only calls of programs that have begun
[[nodiscard]] double work_ahead(const placement_queue& queue,
                                const queued_call& entry, bool begun_only);

/// How long the entry would wait if it were queued now, in milliseconds. A
/// call of a program that has begun waits only for calls of its kind; the
/// first call of a program also waits for calls of such programs that have yet
/// to arrive, which the current rate of first calls of its workspace reflects.
/// \param places slots of the engines
[[nodiscard]] double expected_queue_wait(const placement_queue& queue,
                                         const queued_call& entry,
                                         double places, instant now);

} // namespace pepperturn
