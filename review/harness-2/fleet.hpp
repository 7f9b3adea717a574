// SPDX-License-Identifier: BSL-1.0
/// \file
/// A small deployment on loopback for the scripts of this review: the real
/// daemons as processes, and stand-ins for the platform's store, the model
/// runners and the clients. Nothing here knows the internals of the daemons.
#pragma once

#include "../../test/support/fleet/platform_store.hpp"

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

namespace asio = boost::asio;
using pepperturn::task;
using std::chrono::milliseconds;
using moment = std::chrono::steady_clock::time_point;

/// Writes the lines of record.txt, each with the time since the start.
class record
{
public:
    explicit record(const std::string& file);
    void write(const std::string& line);
    /// Writes the line to standard output as well.
    void tell(const std::string& line);

private:
    std::ofstream m_out;
    moment m_begin;
};

/// One machine of the system: a process, its settings and its disk.
struct machine
{
    std::string m_name;
    std::string m_zone;
    bool m_storage = false;
    /// IP:PORT for clients (edge) or for other machines (storage).
    std::string m_address;
    std::string m_ready;
    std::string m_relay;
    std::string m_metrics;
    std::string m_settings;
    std::string m_log;
    std::string m_disk;
    bool m_first_start = true;
    pid_t m_pid = -1;
};

/// Answer that a client got.
struct client_answer
{
    /// 0: none.
    unsigned m_status = 0;
    /// The body came to its end.
    bool m_whole = false;
    std::string m_body;
};

/// One turn of an agent program.
struct turn
{
    std::string m_id;
    std::string m_program;
    /// The turn it goes on from; empty: none.
    std::string m_previous;
    std::string m_input;
};

/// A model runner: answers each turn with three events, at once.
class runner
{
public:
    runner(asio::io_context& io, record& log, std::string id);
    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string& id() const
    {
        return m_id;
    }
    /// Ids of the requests that it ran.
    [[nodiscard]] const std::set<std::string>& ran() const
    {
        return m_ran;
    }

private:
    task<> accept_all();
    task<> serve(std::shared_ptr<asio::ip::tcp::socket> socket);

    asio::io_context& m_io;
    record& m_log;
    std::string m_id;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::string> m_ran;
};

/// Size and bounds of the deployment.
struct layout
{
    unsigned m_storages = 3;
    unsigned m_edges = 2;
    unsigned m_zones = 3;
    /// Disks whose loss is borne at once.
    unsigned m_tolerance = 1;
    /// Storage machines that may be added later.
    unsigned m_spares = 0;
};

class fleet
{
public:
    /// \param folder for settings, logs and disks, empty
    /// \param bin folder of the daemons
    fleet(const layout& plan, std::string folder, std::string bin, record& log);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all machines but the spare ones; false if no turn is answered
    /// within some seconds.
    [[nodiscard]] bool start();
    [[nodiscard]] machine& storage(unsigned number)
    {
        return m_machines.at(number);
    }
    [[nodiscard]] machine& edge(unsigned number)
    {
        return m_machines.at(m_plan.m_storages + number);
    }
    [[nodiscard]] machine& spare(unsigned number)
    {
        return m_machines.at(m_plan.m_storages + m_plan.m_edges + number);
    }
    void start(machine& which);
    void send_signal(const machine& which, int signal);
    /// Waits for the process to end; kills it after \p limit.
    void await_end(machine& which, milliseconds limit);
    /// SIGTERM, wait, start.
    void restart(machine& which);
    /// SIGKILL; the disk is lost.
    void lose_disk(machine& which);

    [[nodiscard]] asio::io_context& io()
    {
        return m_io;
    }
    [[nodiscard]] runner& engine()
    {
        return *m_runners.front();
    }
    /// Runs the stand-ins for \p span, or until \p done.
    bool run(milliseconds span, const std::function<bool()>& done = nullptr);

    /// Sends a turn to an edge machine and waits for the answer.
    task<client_answer> ask(turn request, unsigned edge_number);
    /// The same; runs the stand-ins meanwhile.
    client_answer take_turn(const turn& request, unsigned edge_number);
    /// Runs \p count programs of one turn each, some at a time.
    /// \returns the number that was answered whole
    unsigned run_programs(unsigned count, const std::string& prefix);
    /// Sends each turn once, some side by side.
    /// \returns the answers in the same order
    std::vector<client_answer> ask_all(const std::vector<turn>& requests);
    /// From now on a program of one turn begins every \p pause.
    void keep_asking(const std::string& prefix, milliseconds pause);
    /// Value of a metric of a machine; empty: no answer.
    [[nodiscard]] std::string metric(const machine& which,
                                     const std::string& name);
    /// Last value of up_ms in the machine's log before \p event; -1: none.
    [[nodiscard]] static std::int64_t uptime_of_last(const machine& which,
                                                     const std::string& event);
    /// How often \p event stands in the machine's log.
    [[nodiscard]] static unsigned count_events(const machine& which,
                                               const std::string& event);

private:
    std::string free_address();
    machine make_machine(unsigned number, bool storage, unsigned zone);
    void write_settings(machine& which);
    void put_config();
    task<> ask_list(const std::vector<turn>& requests, std::size_t& next,
                    std::vector<client_answer>& answers, unsigned& open);
    task<> ask_repeatedly(std::string prefix, milliseconds pause);

    layout m_plan;
    std::string m_folder;
    std::string m_bin;
    record& m_log;
    asio::io_context m_io{1};
    pepperturn::test::platform_store m_store{m_io};
    std::vector<std::unique_ptr<runner>> m_runners;
    std::vector<machine> m_machines;
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> m_claims;
};

/// True if the turn was answered whole with success.
[[nodiscard]] bool is_served(const client_answer& answer);

/// True unless TROUBLE=0 is set.
[[nodiscard]] bool with_trouble();

/// Exit codes of the scripts.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

} // namespace review
