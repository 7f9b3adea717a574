// SPDX-License-Identifier: BSL-1.0
/// \file
/// Placements at the engines of one service.
///
/// Load pattern: a service whose engines are used from all VMs. All placement
/// requests come here, so that each decision takes into account the placements
/// made a moment ago; with all engines full the calls are queued here, where
/// their order can still be changed, rather than in the engines' queues.
#pragma once

#include "pepperturn/scheduling/engine_placements.hpp"
#include "pepperturn/scheduling/engine_record.hpp"
#include "pepperturn/scheduling/placement_queue.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pepperturn {

/// Counts since start.
struct placement_counters
{
    std::uint64_t m_placed = 0;
    /// Tokens of the placed prompts, and how many of them were estimated to be
    /// cached.
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_cached_tokens = 0;
    std::uint64_t m_waited = 0;
    std::uint64_t m_no_room = 0;
    /// Placed beyond an engine's slots, because their program had begun.
    std::uint64_t m_forced = 0;
    /// Ended at another runner than the assigned one.
    std::uint64_t m_moved = 0;
    /// Reports of calls without a placement: late or duplicate ones.
    std::uint64_t m_unknown_reports = 0;
    /// Placements whose end was never reported.
    std::uint64_t m_lost = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_not_run = 0;

    friend bool operator==(const placement_counters&,
                           const placement_counters&) = default;
};

[[nodiscard]] placement_counters operator+(const placement_counters& left,
                                           const placement_counters& right);

class placement_service
{
public:
    void set_engines(const std::vector<engine_info>& engines);
    [[nodiscard]] std::optional<placement_reply>
    request_placement(const placement_request& request, instant now);
    void report(const placement_report& report, instant now);
    /// Appends the decisions on queued calls made since the last call.
    void take_decisions(instant now, std::vector<placement_decision>& out);
    /// Refuses all queued calls: this VM assigns no placements for the service
    /// any more.
    void close(std::vector<placement_decision>& out);

    [[nodiscard]] const placement_counters& counters() const
    {
        return m_counters;
    }
    [[nodiscard]] const std::vector<engine_record>& engines() const
    {
        return m_engines;
    }
    [[nodiscard]] std::size_t queued() const
    {
        return m_queue.m_size;
    }
    [[nodiscard]] std::size_t full_engines() const;
    [[nodiscard]] std::size_t under_way() const
    {
        return m_placements.size();
    }

private:
    /// Which capacity a placement may use.
    enum class slot_policy : std::uint8_t
    {
        /// Only engines with a free slot.
        free_slots,
        /// Also the engines' own queues.
        engine_queues
    };

    [[nodiscard]] bool has_engines() const;
    [[nodiscard]] std::optional<placement_reply>
    place(const placement_request& request, slot_policy policy, instant now);
    /// Fills the candidates with the engines that the call may use.
    void evaluate_engines(const placement_request& request, slot_policy policy,
                          instant now);
    /// True if any candidate has a free slot.
    [[nodiscard]] bool has_free_slot() const;
    [[nodiscard]] std::optional<std::size_t>
    choose_engine(const placement_request& request) const;
    [[nodiscard]] std::optional<placement_reply>
    queue_request(const placement_request& request, instant now);
    [[nodiscard]] double expected_wait_ms(const queued_call& entry,
                                          instant now) const;
    [[nodiscard]] double
    expected_work_ms(const placement_request& request) const;
    void advance_queue(instant now);
    void expire_queued(instant now);
    /// Returns false if the call is not queued.
    bool leave_queue(std::uint64_t call);
    void abandon(std::uint64_t call);
    void decide(std::uint64_t call, const placement_reply& reply);
    [[nodiscard]] engine_record* find(std::uint64_t runner);
    void end_on_other_engine(running_call call, const placement_report& report,
                             engine_record& assigned, instant now);

    /// An engine considered in the current decision.
    struct candidate
    {
        std::size_t m_engine = 0;
        engine_estimate m_estimate;
        double m_cost = 0;
        bool m_deprioritised = false;
        bool m_excluded = false;
    };

    std::vector<engine_record> m_engines;
    /// Index into m_engines by runner.
    std::unordered_map<std::uint64_t, std::size_t> m_index;
    service_profile m_profile;
    /// Runner of each placed call.
    std::unordered_map<std::uint64_t, std::uint64_t> m_placements;
    placement_queue m_queue;
    std::unordered_map<std::uint64_t, placement_request> m_queued_requests;
    std::vector<placement_decision> m_decisions;
    std::vector<candidate> m_candidates;
    placement_counters m_counters;
};

} // namespace pepperturn
