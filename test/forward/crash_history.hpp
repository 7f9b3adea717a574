// SPDX-License-Identifier: BSL-1.0
/// \file
/// Random histories of requests on the virtual clock, some of which end
/// runners, while runners, zones and services crash for other reasons.
#pragma once

#include "forward/ledgers_in_memory.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace pepperturn::test {

/// What a runner makes of a fatal request.
enum class fatal_reaction : std::uint8_t
{
    end,
    error,
    break_off,
    silence,
    /// Says nothing, and ends once the attempt has been given up.
    late_end
};

inline constexpr std::size_t vm_count = 4;
inline constexpr std::size_t zone_count = 3;
inline constexpr std::size_t runner_count = 12;
inline constexpr std::size_t harmless_count = 500;
inline constexpr std::size_t common_callers = 6;
inline constexpr unsigned max_attempts = 3;
inline constexpr unsigned max_refusals = 4;
inline constexpr milliseconds report_delay{2};
inline constexpr milliseconds silence_timeout{800};
inline constexpr milliseconds late_end{1500};
inline constexpr milliseconds longest_pause{500};
inline constexpr milliseconds history_end{24000};
inline constexpr milliseconds fatal_end{20000};
inline constexpr std::uint64_t common_fingerprint = 1;

struct caller
{
    std::uint64_t m_fingerprint = 0;
    bool m_fatal = false;
    /// Sends its request again once it is served.
    bool m_repeats = false;
    std::size_t m_tries = 0;
    bool m_served = false;
    instant m_arrived{};
    /// Runs of a fatal request that ended their runners, and the others.
    unsigned m_ends = 0;
    unsigned m_runs = 0;
    unsigned m_runs_beyond = 0;
};

struct sim_runner
{
    bool m_up = true;
    std::uint64_t m_incarnation = 0;
};

/// One attempt under way.
struct sim_run
{
    std::uint64_t m_id = 0;
    std::size_t m_caller = 0;
    std::size_t m_vm = 0;
    std::size_t m_runner = 0;
    guarded_attempt m_attempt;
    bool m_claimed = false;
    bool m_trial = false;
    unsigned m_number = 0;
    unsigned m_refusals = 0;
    std::set<std::size_t> m_excluded;
    bool m_over = false;
    bool m_unanswered = false;
    instant m_begun_at{};
};

/// A runner that is watched after an attempt.
struct sim_watch
{
    sim_run m_run;
    bool m_unanswered = false;
    bool m_over = false;
};

class history
{
public:
    explicit history(unsigned seed);

    void play();

    /// The most runners that one fatal request ended, and its runs after it had
    /// ended as many as may.
    [[nodiscard]] unsigned most_ends() const
    {
        unsigned out = 0;
        for (const auto& row : m_callers)
            out = std::max(out, row.m_ends);
        return out;
    }
    [[nodiscard]] unsigned runs_beyond() const
    {
        unsigned out = 0;
        for (const auto& row : m_callers)
            out += row.m_runs_beyond;
        return out;
    }
    /// Share of the harmless requests of one program each that are served.
    [[nodiscard]] double served_unlike() const;
    /// Share of the common calls that are served from 2 s after the last crash
    /// on.
    [[nodiscard]] double served_alike() const
    {
        return m_common_sent == 0 ? 1
                                  : static_cast<double>(m_common_served) /
                                        static_cast<double>(m_common_sent);
    }

private:
    struct event
    {
        instant m_at;
        std::uint64_t m_order;
        std::function<void()> m_run;

        bool operator>(const event& other) const
        {
            return std::tie(m_at, m_order) >
                   std::tie(other.m_at, other.m_order);
        }
    };

    std::size_t draw(std::size_t limit)
    {
        return m_random() % limit;
    }
    void at(milliseconds when, std::function<void()> run)
    {
        m_events.push({instant{} + when, ++m_order, std::move(run)});
    }
    void after(milliseconds span, std::function<void()> run)
    {
        m_events.push({m_time.m_now + span, ++m_order, std::move(run)});
    }
    /// Runs a task that waits for nothing but what is in memory.
    template <class T> T run_now(task<T> work)
    {
        std::optional<T> out;
        asio::co_spawn(m_io, std::move(work),
                       [&](const std::exception_ptr&, T value) {
                           out = std::move(value);
                       });
        m_io.restart();
        m_io.poll();
        REQUIRE(out.has_value());
        return std::move(*out);
    }

    void add_vm()
    {
        m_vms.push_back(make_guard(m_vms.size()));
        m_vms.back()->note_told();
    }
    std::unique_ptr<crash_guard> make_guard(std::size_t number);
    void tell(std::size_t from, const suspect& row);
    void restart_vm(std::size_t number);

    void add_callers();
    void add_crashes();
    void add_storage_outage();
    /// \param kind 0: a runner, 1: a zone, 2: all
    void crash(std::size_t kind, milliseconds down);
    void end_runner(std::size_t number, milliseconds down);

    /// Whether the VM takes the end of the run's runner for an outage.
    [[nodiscard]] bool finds_outage(const sim_run& run) const;

    void try_later(std::size_t index, milliseconds pause)
    {
        auto& who = m_callers[index];
        if (who.m_fatal && m_time.m_now - who.m_arrived > fatal_end)
            return;
        after(pause, [this, index] { begin_try(index); });
    }
    [[nodiscard]] bool counts_as_common(const caller& who) const
    {
        constexpr milliseconds settling{2000};
        return who.m_repeats &&
               m_time.m_now.time_since_epoch() > m_last_return + settling;
    }
    void begin_try(std::size_t index);
    void begin_attempt(const std::shared_ptr<sim_run>& run);
    void answer_after(const std::shared_ptr<sim_run>& run, milliseconds work,
                      unsigned status);
    void react_after(const std::shared_ptr<sim_run>& run, milliseconds work);
    void end_under(std::size_t who, std::size_t target)
    {
        ++m_callers[who].m_ends;
        end_runner(target, milliseconds(500 + draw(2500)));
    }

    void end_attempt(const std::shared_ptr<sim_run>& run,
                     attempt_outcome outcome, unsigned status, bool broken_off);
    void go_on(const std::shared_ptr<sim_run>& run, attempt_outcome outcome,
               unsigned status);
    void release(const sim_run& run)
    {
        if (run.m_claimed)
            m_vms[run.m_vm]->release(run.m_attempt);
    }
    void record(const sim_run& run);
    void record_pending(std::size_t vm, std::uint64_t fingerprint);
    void examine(const sim_run& run);
    void begin_watch(const sim_run& run, bool unanswered);
    void reserve_watched(std::size_t vm, std::uint64_t fingerprint)
    {
        asio::co_spawn(m_io, m_vms[vm]->reserve_watched(fingerprint),
                       asio::detached);
        m_io.restart();
        m_io.poll();
    }
    void end_watch(sim_watch& watch, bool ended);

    std::mt19937 m_random;
    virtual_clock m_time;
    asio::io_context m_io;
    ledgers_in_memory m_ledgers;
    std::vector<std::shared_ptr<sim_watch>> m_watches;
    std::vector<std::unique_ptr<crash_guard>> m_vms;
    std::vector<sim_runner> m_runners;
    std::vector<caller> m_callers;
    /// By VM, of each runner.
    std::array<std::array<std::optional<instant>, runner_count>, vm_count>
        m_last_alive;
    std::array<std::array<std::optional<instant>, runner_count>, vm_count>
        m_last_failed;
    /// Under way, by number.
    std::map<std::uint64_t, std::shared_ptr<sim_run>> m_runs;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_keys = 0;
    std::uint64_t m_tries = 0;
    bool m_in_turn = false;
    /// The end that was handled last could not be recorded.
    bool m_unrecorded = false;
    milliseconds m_last_return{0};
    std::size_t m_common_sent = 0;
    std::size_t m_common_served = 0;
};

} // namespace pepperturn::test
