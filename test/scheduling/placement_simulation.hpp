// SPDX-License-Identifier: BSL-1.0
/// \file
/// Simulates the programs of a deployment on a virtual clock, in steps of a
/// millisecond, to measure a placement policy under load.
#pragma once

#include "pepperturn/scheduling/engine_placements.hpp"
#include "scheduling/model_engine.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pepperturn::test {

/// Hash of the service of all calls.
constexpr std::uint64_t simulated_service = 1;

/// A kind of program.
struct program_kind
{
    double m_per_second = 0;
    std::uint32_t m_turns = 0;
    std::uint32_t m_own_tokens = 0;
};

struct simulation_config
{
    std::uint32_t m_engines = 48;
    engine_model_config m_engine;
    /// One in this many engines is slow; 0: all are alike.
    std::uint32_t m_one_slow_in = 4;
    double m_slow_speed = 0.55;
    double m_usual_speed = 1.2;
    std::vector<program_kind> m_kinds;
    std::uint32_t m_events = 8;
    /// A program's deadline: its duration on idle engines times this factor,
    /// plus a constant in milliseconds.
    double m_deadline_factor = 1.4;
    double m_deadline_ms = 250;
    /// Load factor by millisecond.
    std::function<double(int)> m_demand = [](int) { return 1.0; };
    /// Number of workspaces; the first requests this many times as much as
    /// each other one.
    std::uint32_t m_workspaces = 1;
    std::function<double(int)> m_first_workspace_load = [](int) { return 1.0; };
};

/// Decides where calls are placed.
class placement_policy
{
public:
    virtual ~placement_policy() = default;
    /// \param vm number of the requesting VM
    virtual std::optional<placement_reply>
    request_placement(const placement_request& question, std::uint32_t vm,
                      instant now) = 0;
    virtual void report(const placement_report& report, std::uint32_t vm,
                        instant now) = 0;
    virtual std::vector<placement_decision> take_decisions(instant now) = 0;
};

/// Outcome of the programs.
struct simulation_result
{
    struct counts
    {
        std::uint32_t m_programs = 0;
        std::uint32_t m_late = 0;
        std::uint32_t m_refused = 0;
        /// Of the refused programs: after a wait, and after their first turn.
        std::uint32_t m_refused_waited = 0;
        std::uint32_t m_refused_begun = 0;
        /// Sum of the programs' durations relative to those on idle engines.
        double m_stretch = 0;
        double m_wait_ms = 0;
        std::uint32_t m_requests = 0;

        [[nodiscard]] counts operator+(const counts& other) const;
        [[nodiscard]] double late_share() const;
        [[nodiscard]] double refused_share() const;
        [[nodiscard]] double mean_stretch() const;
        [[nodiscard]] double mean_wait_ms() const;
    };
    counts m_all;
    /// By the second in which the programs began.
    std::map<int, counts> m_by_second;
    std::map<std::uint64_t, counts> m_by_workspace;
    std::uint64_t m_shared_tokens_read = 0;
    /// Calls sent, by engine and tenth of a second.
    std::vector<std::vector<std::uint32_t>> m_begun;
    /// Load of the busiest engine relative to the mean, averaged over time.
    double m_busiest = 0;
};

class placement_simulation
{
public:
    placement_simulation(simulation_config config, std::uint64_t seed);

    /// Called at each millisecond, to inject faults.
    std::function<void(int)> m_at = [](int) {};
    /// Sets the factor by which an engine is slower; a very large one: it
    /// hangs.
    void set_slowdown(std::uint32_t engine, double factor);
    [[nodiscard]] std::vector<engine_info> engines() const;
    /// Programs that begin before \p from_ms are not counted.
    simulation_result run(placement_policy& policy, std::uint32_t vms,
                          int from_ms, int until_ms);

private:
    struct program
    {
        std::uint32_t m_kind = 0;
        std::uint32_t m_turn = 0;
        std::uint64_t m_shared = 0;
        std::uint64_t m_workspace = 0;
        int m_started = 0;
        double m_ideal_ms = 0;
        /// Random numbers for its turns.
        std::mt19937_64 m_random;
    };
    struct turn_call
    {
        placement_request m_request;
        std::uint64_t m_program = 0;
        std::uint32_t m_vm = 0;
        std::uint32_t m_tokens = 0;
        int m_requested = 0;
        int m_sent = -1;
        std::uint32_t m_engine = 0;
    };
    enum class step : std::uint8_t
    {
        turn,
        arrive,
        report
    };
    struct event
    {
        step m_step = step::turn;
        /// Id of the program or the call.
        std::uint64_t m_id = 0;
        placement_report m_report;
        std::uint32_t m_vm = 0;
    };

    [[nodiscard]] std::uint64_t draw_shared();
    [[nodiscard]] instant now() const;
    void begin_programs();
    void begin_turn(std::uint64_t id);
    void apply_reply(std::uint64_t call, const placement_reply& reply);
    void take_events();
    void run_engines();
    void end_call(std::uint64_t call, placement_end end, int first_ms);
    void end_program(std::uint64_t id, bool refused, bool waited = false);
    void time_out_hung();
    void sample();

    simulation_config m_config;
    std::mt19937_64 m_random;
    std::vector<model_engine> m_engines;
    std::map<std::uint64_t, program> m_programs;
    std::map<std::uint64_t, turn_call> m_calls;
    std::multimap<int, event> m_events;
    std::uint64_t m_last_id = 0;
    double m_due = 0;
    int m_now = 0;
    int m_from = 0;
    std::uint32_t m_vms = 1;
    placement_policy* m_policy = nullptr;
    simulation_result m_result;
    double m_samples = 0;
};

} // namespace pepperturn::test
