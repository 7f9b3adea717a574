// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/service_probe.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/forward/runner_probe.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// All attempts that an outage breaks off ask within this time.
constexpr milliseconds finding_lifetime{100};
/// Connected to first: one that accepts settles it.
constexpr std::size_t first_probes = 2;
constexpr milliseconds probes_timeout{300};
constexpr milliseconds share_interval{2};

/// Runners of a service that are looked at; those that have been down for long
/// are not connected to.
constexpr std::size_t sampled_runners = 4 * max_probed_runners;

/// As if it were down now.
other_runner facts_of(const runner_row& row)
{
    return {true, row.m_last_alive, row.m_last_failed};
}

/// Probes that run side by side.
struct probe_round
{
    explicit probe_round(asio::io_context& io) : m_changed(io) {}
    async_event m_changed;
    std::size_t m_pending = 0;
    bool m_alive = false;
};

task<> probe_one(upstream_pool& pool, runner_info runner,
                 std::shared_ptr<probe_round> round)
{
    const auto condition = co_await probe_runner(pool, runner);
    --round->m_pending;
    round->m_alive = round->m_alive || condition == runner_condition::alive;
    round->m_changed.notify();
}

} // namespace

service_probe::service_probe(asio::io_context& io, const clock& time,
                             upstream_pool& pool, const runner_table& runners)
    : m_io(io), m_time(time), m_pool(pool), m_runners(runners)
{}

task<bool> service_probe::any_alive(std::vector<runner_row> runners)
{
    const auto round = std::make_shared<probe_round>(m_io);
    round->m_pending = runners.size();
    for (const auto& runner : runners)
        spawn(m_io, "service_probe.probe",
              probe_one(m_pool, runner.m_info, round));
    const auto until = m_time.now() + probes_timeout;
    while (!round->m_alive && round->m_pending > 0 && m_time.now() < until)
        co_await round->m_changed.wait_until(until);
    co_return round->m_alive;
}

task<bool> service_probe::all_down(std::string service,
                                   std::vector<runner_row> runners)
{
    const auto asked_at = m_time.now();
    while (m_findings[service].m_in_progress &&
           m_time.now() - asked_at < 2 * probes_timeout)
        co_await sleep_for(m_io, share_interval);
    const auto known = m_findings[service];
    if (known.m_at != instant{} && m_time.now() - known.m_at < finding_lifetime)
        co_return known.m_all_down;
    m_findings[service].m_in_progress = true;
    const bool alive = co_await any_alive_of_some(runners);
    m_findings[service] = {m_time.now(), !alive, false};
    co_return !alive;
}

task<bool> service_probe::any_alive_of_some(std::vector<runner_row> runners)
{
    const auto rest = runners.begin() + first_probes;
    const std::vector<runner_row> first(runners.begin(), rest);
    if (co_await any_alive(first))
        co_return true;
    const std::vector<runner_row> further(rest, runners.end());
    co_return co_await any_alive(further);
}

task<bool> service_probe::is_outage(runner_info ended, instant begun_at)
{
    auto rows =
        m_runners.sample(ended.m_service, sampled_runners, hash64(ended.m_id));
    std::erase_if(rows, [&](const runner_row& row) {
        return row.m_info.m_id == ended.m_id ||
               was_long_down(facts_of(row), begun_at);
    });
    rows.resize(std::min(rows.size(), max_probed_runners));
    std::vector<other_runner> others;
    others.reserve(rows.size());
    for (const auto& row : rows)
        others.push_back(facts_of(row));
    // Nothing is connected to where the answer cannot be yes.
    if (!pepperturn::is_outage(others, begun_at))
        co_return false;
    co_return co_await all_down(ended.m_service, rows);
}

} // namespace pepperturn
