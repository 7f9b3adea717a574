// SPDX-License-Identifier: BSL-1.0
// A small deployment: one storage VM and some edge VMs in each of three zones,
// a service of model runners, and a configuration with one route for turns.
#pragma once

#include "harness.hpp"

namespace review {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_unusable = 2;

/// Generated tokens in one event of a stream (`stride`).
constexpr unsigned stride = 3;

/// The configuration: a `streaming` route with `stateful`, with the figures of
/// a small deployment's sheet (`retention_s` 60).
std::string turns_config(unsigned version);

struct scene
{
    explicit scene(const std::string& record_path);
    /// \returns false if the fleet did not come up
    bool start(unsigned edges_per_zone, unsigned runners_per_zone);

    record_file m_record;
    fleet m_fleet;
    std::list<runner> m_runners;
    /// Bodies with which each attempt ran, in order.
    std::mutex m_runs_mutex;
    std::map<std::string, std::vector<std::string>> m_runs;
    /// Events that the runners send for one turn.
    std::atomic<unsigned> m_events{10};
};

/// True unless TROUBLE=0.
bool with_trouble();

/// Waits until \p seconds after the start of the traffic.
void wait_until(const scene& world, double start, double seconds);

} // namespace review
