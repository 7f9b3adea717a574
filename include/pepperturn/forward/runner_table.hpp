// SPDX-License-Identifier: BSL-1.0
/// \file
/// The runners as one edge VM sees them, and which one a request goes to.
#pragma once

#include "pepperturn/forward/routing_config.hpp"

#include <functional>
#include <set>
#include <unordered_map>

namespace pepperturn {

/// One runner with what this VM has seen of it.
struct runner_row
{
    runner_info m_info;
    /// This life of it.
    std::string m_incarnation;
    /// Hash of that, as other VMs name it.
    std::uint64_t m_hash = 0;
    /// Requests of this VM that are there now.
    std::uint32_t m_in_flight = 0;
    /// Smoothed time to the first byte of an answer, as a multiple of what is
    /// usual on the route; 1 before there is any.
    double m_slowness = 1;
    /// Not used before this while another runner is there.
    instant m_avoid_until{};
    /// Failures in a row.
    std::uint32_t m_failures = 0;
    /// Smoothed share of requests that went wrong, and when it was current;
    /// it fades, so that a runner gets another chance.
    double m_trouble = 0;
    instant m_trouble_at{};
};

struct runner_choice
{
    std::string m_service;
    /// Incarnation in which the prefix is cached; empty: nowhere.
    std::string m_preferred;
    std::string m_availability_zone;
    /// Runners that have refused this request already.
    std::set<std::string> m_excluded;
    /// Draws among equals.
    std::uint64_t m_draw = 0;
    /// Whether a kept connection to a runner is idle; empty: never.
    std::function<bool(const std::string&)> m_connected = {};
};

class runner_table
{
public:
    /// Takes the current list; keeps what was seen of those that stay.
    /// \returns ids of runners that have started anew
    std::vector<std::string> replace(const std::vector<runner_info>& runners);

    /// The runner with the least load, or the preferred one unless it is
    /// clearly busier; null: none is left.
    [[nodiscard]] const runner_row* choose(const runner_choice& choice,
                                           instant now) const;

    [[nodiscard]] const runner_row* find(const std::string& id) const;
    /// Null: that life of a runner is over.
    [[nodiscard]] const runner_row*
    find_incarnation(const std::string& incarnation) const;
    /// \param hash of an incarnation; null: none of the list has it
    [[nodiscard]] const runner_row* find_hashed(std::uint64_t hash) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

    void note_sent(const std::string& id);
    void note_ended(const std::string& id);
    /// \param route requests of one route take about the same time
    void note_first_byte(const std::string& id, const std::string& route,
                         milliseconds latency);
    /// What is usual on a route; zero: nothing is known yet.
    [[nodiscard]] milliseconds usual_first_byte(const std::string& route) const;
    /// A connection was refused, cut or silent.
    void note_failure(const std::string& id, instant now);
    /// How a request ended there: well, or with an error of the runner's own
    /// or with silence.
    void note_result(const std::string& id, bool good, instant now);
    /// The runner said that it is full.
    void note_full(const std::string& id, instant now);

private:
    [[nodiscard]] runner_row* locate(const std::string& id);

    std::map<std::string, runner_row> m_rows;
    std::map<std::string, std::vector<std::string>> m_by_service;
    std::unordered_map<std::uint64_t, std::string> m_by_hash;
    /// Smoothed time to the first byte on each route, in milliseconds.
    std::map<std::string, double> m_usual_ms;
};

} // namespace pepperturn
