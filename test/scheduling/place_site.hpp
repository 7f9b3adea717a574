// SPDX-License-Identifier: BSL-1.0
/// \file
/// Programs and engines on a virtual clock, in steps of a millisecond: what a
/// way of placing calls makes of a load. Engines read one prompt after the
/// other, stop their runs meanwhile, slow down with the tokens in the batch
/// and keep parts in memory by their last use.
#pragma once

#include "pepperturn/scheduling/engine_places.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pepperturn::test {

/// A kind of program.
struct program_kind
{
    double m_per_second = 0;
    std::uint32_t m_turns = 0;
    std::uint32_t m_own_tokens = 0;
};

struct site_shape
{
    std::uint32_t m_engines = 48;
    std::uint32_t m_slots = 12;
    std::uint64_t m_token_capacity = 290'745;
    double m_token_ms = 1.06;
    double m_read_per_ms = 257;
    /// Share by which each token in the batch, and each run beside, slows it.
    double m_batch_token_share = 0.33 / (12 * 15'000);
    double m_beside_share = 0;
    /// One engine in this many is slow; 0: all are alike.
    std::uint32_t m_one_slow_in = 4;
    double m_slow_speed = 0.55;
    double m_usual_speed = 1.2;
    /// Share of the time in which an engine is slower, and how much.
    double m_noise_share = 0.15;
    double m_noise_factor = 2.5;
    double m_noise_ms = 600;
    std::vector<program_kind> m_kinds;
    std::uint32_t m_events = 8;
    /// Programs are in time within this times their time alone, and more.
    double m_aim_factor = 1.4;
    double m_aim_ms = 250;
    /// Demand by the millisecond, as a factor.
    std::function<double(int)> m_demand = [](int) { return 1.0; };
    /// Workspaces; the first asks this many times as often as each other.
    std::uint32_t m_workspaces = 1;
    std::function<double(int)> m_first_workspace = [](int) { return 1.0; };
    std::uint32_t m_patience_ms = 1000;
};

/// How calls are placed.
class site_policy
{
public:
    virtual ~site_policy() = default;
    /// \param vm number of the VM that asks
    virtual std::optional<place_answer> ask(const place_question& question,
                                            std::uint32_t vm, instant now) = 0;
    virtual void report(const place_report& report, std::uint32_t vm,
                        instant now) = 0;
    virtual std::vector<decided_place> take_decided(instant now) = 0;
};

/// What became of programs.
struct site_result
{
    struct counts
    {
        std::uint32_t m_programs = 0;
        std::uint32_t m_late = 0;
        std::uint32_t m_refused = 0;
        /// Of these: after a wait, and in the middle of a program.
        std::uint32_t m_refused_waited = 0;
        std::uint32_t m_refused_begun = 0;
        /// Sum of the programs' times over their times alone.
        double m_stretch = 0;
        double m_wait_ms = 0;
        std::uint32_t m_asks = 0;

        [[nodiscard]] counts operator+(const counts& other) const;
        [[nodiscard]] double late_share() const;
        [[nodiscard]] double refused_share() const;
        [[nodiscard]] double mean_stretch() const;
        [[nodiscard]] double mean_wait_ms() const;
    };
    counts m_all;
    /// By the second in which they began.
    std::map<int, counts> m_by_second;
    std::map<std::uint64_t, counts> m_by_workspace;
    std::uint64_t m_shared_tokens_read = 0;
    /// Calls begun, by engine and tenth of a second.
    std::vector<std::vector<std::uint32_t>> m_begun;
    /// Mean over time of the busiest engine over the mean.
    double m_busiest = 0;
};

class place_site
{
public:
    place_site(site_shape shape, std::uint64_t seed);

    /// Called at each millisecond, for faults.
    std::function<void(int)> m_at = [](int) {};
    /// Factor by which an engine is slower; infinite: it hangs.
    void slow(std::uint32_t engine, double factor);
    [[nodiscard]] std::vector<engine_facts> facts() const;
    /// Programs that begin before \p from_ms are not counted.
    site_result run(site_policy& policy, std::uint32_t vms, int from_ms,
                    int until_ms);

private:
    struct engine_run
    {
        std::uint64_t m_call = 0;
        double m_read_left = 0;
        double m_tokens_left = 0;
        double m_context = 0;
        int m_first_ms = -1;
    };
    struct engine
    {
        double m_speed = 1;
        double m_fault = 1;
        bool m_noisy = false;
        int m_noise_until = 0;
        std::vector<engine_run> m_running;
        std::deque<std::uint64_t> m_queue;
        /// The last used one stands at the end.
        std::vector<prompt_part> m_memory;
    };
    struct program
    {
        std::uint32_t m_kind = 0;
        std::uint32_t m_turn = 0;
        std::uint64_t m_shared = 0;
        std::uint64_t m_workspace = 0;
        int m_begun = 0;
        double m_alone_ms = 0;
        /// Draws its turns.
        std::mt19937_64 m_random;
    };
    struct turn_call
    {
        place_question m_question;
        std::uint64_t m_program = 0;
        std::uint32_t m_vm = 0;
        std::uint32_t m_tokens = 0;
        int m_asked = 0;
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
        /// Of the program or the call.
        std::uint64_t m_id = 0;
        place_report m_report;
        std::uint32_t m_vm = 0;
    };

    [[nodiscard]] static double draw(std::mt19937_64& random);
    [[nodiscard]] std::uint64_t draw_shared();
    [[nodiscard]] instant now() const;
    void begin_programs();
    void begin_turn(std::uint64_t id);
    void take_answer(std::uint64_t call, const place_answer& answer);
    void run_engine(std::uint32_t index);
    void fill_slots(std::uint32_t index);
    double read_memory(engine& engine, const place_question& question);
    void end_call(std::uint64_t call, place_end end, int first_ms);
    void end_program(std::uint64_t id, bool refused, bool waited = false);
    void give_up_hung();
    void sample();

    site_shape m_shape;
    /// Apart, so that programs and noise are the same for each policy.
    std::mt19937_64 m_arrivals;
    std::mt19937_64 m_noise;
    std::vector<engine> m_engines;
    std::map<std::uint64_t, program> m_programs;
    std::map<std::uint64_t, turn_call> m_calls;
    std::multimap<int, event> m_events;
    std::uint64_t m_last_id = 0;
    double m_due = 0;
    int m_now = 0;
    int m_from = 0;
    std::uint32_t m_vms = 1;
    site_policy* m_policy = nullptr;
    site_result m_result;
    double m_samples = 0;
};

} // namespace pepperturn::test
