// SPDX-License-Identifier: BSL-1.0
/// \file
/// One edge VM's view of the runners, and the choice of a runner for a request.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/forward/routing_config.hpp"
#include "pepperturn/scheduling/placement.hpp"

#include <boost/container/flat_map.hpp>
#include <functional>
#include <set>

namespace pepperturn {

/// One runner and what this VM has observed of it.
struct runner_row
{
    runner_info m_info;
    /// Identifies this start of the runner, see \ref incarnation_of.
    std::string m_incarnation;
    /// Hash of the incarnation, which other VMs use to refer to it.
    std::uint64_t m_incarnation_hash = 0;
    /// Requests from this VM that the runner is processing.
    std::uint32_t m_in_flight = 0;
    /// Smoothed time to the first byte of a response, as a multiple of the
    /// route's average; 1 before the first response.
    double m_slowness = 1;
    /// Until then the runner is used only if no other is available.
    instant m_backoff_until{};
    std::uint32_t m_consecutive_failures = 0;
    /// Smoothed share of failed requests, and the time of its last update. It
    /// decays over time, so that a runner that has failed is tried again.
    double m_error_rate = 0;
    instant m_error_rate_time{};
    /// Until then the runner is cold and can serve few requests.
    instant m_cold_until{};
    /// When it last accepted a connection or answered; empty: never.
    std::optional<instant> m_last_alive;
    /// When it last refused a connection or broke one off; empty: never.
    std::optional<instant> m_last_failed;
};

/// What a request requires or prefers of its runner.
struct runner_query
{
    std::string m_service;
    /// Incarnation that has the prompt's prefix cached; empty: none.
    std::string m_preferred_incarnation;
    std::string m_availability_zone;
    /// Ids of runners that have already refused this request.
    std::set<std::string> m_excluded;
    /// Decides between runners of equal cost.
    std::uint64_t m_random_tiebreak = 0;
    /// Whether an idle kept-alive connection to the runner exists; empty:
    /// never.
    std::function<bool(const std::string&)> m_connected = {};
    /// Hash of the prefix that the prompt shares with others; 0: none.
    std::uint64_t m_shared_prefix = 0;
    /// Excludes cold runners.
    bool m_warm_only = false;
    /// Regions whose runners may be used; empty: any region.
    std::optional<std::set<std::string>> m_regions = {};
};

/// Runners of a large service that a VM compares for one call: several times
/// the calls that one VM has in flight, so that an idle one is among them.
constexpr std::size_t max_candidates = 64;
/// Runners of each zone that serve the prompts with one shared prefix: enough
/// to tolerate the loss of some, few enough that the prefix is seldom
/// recomputed.
constexpr std::size_t runners_per_prefix = 4;

/// Selects runners by load, latency, error rate and cached prompts.
class runner_table
{
public:
    /// \param seed of this VM; selects which runners of a large service it uses
    explicit runner_table(std::uint64_t seed = 0) : m_seed(seed) {}
    // The rings point to rows, which a move keeps and a copy would not.
    runner_table(const runner_table&) = delete;
    runner_table& operator=(const runner_table&) = delete;
    runner_table(runner_table&&) = default;
    runner_table& operator=(runner_table&&) = default;
    ~runner_table() = default;

    void set_seed(std::uint64_t seed)
    {
        m_seed = seed;
    }
    /// Applies \p changes; runners that remain keep their statistics.
    /// \returns ids of runners that have restarted
    std::vector<std::string> update(const std::vector<runner_change>& changes,
                                    instant now = {});
    /// Replaces the list of runners; those not in \p runners are removed.
    std::vector<std::string> replace(const std::vector<runner_info>& runners,
                                     instant now = {});
    void set_zones(zone_map zones)
    {
        m_zones = std::move(zones);
    }
    /// Sends no requests to runners of \p zones; replaces the previous list.
    void evacuate(const std::vector<std::string>& zones);

    /// The runner with the least load, or the preferred one unless it is
    /// clearly busier; null: none is eligible. For a large service only some
    /// runners are compared. Each VM's seed selects others, so that all VMs
    /// together use all runners.
    /// \param compared if not null, incremented by the number of runners
    /// compared
    [[nodiscard]] const runner_row*
    choose(const runner_query& query, instant now,
           std::size_t* compared = nullptr) const;
    /// Neither draining nor in an evacuated zone.
    [[nodiscard]] bool is_usable(const runner_row& row) const;
    /// Usable, and allowed by \p query.
    [[nodiscard]] bool is_eligible(const runner_row& row,
                                   const runner_query& query) const;

    [[nodiscard]] const runner_row* find(const std::string& id) const;
    /// Null: the runner has restarted or was removed.
    [[nodiscard]] const runner_row*
    find_incarnation(const std::string& incarnation) const;
    /// \param hash of an incarnation
    /// \returns null if no listed runner has it
    [[nodiscard]] const runner_row*
    find_incarnation_hash(std::uint64_t hash) const;
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    [[nodiscard]] std::size_t usable_count() const;
    /// Runners of one service, usable or not.
    [[nodiscard]] std::size_t count_of(const std::string& service) const;

    /// Some runners of one service, usable or not, of all its zones alike.
    /// \param most as many are returned at most
    /// \param seed decides which
    [[nodiscard]] std::vector<runner_row> sample(const std::string& service,
                                                 std::size_t most,
                                                 std::uint64_t seed) const;

    void record_request_start(const std::string& id);
    void record_request_end(const std::string& id);
    /// \param route name; requests of one route take about the same time
    void record_first_byte(const std::string& id, const std::string& route,
                           milliseconds latency);
    /// Smoothed time to the first byte on a route; zero: no response yet.
    [[nodiscard]] milliseconds
    average_first_byte(const std::string& route) const;
    /// The runner has accepted a connection or answered.
    void record_alive(const std::string& id, instant now);
    /// A connection was refused, was aborted or timed out; starts a back-off.
    void record_failure(const std::string& id, instant now);
    /// Updates the error rate with the result of one request.
    /// \param good false after an error of the runner's own or a time-out
    void record_result(const std::string& id, bool good, instant now);
    /// The runner reported that it has no free slot; starts a short back-off.
    void record_full(const std::string& id, instant now);

private:
    /// Hash ring of runners by incarnation. Adding or removing a runner
    /// changes the successor of few points.
    using ring = boost::container::flat_map<std::uint64_t, const runner_row*>;
    struct service_rows
    {
        std::map<std::string, ring> m_zones;

        [[nodiscard]] std::size_t size() const;
    };

    [[nodiscard]] runner_row* find_row(const std::string& id);
    void add(const runner_info& info, runner_row& row, instant now);
    void remove(const runner_row& row);
    using row_list = std::vector<const runner_row*>;
    /// Runners to compare for \p query, mostly of its own zone.
    [[nodiscard]] row_list select_candidates(const service_rows& rows,
                                             const runner_query& query) const;
    /// Runners of the query's zone that serve its shared prefix.
    [[nodiscard]] row_list runners_for_prefix(const service_rows& rows,
                                              const runner_query& query) const;
    /// \param prefix_runners those of \p rows that are slightly preferred
    [[nodiscard]] const runner_row* choose_among(const row_list& rows,
                                                 const row_list& prefix_runners,
                                                 const runner_query& query,
                                                 instant now) const;
    [[nodiscard]] runner_candidate make_candidate(const runner_row& row,
                                                  const runner_query& query,
                                                  instant now) const;

    std::uint64_t m_seed;
    zone_map m_zones;
    std::map<std::string, runner_row> m_rows;
    std::map<std::string, service_rows> m_by_service;
    std::set<std::string> m_evacuated;
    /// By route name.
    std::map<std::string, double> m_average_first_byte_ms;
};

} // namespace pepperturn
