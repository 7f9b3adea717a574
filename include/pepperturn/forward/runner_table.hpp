// SPDX-License-Identifier: BSL-1.0
/// \file
/// The runners as one edge VM sees them, and which one a request goes to.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/forward/routing_config.hpp"
#include "pepperturn/scheduling/placement.hpp"

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
    std::uint64_t m_incarnation_hash = 0;
    /// Requests of this VM that are there now.
    std::uint32_t m_in_flight = 0;
    /// Smoothed time to the first byte of an answer, as a multiple of what is
    /// usual on the route; 1 before there is any.
    double m_slowness = 1;
    /// Not used before this while another runner is there.
    instant m_backoff_until{};
    /// Failures in a row.
    std::uint32_t m_consecutive_failures = 0;
    /// Smoothed share of requests that went wrong, and when it was current;
    /// it fades, so that a runner gets another chance.
    double m_error_rate = 0;
    instant m_error_rate_time{};
    /// It bears few requests until then.
    instant m_cold_until{};
};

struct runner_query
{
    std::string m_service;
    /// Incarnation in which the prefix is cached; empty: nowhere.
    std::string m_preferred_incarnation;
    std::string m_availability_zone;
    /// Runners that have refused this request already.
    std::set<std::string> m_excluded;
    /// Draws among equals.
    std::uint64_t m_random_tiebreak = 0;
    /// Whether a kept connection to a runner is idle; empty: never.
    std::function<bool(const std::string&)> m_connected = {};
    /// Hash of the beginning that its prompt shares with others; 0: none.
    std::uint64_t m_shared_prefix = 0;
    /// Cold runners are left alone.
    bool m_warm_only = false;
    /// Only runners of these regions; empty: of any.
    std::optional<std::set<std::string>> m_regions = {};
};

/// Of a service with many runners a VM weighs these for one call: several
/// times what one VM has under way, so that it finds an idle one among them.
constexpr std::size_t max_candidates = 64;
/// Runners of each zone on which prompts with one shared part meet: enough to
/// bear the loss of some, few enough that the part is seldom read anew.
constexpr std::size_t runners_per_prefix = 4;

class runner_table
{
public:
    /// \param seed of this VM: which runners of a large service it uses
    explicit runner_table(std::uint64_t seed = 0) : m_seed(seed) {}

    void set_seed(std::uint64_t seed)
    {
        m_seed = seed;
    }
    /// Takes what changed; keeps what was seen of those that stay.
    /// \returns ids of runners that have started anew
    std::vector<std::string> update(const std::vector<runner_change>& changes,
                                    instant now = {});
    /// Takes the current list: whoever is not in it has gone.
    std::vector<std::string> replace(const std::vector<runner_info>& runners,
                                     instant now = {});
    void set_zones(zone_map zones)
    {
        m_zones = std::move(zones);
    }
    /// Runners of \p zones get nothing.
    void evacuate(const std::vector<std::string>& zones);

    /// The runner with the least load, or the preferred one unless it is
    /// clearly busier; null: none is left. Of many runners it weighs some:
    /// each VM its own, so that all together use all.
    /// \param weighed if given, how many runners were looked at is added
    [[nodiscard]] const runner_row*
    choose(const runner_query& choice, instant now,
           std::size_t* weighed = nullptr) const;
    /// It may be sent requests.
    [[nodiscard]] bool is_usable(const runner_row& row) const;
    /// Of those, by \p choice.
    [[nodiscard]] bool is_eligible(const runner_row& row,
                                   const runner_query& choice) const;

    [[nodiscard]] const runner_row* find(const std::string& id) const;
    /// Null: that life of a runner is over.
    [[nodiscard]] const runner_row*
    find_incarnation(const std::string& incarnation) const;
    /// \param hash of an incarnation; null: none of the list has it
    [[nodiscard]] const runner_row*
    find_incarnation_hash(std::uint64_t hash) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

    void record_request_start(const std::string& id);
    void record_request_end(const std::string& id);
    /// \param route requests of one route take about the same time
    void record_first_byte(const std::string& id, const std::string& route,
                           milliseconds latency);
    /// What is usual on a route; zero: nothing is known yet.
    [[nodiscard]] milliseconds
    average_first_byte(const std::string& route) const;
    /// A connection was refused, cut or silent.
    void record_failure(const std::string& id, instant now);
    /// How a request ended there: well, or with an error of the runner's own
    /// or with silence.
    void record_result(const std::string& id, bool good, instant now);
    /// The runner said that it is full.
    void record_full(const std::string& id, instant now);

private:
    /// Runners in the order of their hashes: each point is followed by another
    /// one, and comes and goes of others move few points.
    using ring = std::map<std::uint64_t, const runner_row*>;
    struct service_rows
    {
        ring m_all;
        std::map<std::string, ring> m_zones;
    };

    [[nodiscard]] runner_row* find_row(const std::string& id);
    void add(const runner_info& info, runner_row& row, instant now);
    void remove(const runner_row& row);
    /// Those that \p choice may go to, most of them of its own zone.
    using row_list = std::vector<const runner_row*>;
    /// Those that \p choice may go to, most of them of its own zone.
    [[nodiscard]] row_list select_candidates(const service_rows& rows,
                                             const runner_query& choice) const;
    /// Where prompts with the call's shared part meet.
    [[nodiscard]] row_list runners_for_prefix(const service_rows& rows,
                                              const runner_query& choice) const;
    /// \param homes some of them, preferred a little
    [[nodiscard]] const runner_row* choose_among(const row_list& rows,
                                                 const row_list& homes,
                                                 const runner_query& choice,
                                                 instant now) const;
    [[nodiscard]] runner_candidate make_candidate(const runner_row& row,
                                                  const runner_query& choice,
                                                  instant now) const;

    std::uint64_t m_seed;
    zone_map m_zones;
    std::map<std::string, runner_row> m_rows;
    std::map<std::string, service_rows> m_by_service;
    std::unordered_map<std::uint64_t, const runner_row*> m_by_hash;
    std::set<std::string> m_evacuated;
    /// Smoothed time to the first byte on each route, in milliseconds.
    std::map<std::string, double> m_average_first_byte_ms;
};

} // namespace pepperturn
