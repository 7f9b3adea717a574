// SPDX-License-Identifier: BSL-1.0
/// \file
/// A fleet in one process: storage VMs in two replica sets, edge VMs to which
/// the fleet is large, two runners, and programs whose callers take one turn
/// after the other on kept connections.
#pragma once

#include "pepperturn/fleet/edge_node.hpp"

#include "support/fleet/edge_vm.hpp"
#include "support/fleet/runner.hpp"
#include "support/fleet/stoppable_clock.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace pepperturn::test {

/// An edge VM on a loop of its own, so that it can be killed alone.
struct fleet_edge
{
    fleet_edge(const clock& time, const std::string& store,
               const std::vector<std::string>& seeds, const std::string& name,
               std::uint32_t kept_links)
        : m_source(m_io, time, store, platform::edge_backoff)
    {
        fleet_settings settings;
        settings.m_name = name;
        settings.m_host = "127.0.0.1";
        settings.m_availability_zone = "vm-0";
        settings.m_callers_address = edge_vm::free_address(m_io);
        settings.m_ready_address = edge_vm::free_address(m_io);
        settings.m_seeds = seeds;
        settings.m_store_address = store;
        settings.m_kept_links = kept_links;
        m_callers = settings.m_callers_address;
        m_node = std::make_unique<edge_node>(
            m_io, time, settings, wire_names{},
            state_decoders{platform::decode_config, platform::decode_runner},
            m_source);
        std::string reason;
        REQUIRE(m_node->start(reason));
    }
    [[nodiscard]] std::uint64_t figure(const std::string& name) const
    {
        return metric_value(m_node->metrics_text(), name);
    }

    asio::io_context m_io{1};
    platform::cluster_source m_source;
    std::unique_ptr<edge_node> m_node;
    std::string m_callers;
    bool m_stopping = false;
    /// Runs no more; its connections are closed.
    bool m_ended = false;
    /// It ended without an order, with whatever it was doing.
    bool m_killed = false;
};

/// A program whose turns each continue the one before.
struct turn_program
{
    std::string m_name;
    /// Turns that were answered whole.
    std::vector<std::string> m_turns;
    std::uint64_t m_tries = 0;
    /// When its next turn was first asked for.
    instant m_asked_since{};
    milliseconds m_longest_wait{0};
    std::shared_ptr<fleet_edge> m_edge;
    std::shared_ptr<tcp::socket> m_socket;
};

class turn_fleet
{
public:
    /// \param other_runners listed in the store, of a service without a route
    explicit turn_fleet(std::size_t other_runners = 0)
    {
        m_fleet.m_kept_links = few_links;
        write_config();
        list_runner(0, "ready");
        list_runner(1, "ready");
        write_heartbeat();
        for (std::size_t i = 0; i < other_runners; ++i)
            m_fleet.m_store.put("servers/other-" + std::to_string(i),
                                runner_text("b", "127.0.0.1:5", "ready", 1));
        for (int i = 0; i < vm_count; ++i)
        {
            m_fleet.add(vm_name(i));
            if (m_seeds.size() < seed_count)
                m_seeds.push_back(
                    "127.0.0.1:" +
                    std::to_string(m_fleet.m_vms[vm_name(i)]->m_port));
        }
        set_runner_times(milliseconds(30), milliseconds(200));
        m_time.stop_now();
        REQUIRE(run(
            [&] {
                return m_fleet.states() == "vm-0Fvm-1Fvm-2Fvm-3Fvm-4Fvm-5F" &&
                       storage_knows(other_runners + 3);
            },
            setup_limit));
        start_edges();
        for (std::size_t i = 0; i < program_count; ++i)
        {
            auto program = std::make_shared<turn_program>();
            program->m_name = "p" + std::to_string(i);
            m_programs.push_back(program);
            spawn(m_fleet.m_io, "turn_fleet.program", take_turns(program));
        }
        REQUIRE(run_to_next_turns(setup_limit));
        // Their state is written to disk with a delay.
        run_for(milliseconds(2500));
        for (const auto& program : m_programs)
            program->m_longest_wait = milliseconds(0);
    }
    ~turn_fleet() = default;
    turn_fleet(const turn_fleet&) = delete;
    turn_fleet& operator=(const turn_fleet&) = delete;

    /// Runs all VMs that have not ended.
    /// \returns false if \p done was not true within \p limit
    bool run(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = m_time.now() + limit;
        while (!done())
        {
            if (m_time.now() >= end)
                return false;
            step();
        }
        return true;
    }
    void run_for(milliseconds span)
    {
        run([] { return false; }, span);
    }
    /// Runs until each program has taken two more turns: the first of them may
    /// have been under way.
    bool run_to_next_turns(milliseconds limit)
    {
        std::vector<std::size_t> before;
        before.reserve(m_programs.size());
        for (const auto& program : m_programs)
            before.push_back(program->m_turns.size());
        return run(
            [&] {
                for (std::size_t i = 0; i < m_programs.size(); ++i)
                {
                    if (m_programs[i]->m_turns.size() < before[i] + 2)
                        return false;
                }
                return true;
            },
            limit);
    }

    /// The operator's next configuration.
    void write_config()
    {
        m_fleet.m_store.put(
            "op/config",
            R"({"version":)" + std::to_string(++m_version) +
                R"(,"routes":[{"name":"turn","host":"h","path_prefix":"/turn/",)"
                R"("kind":"streaming","timeout_ms":4000,)"
                R"("target_latency_ms":300,"max_attempts":2,"service":"a",)"
                R"("stateful":true,"retention_s":60}],"services":[{"name":"a",)"
                R"("engine":{"slots":64,"stride":1}},{"name":"b"}]})");
    }
    /// \param state ready or draining
    void list_runner(std::size_t number, const std::string& state)
    {
        m_fleet.m_store.put("servers/i-" + std::to_string(number),
                            runner_text("a", m_runners[number]->address(),
                                        state, ++m_sequence));
    }
    /// How long each runner works before the first event.
    void set_runner_times(milliseconds first, milliseconds second)
    {
        const auto script = [](scripted_runner& runner, milliseconds delay) {
            runner_step step{event_answer({"a"}, false)};
            step.m_delay = delay;
            step.m_surplus =
                chunk_of("id: 2\ndata: b\n\n") + std::string("0\r\n\r\n");
            runner.script({step});
        };
        script(*m_runners[0], first);
        script(*m_runners[1], second);
    }
    void start_edges()
    {
        for (int i = 0; i < edge_count; ++i)
            start_edge();
    }
    void start_edge()
    {
        m_edges.push_back(std::make_shared<fleet_edge>(
            m_time, m_fleet.m_store.address(), m_seeds,
            "edge-" + std::to_string(m_edges.size()), few_links));
    }
    /// Their connections are reset.
    void kill_edges()
    {
        for (const auto& edge : m_edges)
        {
            edge->m_killed = edge->m_killed || !edge->m_ended;
            edge->m_ended = true;
        }
        close_ended();
    }
    /// The planned stop of the first edge VM that runs.
    void stop_edge()
    {
        for (const auto& edge : m_edges)
        {
            if (edge->m_ended || edge->m_stopping)
                continue;
            edge->m_stopping = true;
            edge->m_node->stop();
            return;
        }
    }
    /// All edge VMs that run reach the store at \p address from now on.
    void move_store(const std::string& address)
    {
        for (const auto& edge : m_edges)
            edge->m_source.set_address(address);
    }
    [[nodiscard]] milliseconds longest_wait() const
    {
        milliseconds out{0};
        for (const auto& program : m_programs)
        {
            const auto since = elapsed(program->m_asked_since, m_time.now());
            out = std::max({out, program->m_longest_wait, since});
        }
        return out;
    }
    /// What must not be seen, as lines of text.
    [[nodiscard]] const std::string& faults() const
    {
        return m_faults;
    }
    /// Whether the last turn of each program reached a runner with the inputs
    /// of all turns before it, in order.
    [[nodiscard]] bool chains_are_whole() const
    {
        return std::all_of(
            m_programs.begin(), m_programs.end(), [this](const auto& program) {
                const auto prompt = request_of(program->m_turns.back());
                std::size_t at = 0;
                return std::all_of(program->m_turns.begin(),
                                   program->m_turns.end(),
                                   [&](const std::string& turn) {
                                       at = prompt.find("in-" + turn + ';', at);
                                       return at != std::string::npos;
                                   });
            });
    }

    storage_fixture m_fleet;
    stoppable_clock m_time;
    std::vector<std::shared_ptr<fleet_edge>> m_edges;
    std::vector<std::shared_ptr<turn_program>> m_programs;

private:
    /// Fewer than the storage VMs, so that the fleet is treated as large.
    static constexpr std::uint32_t few_links = 2;
    static constexpr int vm_count = 6;
    static constexpr int edge_count = 2;
    static constexpr std::size_t seed_count = 3;
    static constexpr std::size_t program_count = 6;
    static constexpr milliseconds step_span{10};
    static constexpr int steps_a_tick = 25;
    static constexpr milliseconds retry_pause{100};

    enum class ask_outcome : std::uint8_t
    {
        whole,
        /// Not run, or never sent.
        refused,
        faulty
    };

    static std::string vm_name(int number)
    {
        return "vm-" + std::to_string(number);
    }
    static std::string runner_text(const std::string& service,
                                   const std::string& address,
                                   const std::string& state, int sequence)
    {
        return R"({"service":")" + service + R"(","address":")" + address +
               R"(","zone":"vm-0","slots":64,"state":")" + state +
               R"(","seq":)" + std::to_string(sequence) + "}";
    }
    [[nodiscard]] bool storage_knows(std::size_t runners) const
    {
        return std::all_of(m_fleet.m_vms.begin(), m_fleet.m_vms.end(),
                           [&](const auto& row) {
                               const auto& state = row.second->m_node->state();
                               return !state.m_config.empty() &&
                                      count_runners(state) == runners;
                           });
    }
    /// The request as a runner received it; empty: none did.
    [[nodiscard]] std::string request_of(const std::string& id) const
    {
        const auto line = "Pepperturn-Call: " + id + "\r\n";
        for (const auto& runner : m_runners)
        {
            for (const auto& request : runner->requests())
            {
                if (request.find(line) != std::string::npos)
                    return request;
            }
        }
        return {};
    }
    void add_fault(const std::string& what)
    {
        m_faults += what + '\n';
    }

    void step()
    {
        const auto end = std::chrono::steady_clock::now() + step_span;
        if (++m_steps % steps_a_tick == 0)
            tick();
        do
        {
            bool worked = handle_ready(m_fleet.m_io);
            for (const auto& edge : std::vector(m_edges))
            {
                if (edge->m_ended)
                    continue;
                worked = handle_ready(edge->m_io) || worked;
                edge->m_ended = edge->m_stopping && edge->m_io.stopped();
            }
            close_ended();
            if (!worked)
                m_fleet.m_io.run_one_for(milliseconds(1));
        } while (std::chrono::steady_clock::now() < end);
        m_time.advance(step_span);
    }
    /// Handles what is ready, but does not stay with one loop.
    static bool handle_ready(asio::io_context& io)
    {
        constexpr int most = 200;
        io.restart();
        int count = 0;
        while (count < most && io.poll_one() > 0)
            ++count;
        return count > 0;
    }
    /// Of a runner of another service, so that watches return soon, as in
    /// service.
    void write_heartbeat()
    {
        m_fleet.m_store.put("servers/beat",
                            runner_text("b", "127.0.0.1:5", "ready", ++m_beat));
    }
    void tick()
    {
        write_heartbeat();
        for (const auto& [name, vm] : m_fleet.m_vms)
            vm->m_node->tick();
        for (const auto& edge : m_edges)
        {
            if (!edge->m_ended)
                edge->m_node->tick();
        }
    }
    /// A process that has ended has no connections.
    void close_ended()
    {
        for (const auto& program : m_programs)
        {
            if (!program->m_edge || !program->m_edge->m_ended ||
                !program->m_socket)
                continue;
            error_code ignored;
            program->m_socket->close(ignored);
            program->m_socket.reset();
        }
    }

    /// Connects to any edge VM that listens.
    task<> connect(std::shared_ptr<turn_program> program)
    {
        for (std::size_t i = 0; i < m_edges.size(); ++i)
        {
            const auto edge = m_edges[m_next_edge++ % m_edges.size()];
            if (edge->m_ended)
                continue;
            error_code ec;
            const auto endpoint = parse_endpoint(edge->m_callers, ec);
            const auto socket = std::make_shared<tcp::socket>(m_fleet.m_io);
            co_await socket->async_connect(endpoint, into(ec));
            if (ec || edge->m_ended)
                continue;
            program->m_edge = edge;
            program->m_socket = socket;
            co_return;
        }
    }
    static std::string turn_request(const turn_program& program,
                                    const std::string& id)
    {
        const auto body = "in-" + id + ';';
        const auto parent =
            program.m_turns.empty()
                ? std::string{}
                : "Pepperturn-Parent-Turn: " + program.m_turns.back() + "\r\n";
        return "POST /turn/x HTTP/1.1\r\nHost: h\r\nPepperturn-Call: " + id +
               "\r\nPepperturn-Program: " + program.m_name +
               "\r\nPepperturn-Token-Count: 10,8\r\n"
               "Pepperturn-Deadline-Ms: 4000\r\n" +
               parent + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    task<> take_turns(std::shared_ptr<turn_program> program)
    {
        program->m_asked_since = m_time.now();
        while (true)
        {
            const auto id =
                program->m_name + '-' + std::to_string(++program->m_tries);
            const auto outcome = co_await ask(program, id);
            if (outcome != ask_outcome::whole)
            {
                co_await sleep_for(m_fleet.m_io, retry_pause);
                continue;
            }
            program->m_turns.push_back(id);
            program->m_longest_wait =
                std::max(program->m_longest_wait,
                         elapsed(program->m_asked_since, m_time.now()));
            // What the caller does with the answer, of some length.
            co_await sleep_for(m_fleet.m_io,
                               milliseconds(program->m_tries % 7 * 10));
            program->m_asked_since = m_time.now();
        }
    }
    task<ask_outcome> ask(std::shared_ptr<turn_program> program, std::string id)
    {
        namespace http = boost::beast::http;
        if (!program->m_socket)
            co_await connect(program);
        if (!program->m_socket)
            co_return ask_outcome::refused;
        // They may be replaced meanwhile.
        const auto socket = program->m_socket;
        const auto edge = program->m_edge;
        const auto request = turn_request(*program, id);
        error_code ec;
        co_await asio::async_write(*socket, asio::buffer(request), into(ec));
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!ec)
            co_await http::async_read(*socket, buffer, parser, into(ec));
        const auto status =
            parser.is_header_done() ? parser.get().result_int() : 0;
        if (ec || !parser.keep_alive())
        {
            error_code ignored;
            socket->close(ignored);
            program->m_socket.reset();
        }
        if (!ec)
            co_return judge(id, status);
        // A power loss takes the requests under way with it.
        if (edge->m_killed)
            co_return ask_outcome::refused;
        const bool passed_on = !request_of(id).empty();
        // It may cross the close of an idle connection.
        if (edge->m_stopping && !passed_on)
            co_return ask_outcome::refused;
        add_fault(id + " was closed with status " + std::to_string(status) +
                  (passed_on ? ", passed on" : ", not passed on") +
                  (edge->m_stopping ? ", at a stop: " : ": ") + ec.message());
        co_return ask_outcome::faulty;
    }
    ask_outcome judge(const std::string& id, unsigned status)
    {
        constexpr unsigned ok = 200;
        constexpr unsigned too_many = 429;
        constexpr unsigned unavailable = 503;
        if (status == ok)
            return ask_outcome::whole;
        const bool refused = status == too_many || status == unavailable;
        if (refused && request_of(id).empty())
            return ask_outcome::refused;
        add_fault(id + " was answered " + std::to_string(status));
        return ask_outcome::faulty;
    }

    std::array<std::unique_ptr<scripted_runner>, 2> m_runners{
        std::make_unique<scripted_runner>(m_fleet.m_io),
        std::make_unique<scripted_runner>(m_fleet.m_io)};
    /// Addresses of some storage VMs.
    std::vector<std::string> m_seeds;
    std::size_t m_next_edge = 0;
    int m_version = 0;
    int m_sequence = 0;
    int m_beat = 0;
    int m_steps = 0;
    std::string m_faults;
};

} // namespace pepperturn::test
