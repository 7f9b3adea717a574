// SPDX-License-Identifier: BSL-1.0
/// \file
/// One run of the fault soak: a fleet of real daemons on loopback, callers that
/// hold programs, and faults from outside in random order.
#pragma once

#include "soak/fleet.hpp"
#include "soak/soak_runner.hpp"

#include "pepperturn/forward/event_reader.hpp"
#include "support/fleet/loop.hpp"
#include "support/fleet/platform_store.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <filesystem>
#include <iostream>
#include <random>

namespace pepperturn::soak {

using test::platform_store;
using test::run_until;

inline constexpr int storage_vms = 3;
inline constexpr int edge_vms = 3;
/// Of the route whose programs outlast it.
inline constexpr milliseconds long_retention{1000};
/// After the last fault every kind of request is served within this.
inline constexpr milliseconds heal_limit{20000};
/// Of each turn.
inline constexpr std::uint32_t most_tokens = 15;

struct caller_answer
{
    /// 0: none came.
    unsigned m_status = 0;
    bool m_whole = false;
    std::string m_body;
    std::string m_id;
};

class soak
{
public:
    soak(std::string bin, std::uint64_t seed, int seconds)
        : m_bin(std::move(bin)), m_random(seed), m_seconds(seconds),
          m_store(m_io)
    {
        m_kept_folder =
            std::filesystem::temp_directory_path() /
            ("soak-" + std::to_string(seed) + "-" + std::to_string(getpid()));
        m_folder = test::make_scratch_folder("soak");
        m_disks = m_folder / "disks";
        std::filesystem::create_directories(m_disks);
    }

    int run();

private:
    struct vm
    {
        daemon_process m_process;
        std::string m_address;
        bool m_storage = false;
        bool m_faulted = false;
    };
    struct program_state
    {
        std::string m_id;
        std::string m_target = "/turn/x";
        /// How long its turns may be continued.
        milliseconds m_retention{60000};
        instant m_last_ended{};
        std::string m_chain;
        std::string m_last;
    };

    std::uint64_t draw(std::uint64_t below)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, below -
                                                                   1)(m_random);
    }
    std::string fresh_id()
    {
        return "r" + std::to_string(++m_ids);
    }
    void set_up();
    void write_settings(vm& each, int number, bool first_start);
    void put_config();
    task<> call_repeatedly();
    task<bool> run_program(bool patient);
    /// A program that lasts for several retentions of its route.
    task<> run_long_program();
    /// Mostly short, at times as long as the configuration allows.
    [[nodiscard]] std::string draw_input();
    /// Tries a request again and again that ends each runner it reaches.
    task<> end_runners();
    /// Starts a runner anew under its id, some time after a request ended it.
    task<> restart_runner(std::size_t number);
    void list_runner(std::size_t number);
    task<bool> take_turn(program_state& program, std::uint64_t budget);
    void check_whole(const std::string& id, const event_reader& events)
    {
        m_rules.taken_for_whole(id, events.data());
        if (events.started_events() > events.complete_events())
            m_rules.fail("turn " + id + " looks whole inside an event");
    }
    /// Asks for a turn after \p broken, which was broken off on its way.
    task<> continue_broken_turn(program_state program, std::string broken,
                                std::string chain, std::uint64_t budget);
    task<caller_answer> ask(std::string target, std::string id,
                            std::string program, std::uint64_t budget,
                            std::string parent, std::string body);
    task<> inject_faults();
    task<> fault_vm(vm& each);
    task<> fault_network();
    /// Ends every process at once and starts them in another order, within a
    /// second, with the disks they have.
    /// \param lost_disks storage VMs whose disks are lost at the same moment
    task<> lose_power(std::size_t lost_disks);
    /// The same from outside the loop.
    void run_power_loss(std::size_t lost_disks);
    /// True if no replica set lacks a member's copies.
    [[nodiscard]] bool storage_is_whole() const;
    /// Each program whose retention lasts can still be gone on from.
    void go_on_with_ended_programs();
    task<> go_on(program_state program);
    void start_vm(vm& each);
    std::string fresh_address();
    void note(const std::string& what)
    {
        std::cout << what << '\n';
    }

    std::string m_bin;
    std::mt19937_64 m_random;
    int m_seconds;
    asio::io_context m_io{1};
    system_clock m_time;
    promises m_rules;
    platform_store m_store;
    /// Settings, logs and disks while it runs: the machine's disk would hold
    /// up the faults and not only the processes.
    std::filesystem::path m_folder;
    /// Where they are left for a run that failed.
    std::filesystem::path m_kept_folder;
    /// Of the storage VMs.
    std::filesystem::path m_disks;
    port_claims m_ports{m_io};
    std::vector<std::unique_ptr<vm>> m_vms;
    std::vector<std::unique_ptr<soak_runner>> m_runners;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::uint64_t m_ids = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_deadly = 0;
    bool m_stop = false;
    /// No further faults.
    bool m_faults_end = false;
    int m_active_faults = 0;
    int m_active_callers = 0;
    int m_going_on = 0;
    std::vector<program_state> m_ended;
};

} // namespace pepperturn::soak
