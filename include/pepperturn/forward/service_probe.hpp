// SPDX-License-Identifier: BSL-1.0
/// \file
/// Tells the end of one runner from an outage of its whole service: a request
/// ends the runner that works on it, an outage ends the others as well.
#pragma once

#include "pepperturn/forward/run_evidence.hpp"
#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

namespace pepperturn {

/// Runners that are connected to at most.
constexpr std::size_t max_probed_runners = 12;

class service_probe
{
public:
    service_probe(asio::io_context& io, const clock& time, upstream_pool& pool,
                  const runner_table& runners);

    /// See \ref is_outage. Takes a round trip, or some tenths of a second where
    /// the other runners are silent.
    /// \param ended the runner that has ended
    /// \param begun_at when the attempt was sent that broke off
    [[nodiscard]] task<bool> is_outage(runner_info ended, instant begun_at);

private:
    /// What the runners of a service were found to be.
    struct finding
    {
        instant m_at{};
        bool m_all_down = false;
        bool m_in_progress = false;
    };

    /// Whether none of \p runners accepts a connection.
    task<bool> all_down(std::string service, std::vector<runner_row> runners);
    /// Connects to some of them first, since one that accepts settles it.
    task<bool> any_alive_of_some(std::vector<runner_row> runners);
    /// Connects to them side by side.
    /// \returns whether one of them accepts, as soon as it does
    task<bool> any_alive(std::vector<runner_row> runners);

    asio::io_context& m_io;
    const clock& m_time;
    upstream_pool& m_pool;
    const runner_table& m_runners;
    /// By service; those that are in progress or a moment old are shared.
    std::map<std::string, finding> m_findings;
};

} // namespace pepperturn
