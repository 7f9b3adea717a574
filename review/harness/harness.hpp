// SPDX-License-Identifier: BSL-1.0
// Stand-ins and process control for the scripts in review/: the platform's
// store, model runners, clients, and the fleet's daemons as real processes on
// loopback addresses. Everything here follows the users' pages; nothing is
// shared with the project's own sources.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <sys/types.h>

namespace review {

/// Writes `record.txt`: one line an event, with seconds since the start.
class record_file
{
public:
    explicit record_file(const std::string& path);
    void line(const std::string& text);
    [[nodiscard]] double now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::chrono::steady_clock::time_point m_start;
};

/// Headers with lower-case names.
using header_map = std::map<std::string, std::string>;

struct message
{
    std::string m_method;
    std::string m_target;
    unsigned m_status = 0;
    header_map m_headers;
    std::string m_body;
    /// The body came to its stated end.
    bool m_whole = false;
};

/// One TCP connection with blocking reads that time out.
class connection
{
public:
    explicit connection(int socket) : m_socket(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// \returns null if the address does not answer in time
    static std::unique_ptr<connection> open(const std::string& ip, int port,
                                            int timeout_ms);
    bool write(const std::string& bytes);
    /// Reads one request or response.
    std::optional<message> read(bool is_request, int timeout_ms);
    /// Closes with a reset.
    void reset();
    /// Ends reads and writes of another thread.
    void shut_down();

private:
    bool fill(int timeout_ms);
    int m_socket;
    std::string m_buffer;
};

/// Accepts connections and serves each in a thread of its own.
class server
{
public:
    server(const std::string& ip, int port,
           std::function<void(connection&)> serve_connection);
    ~server();
    [[nodiscard]] bool listening() const
    {
        return m_socket >= 0;
    }
    /// Closes the listener and every connection.
    void stop();

private:
    void accept_loop();
    std::function<void(connection&)> m_serve;
    int m_socket = -1;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_open;
    std::atomic<int> m_active{0};
    std::thread m_thread;
};

/// The platform's metadata store.
class metadata_store
{
public:
    metadata_store(const std::string& ip, int port);
    ~metadata_store();
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::string value_of(const std::string& key);
    /// Keys written by the fleet, for the record.
    void on_write(std::function<void(const std::string&, const std::string&)>);

private:
    struct item
    {
        std::string m_key;
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        bool m_deleted = false;
    };
    void serve(connection& peer);
    std::string answer(const message& request);
    std::string range(const std::map<std::string, std::string>& query);
    std::string watch(const std::map<std::string, std::string>& query);
    std::string transact(const std::string& body);
    std::uint64_t put_locked(const std::string& key, const std::string& value);
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<item> m_history;
    std::uint64_t m_revision = 0;
    bool m_stopping = false;
    std::function<void(const std::string&, const std::string&)> m_on_write;
    std::unique_ptr<server> m_server;
};

/// What a runner makes of one request.
struct run_plan
{
    /// Events of a stream, or 0 for a plain answer.
    unsigned m_events = 0;
    unsigned m_event_pause_ms = 5;
    /// Pause before the head of the answer.
    unsigned m_delay_ms = 0;
};

class runner
{
public:
    runner(metadata_store& store, record_file& record, std::string id,
           std::string service, std::string zone, std::string ip, int port,
           unsigned slots);
    ~runner();
    /// Decides how a request is answered; called as its run begins.
    void on_run(std::function<run_plan(const message&)> decide)
    {
        m_decide = std::move(decide);
    }

private:
    void serve(connection& peer);
    void beat_loop();
    bool answer_stream(connection& peer, const std::string& id,
                       const run_plan& plan);
    metadata_store& m_store;
    record_file& m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_ip;
    int m_port;
    unsigned m_slots;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_stopping{false};
    std::function<run_plan(const message&)> m_decide;
    std::unique_ptr<server> m_server;
    std::thread m_beats;
};

/// Text of the data of a runner's events, each with a line feed behind.
std::string stream_text(const std::string& attempt, unsigned events);

/// One VM of the fleet.
struct machine
{
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    bool m_storage = false;
    std::string m_folder;
    pid_t m_pid = -1;
    /// The most memory seen, in KiB.
    long m_peak_kib = 0;
};

/// The fleet's processes, started with the commands of the deploy file.
class fleet
{
public:
    fleet(record_file& record, std::string root);
    ~fleet();
    /// Picks free addresses and ports; starts the store and the daemons.
    bool start(unsigned edges_per_zone);
    bool wait_until_ready(int timeout_ms);
    [[nodiscard]] metadata_store& store()
    {
        return *m_store;
    }
    [[nodiscard]] std::string free_ip();
    void start_process(machine& vm, bool bootstrap);
    /// Sends the signal and waits for the end.
    void kill_process(machine& vm, int signal);
    void empty_disk(machine& vm);
    /// From now on a process whose memory goes over its machine's memory_mb is
    /// killed and started again, as the platform does.
    void enforce_memory();
    /// Processes killed for their memory.
    [[nodiscard]] unsigned memory_kills() const
    {
        return m_memory_kills;
    }
    [[nodiscard]] machine& find(const std::string& name);
    [[nodiscard]] const std::vector<std::string>& zones() const
    {
        return m_zones;
    }
    [[nodiscard]] int front_port() const
    {
        return m_front_port;
    }
    [[nodiscard]] int runner_port() const
    {
        return m_runner_port;
    }
    [[nodiscard]] bool ready(const machine& vm) const;

private:
    [[nodiscard]] std::string settings_of(const machine& vm,
                                          bool bootstrap) const;
    [[nodiscard]] bool bindable(const std::string& ip, int port) const;
    void watch_memory();
    /// Memory of the process alone, in KiB.
    long private_kib(const machine& vm);
    record_file& m_record;
    std::mutex m_process_mutex;
    std::thread m_memory_watch;
    std::atomic<bool> m_ending{false};
    std::atomic<unsigned> m_memory_kills{0};
    std::string m_root;
    std::string m_folder;
    std::vector<std::string> m_zones{"brno-a", "brno-b", "olomouc"};
    std::list<machine> m_machines;
    std::string m_net;
    int m_next_host = 10;
    int m_front_port = 8149;
    int m_ready_port = 8141;
    int m_control_port = 8144;
    int m_metrics_port = 9464;
    int m_relay_port = 7380;
    int m_store_port = 8142;
    int m_runner_port = 8080;
    std::string m_store_ip;
    std::unique_ptr<metadata_store> m_store;
};

/// What a client saw of one request.
struct client_answer
{
    /// 0: the connection closed without an answer.
    unsigned m_status = 0;
    header_map m_headers;
    std::string m_body;
    bool m_whole = false;
    /// Of a stream: complete events, and their data with line feeds.
    unsigned m_events = 0;
    std::string m_text;
};

struct client_request
{
    std::string m_method = "POST";
    std::string m_target;
    std::string m_id;
    header_map m_headers;
    std::string m_body;
    int m_deadline_ms = 5000;
};

/// Sends one request on a new connection and reads its answer.
client_answer send_request(record_file& record, const fleet& vms,
                           const machine& edge, const client_request& request);

/// Random hexadecimal id.
std::string fresh_id();

void pause_ms(int ms);

/// Random number below \p limit.
unsigned draw(unsigned limit);

/// The text without blanks at its ends.
std::string trim(const std::string& text);

sockaddr_in address_of(const std::string& ip, int port);

} // namespace review
