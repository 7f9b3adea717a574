// SPDX-License-Identifier: BSL-1.0
/// \file
/// Places at the engines of one service.
///
/// Load pattern: a service whose engines are asked for from all VMs. All
/// questions come here, so that each sees what the others were given a moment
/// ago; with all engines full the calls wait here, where their order can
/// still be changed, rather than in the engines' queues.
#pragma once

#include "pepperturn/scheduling/engine_places.hpp"
#include "pepperturn/scheduling/engine_record.hpp"
#include "pepperturn/scheduling/place_line.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pepperturn {

/// What has happened so far.
struct place_counters
{
    std::uint64_t m_placed = 0;
    /// Of the prompts placed, and what of them was thought to be in memory.
    std::uint64_t m_prompt_tokens = 0;
    std::uint64_t m_cached_tokens = 0;
    std::uint64_t m_waited = 0;
    std::uint64_t m_no_room = 0;
    /// Placed beyond an engine's slots, as their program had begun.
    std::uint64_t m_forced = 0;
    /// Ended at another runner than the one that was named.
    std::uint64_t m_moved = 0;
    /// Reports of calls that have no place: late ones, or told twice.
    std::uint64_t m_unknown_reports = 0;
    /// Places whose end was never told.
    std::uint64_t m_lost = 0;
    std::uint64_t m_broken = 0;
    std::uint64_t m_not_run = 0;

    friend bool operator==(const place_counters&,
                           const place_counters&) = default;
};

[[nodiscard]] place_counters operator+(const place_counters& left,
                                       const place_counters& right);

class place_service
{
public:
    void follow(const std::vector<engine_facts>& engines);
    [[nodiscard]] std::optional<place_answer>
    ask(const place_question& question, instant now);
    void report(const place_report& report, instant now);
    /// Appends the calls that were decided since.
    void take_decided(instant now, std::vector<decided_place>& out);
    /// Answers all that wait: this VM hands out no places here any more.
    void close(std::vector<decided_place>& out);

    [[nodiscard]] const place_counters& counters() const
    {
        return m_counters;
    }
    [[nodiscard]] const std::vector<engine_record>& engines() const
    {
        return m_engines;
    }
    [[nodiscard]] std::size_t waiting() const
    {
        return m_line.m_size;
    }
    [[nodiscard]] std::size_t full_engines() const;
    [[nodiscard]] std::size_t under_way() const
    {
        return m_places.size();
    }

private:
    /// Where a call may go.
    enum class reach : std::uint8_t
    {
        /// Only to engines with room.
        open,
        /// Also into the engines' own queues.
        queue
    };

    [[nodiscard]] bool has_engines() const;
    [[nodiscard]] std::optional<place_answer>
    place(const place_question& question, reach reach, instant now);
    /// Fills the choices with the engines that the call may go to.
    void weigh_engines(const place_question& question, reach reach,
                       instant now);
    /// Among the choices.
    [[nodiscard]] bool has_room() const;
    [[nodiscard]] std::optional<std::size_t>
    choose_engine(const place_question& question) const;
    [[nodiscard]] std::optional<place_answer>
    join_line(const place_question& question, instant now);
    [[nodiscard]] double wait_ms(const line_entry& entry, instant now) const;
    [[nodiscard]] double work_ms(const place_question& question) const;
    void advance_line(instant now);
    void end_patience(instant now);
    /// False: the call doesn't wait.
    bool leave_line(std::uint64_t call);
    void give_up(std::uint64_t call);
    void decide(std::uint64_t call, const place_answer& answer);
    [[nodiscard]] engine_record* find(std::uint64_t runner);
    void end_elsewhere(running_call call, const place_report& report,
                       engine_record& planned, instant now);

    /// An engine in the decision under way.
    struct choice
    {
        std::size_t m_engine = 0;
        engine_outlook m_outlook;
        double m_cost = 0;
        bool m_shunned = false;
        bool m_excluded = false;
    };

    std::vector<engine_record> m_engines;
    /// Where each runner's row is.
    std::unordered_map<std::uint64_t, std::size_t> m_index;
    service_norm m_norm;
    /// Runner of each call under way.
    std::unordered_map<std::uint64_t, std::uint64_t> m_places;
    place_line m_line;
    std::unordered_map<std::uint64_t, place_question> m_waiting;
    std::vector<decided_place> m_decided;
    std::vector<choice> m_choices;
    place_counters m_counters;
};

} // namespace pepperturn
