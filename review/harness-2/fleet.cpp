// SPDX-License-Identifier: BSL-1.0
#include "fleet.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;
using pepperturn::error_code;
using pepperturn::into;
using pepperturn::sleep_for;
using pepperturn::spawn;

constexpr const char* host = "review.example";
constexpr const char* path = "/turns/x";
constexpr const char* service = "engine";
/// Programs that run side by side.
constexpr unsigned parallel_programs = 40;
constexpr unsigned events_of_a_turn = 3;
constexpr unsigned tokens_of_an_event = 4;
constexpr unsigned most_tokens = events_of_a_turn * tokens_of_an_event;
/// Deadline of a turn, as on the sheets of the small deployments.
constexpr int deadline_ms = 4000;
constexpr milliseconds poll_step{20};
constexpr milliseconds start_limit{15000};
constexpr milliseconds end_limit{8000};

std::string text_of(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

std::string chunk_of(const std::string& data)
{
    std::array<char, 20> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

std::string read_file(const std::string& name)
{
    std::ifstream in(name);
    return {std::istreambuf_iterator<char>(in), {}};
}

/// In the new process: becomes the daemon, which ends with the script.
[[noreturn]] void become(const machine& which, const std::string& program,
                         pid_t parent)
{
    constexpr int cannot_run = 127;
    constexpr int mode = 0644;
    const int out =
        open(which.m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (out < 0 || getppid() != parent)
        _exit(cannot_run);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    setenv("PEPPERTURN_NODE_FILE", which.m_settings.c_str(), 1);
    execl(program.c_str(), program.c_str(), nullptr);
    _exit(cannot_run);
}

} // namespace

record::record(const std::string& file)
    : m_out(file), m_begin(std::chrono::steady_clock::now())
{}

void record::write(const std::string& line)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(
                        std::chrono::steady_clock::now() - m_begin)
                        .count();
    std::array<char, 32> time{};
    (void)std::snprintf(time.data(), time.size(), "%9.3f  ",
                        static_cast<double>(ms) / 1000);
    m_out << time.data() << line << '\n';
    m_out.flush();
}

void record::tell(const std::string& line)
{
    write(line);
    std::cout << line << std::endl;
}

runner::runner(asio::io_context& io, record& log, std::string id)
    : m_io(io), m_log(log), m_id(std::move(id)),
      m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    spawn(m_io, "runner.accept", accept_all());
}

std::string runner::address() const
{
    return pepperturn::to_text(m_acceptor.local_endpoint());
}

task<> runner::accept_all()
{
    while (true)
    {
        error_code ec;
        auto socket = std::make_shared<tcp::socket>(m_io);
        co_await m_acceptor.async_accept(*socket, into(ec));
        if (ec)
            co_return;
        spawn(m_io, "runner.serve", serve(socket));
    }
}

task<> runner::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    error_code ec;
    while (!ec)
    {
        // A history may be longer than one body that clients send.
        http::request_parser<http::string_body> parser;
        constexpr std::uint64_t no_limit = std::uint64_t{1} << 62U;
        parser.body_limit(no_limit);
        co_await http::async_read(*socket, buffer, parser, into(ec));
        if (ec)
            co_return;
        const auto& request = parser.get();
        const auto id = text_of(request["X-Attempt-Id"]);
        if (text_of(request["X-Expect-Instance"]) != m_id)
        {
            const std::string refusal =
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + id +
                "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(*socket, asio::buffer(refusal),
                                       into(ec));
            continue;
        }
        m_ran.insert(id);
        m_log.write("runner " + m_id + " runs " + id);
        std::string out = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                          "\r\nX-Server-Seal: " + m_id +
                          "\r\nContent-Type: text/event-stream"
                          "\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (unsigned i = 1; i <= events_of_a_turn; ++i)
        {
            const auto number = std::to_string(i);
            std::string event = "id: " + number;
            event += "\ndata: " + id;
            event += '.' + number + "\n\n";
            out += chunk_of(event);
        }
        out += "0\r\n\r\n";
        co_await asio::async_write(*socket, asio::buffer(out), into(ec));
    }
}

fleet::fleet(const layout& plan, std::string folder, std::string bin,
             record& log)
    : m_plan(plan), m_folder(std::move(folder)), m_bin(std::move(bin)),
      m_log(log)
{
    for (unsigned i = 0; i < plan.m_storages; ++i)
        m_machines.push_back(make_machine(i, true, i % plan.m_zones));
    for (unsigned i = 0; i < plan.m_edges; ++i)
        m_machines.push_back(make_machine(i, false, i % plan.m_zones));
    // A successor stands in the zone of the machine that it replaces.
    for (unsigned i = 0; i < plan.m_spares; ++i)
        m_machines.push_back(
            make_machine(plan.m_storages + i, true, i % plan.m_zones));
    m_runners.push_back(std::make_unique<runner>(m_io, log, "i-engine-1"));
    put_config();
    for (const auto& row : m_runners)
        m_store.put("servers/" + row->id(),
                    std::string(R"({"service":")") + service +
                        R"(","address":")" + row->address() +
                        R"(","zone":"zone-1","version":1,"slots":64,)" +
                        R"("state":"ready","cold_left_ms":0,"seq":1})");
}

fleet::~fleet()
{
    for (auto& row : m_machines)
    {
        if (row.m_pid <= 0)
            continue;
        kill(row.m_pid, SIGKILL);
        waitpid(row.m_pid, nullptr, 0);
    }
}

machine fleet::make_machine(unsigned number, bool storage, unsigned zone)
{
    machine out;
    out.m_storage = storage;
    out.m_name = (storage ? "storage-" : "edge-") + std::to_string(number + 1);
    out.m_zone = "zone-" + std::to_string(zone + 1);
    out.m_address = free_address();
    out.m_ready = free_address();
    out.m_relay = free_address();
    out.m_metrics = free_address();
    out.m_settings = m_folder + "/" + out.m_name + ".ini";
    out.m_log = m_folder + "/" + out.m_name + ".log";
    out.m_disk = m_folder + "/" + out.m_name + "-disk";
    return out;
}

std::string fleet::free_address()
{
    constexpr int lowest_port = 10000;
    int end = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> end;
    std::random_device device;
    std::uniform_int_distribution<int> ports(lowest_port, end - 1);
    while (true)
    {
        // Held until the end; the daemon may listen there beside it.
        auto claim = std::make_unique<tcp::socket>(m_io, tcp::v4());
        const auto port = static_cast<std::uint16_t>(ports(device));
        error_code ec;
        claim->bind({asio::ip::address_v4::loopback(), port}, ec);
        if (ec)
            continue;
        claim->set_option(tcp::socket::reuse_address(true));
        m_claims.push_back(std::move(claim));
        return "127.0.0.1:" + std::to_string(port);
    }
}

void fleet::put_config()
{
    m_store.put(
        "op/config",
        std::string(R"({"version":1,"routes":[{"name":"turns","host":")") +
            host + R"(","path_prefix":"/turns/","kind":"streaming",)" +
            R"("service":")" + service +
            R"(","timeout_ms":4000,"target_latency_ms":200,)" +
            R"("target_gap_ms":300,"max_attempts":2,"priority":0,)" +
            R"("sticky":true,"stateful":true,"retention_s":60}],)" +
            R"("services":[{"name":")" + service +
            R"(","health_path":"/health","engine":{"slots":64,"stride":4,)" +
            R"("kv_capacity":342837}}],"limits":{"max_header_bytes":16384,)" +
            R"("max_body_bytes":4194304,"header_timeout_ms":5000,)" +
            R"("idle_timeout_ms":30000}})");
}

void fleet::write_settings(machine& which)
{
    std::string seeds;
    for (unsigned i = 0; i < std::min(3U, m_plan.m_storages); ++i)
        seeds += (seeds.empty() ? "" : ",") + m_machines[i].m_address;
    std::string zones;
    for (unsigned i = 1; i <= m_plan.m_zones; ++i)
        zones += (zones.empty() ? "zone-" : ",zone-") + std::to_string(i) +
                 "=region-1";
    std::ofstream out(which.m_settings);
    out << "[vm]\nname = " << which.m_name
        << "\nhost = 127.0.0.1\navailability_zone = " << which.m_zone
        << "\nzones = " << zones
        << "\nbootstrap = " << (which.m_first_start ? "true" : "false")
        << "\ngrace_s = 8\nmemory_mb = 260\n[listen]\nseeds = " << seeds
        << "\nmetrics = " << which.m_metrics << '\n';
    if (which.m_storage)
        out << "frames = " << which.m_address
            << "\n[storage]\nfolder = " << which.m_disk << '\n';
    else
        out << "callers = " << which.m_address << "\nready = " << which.m_ready
            << "\nrelay = " << which.m_relay << "\n[storage]\n";
    out << "disk_losses = " << m_plan.m_tolerance
        << "\n[placement]\nfrom_shared_tokens = 8192\n[store]\naddress = "
        << m_store.address() << "\n[bounds]\nconfig_apply_ms = 2000\n";
    which.m_first_start = false;
}

void fleet::start(machine& which)
{
    write_settings(which);
    if (which.m_storage)
        std::filesystem::create_directories(which.m_disk);
    const auto program =
        m_bin + (which.m_storage ? "/pepperturn-storage" : "/pepperturn-edge");
    const auto parent = getpid();
    which.m_pid = fork();
    if (which.m_pid == 0)
        become(which, program, parent);
    m_log.tell(which.m_name + " starts");
}

bool fleet::start()
{
    for (unsigned i = 0; i < m_plan.m_storages + m_plan.m_edges; ++i)
        start(m_machines[i]);
    for (auto& row : m_machines)
        row.m_first_start = false;
    unsigned tries = 0;
    const auto end = std::chrono::steady_clock::now() + start_limit;
    while (std::chrono::steady_clock::now() < end)
    {
        const auto number = std::to_string(++tries);
        bool good = true;
        for (unsigned i = 0; i < m_plan.m_edges; ++i)
        {
            const auto id = "first-" + number + "-" + std::to_string(i);
            const auto answer = take_turn({id, "p-" + id, "", "hello\n"}, i);
            good = good && is_served(answer);
        }
        if (good)
            return true;
        run(milliseconds(500));
    }
    return false;
}

void fleet::send_signal(const machine& which, int signal)
{
    m_log.tell(which.m_name + " gets signal " + std::to_string(signal));
    if (which.m_pid > 0)
        kill(which.m_pid, signal);
}

void fleet::await_end(machine& which, milliseconds limit)
{
    const auto has_ended = [&] {
        return waitpid(which.m_pid, nullptr, WNOHANG) == which.m_pid;
    };
    if (!run(limit, has_ended))
    {
        kill(which.m_pid, SIGKILL);
        waitpid(which.m_pid, nullptr, 0);
    }
    which.m_pid = -1;
    m_log.tell(which.m_name + " has ended");
}

void fleet::restart(machine& which)
{
    send_signal(which, SIGTERM);
    await_end(which, end_limit);
    start(which);
}

void fleet::lose_disk(machine& which)
{
    send_signal(which, SIGKILL);
    await_end(which, end_limit);
    std::filesystem::remove_all(which.m_disk);
    m_log.tell(which.m_name + " has lost its disk");
}

bool fleet::run(milliseconds span, const std::function<bool()>& done)
{
    const auto end = std::chrono::steady_clock::now() + span;
    while (true)
    {
        if (done && done())
            return true;
        const auto now = std::chrono::steady_clock::now();
        if (now >= end)
            return false;
        m_io.restart();
        m_io.run_one_for(std::min<std::chrono::nanoseconds>(
            end - now, std::chrono::nanoseconds(poll_step)));
    }
}

task<client_answer> fleet::ask(turn request, unsigned edge_number)
{
    client_answer out;
    error_code ec;
    const auto& at = m_machines[m_plan.m_storages + edge_number];
    boost::beast::tcp_stream stream(m_io);
    stream.expires_after(milliseconds(deadline_ms));
    co_await stream.async_connect(pepperturn::parse_endpoint(at.m_address, ec),
                                  into(ec));
    if (ec)
    {
        m_log.write("client " + request.m_id + " cannot connect");
        co_return out;
    }
    http::request<http::string_body> message(http::verb::post, path, 11);
    message.set(http::field::host, host);
    message.set("X-Attempt-Id", request.m_id);
    message.set("X-Deadline-Ms", std::to_string(deadline_ms));
    message.set("X-Program-Id", request.m_program);
    message.set("X-Session-Id", request.m_program);
    message.set("X-Program-Deadline-Ms", "30000");
    message.set("X-Token-Budget", "100000");
    message.set("X-Token-Count", "100," + std::to_string(most_tokens));
    if (!request.m_previous.empty())
        message.set("X-Previous-Turn", request.m_previous);
    message.body() = request.m_input;
    message.prepare_payload();
    m_log.write(
        "client sends " + request.m_id + " of " + request.m_program +
        (request.m_previous.empty() ? "" : " after " + request.m_previous) +
        " to " + at.m_name);
    co_await http::async_write(stream, message, into(ec));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!ec)
        co_await http::async_read(stream, buffer, parser, into(ec));
    if (parser.is_header_done())
    {
        out.m_status = parser.get().result_int();
        out.m_body = parser.get().body();
        out.m_whole = !ec;
    }
    m_log.write("client gets " + std::to_string(out.m_status) +
                (out.m_whole ? " whole" : " not whole") + " for " +
                request.m_id +
                (out.m_status == 200 ? "" : ": " + out.m_body.substr(0, 80)));
    co_return out;
}

client_answer fleet::take_turn(const turn& request, unsigned edge_number)
{
    std::optional<client_answer> answer;
    asio::co_spawn(m_io, ask(request, edge_number),
                   [&answer](const std::exception_ptr&, client_answer value) {
                       answer = std::move(value);
                   });
    constexpr milliseconds margin{3000};
    run(milliseconds(deadline_ms) + margin, [&] { return answer.has_value(); });
    return answer.value_or(client_answer{});
}

task<> fleet::ask_list(const std::vector<turn>& requests, std::size_t& next,
                       std::vector<client_answer>& answers, unsigned& open)
{
    ++open;
    while (next < requests.size())
    {
        const auto number = next++;
        const auto edge_number = static_cast<unsigned>(number) % m_plan.m_edges;
        answers[number] = co_await ask(requests[number], edge_number);
    }
    --open;
}

std::vector<client_answer> fleet::ask_all(const std::vector<turn>& requests)
{
    std::size_t next = 0;
    unsigned open = 0;
    std::vector<client_answer> answers(requests.size());
    for (unsigned i = 0; i < parallel_programs; ++i)
        spawn(m_io, "clients", ask_list(requests, next, answers, open));
    constexpr milliseconds limit{60000};
    run(limit, [&] { return next >= requests.size() && open == 0; });
    return answers;
}

unsigned fleet::run_programs(unsigned count, const std::string& prefix)
{
    std::vector<turn> requests;
    for (unsigned i = 0; i < count; ++i)
    {
        const auto id = prefix + std::to_string(i);
        requests.push_back({id, "p-" + id, "", "input of " + id + "\n"});
    }
    const auto answers = ask_all(requests);
    return static_cast<unsigned>(
        std::count_if(answers.begin(), answers.end(), is_served));
}

task<> fleet::ask_repeatedly(std::string prefix, milliseconds pause)
{
    for (unsigned number = 0;; ++number)
    {
        const auto id = prefix + std::to_string(number);
        turn request{id, "p-" + id, "", "input of " + id + "\n"};
        asio::co_spawn(m_io, ask(std::move(request), number % m_plan.m_edges),
                       [](const std::exception_ptr&, const client_answer&) {});
        co_await sleep_for(m_io, pause);
    }
}

void fleet::keep_asking(const std::string& prefix, milliseconds pause)
{
    spawn(m_io, "clients", ask_repeatedly(prefix, pause));
}

std::string fleet::metric(const machine& which, const std::string& name)
{
    std::optional<std::string> body;
    asio::co_spawn(
        m_io,
        [](asio::io_context& io, std::string address) -> task<std::string> {
            error_code ec;
            boost::beast::tcp_stream stream(io);
            constexpr milliseconds limit{200};
            stream.expires_after(limit);
            co_await stream.async_connect(
                pepperturn::parse_endpoint(address, ec), into(ec));
            http::request<http::string_body> request(http::verb::get,
                                                     "/metrics", 11);
            request.set(http::field::host, address);
            if (!ec)
                co_await http::async_write(stream, request, into(ec));
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> response;
            if (!ec)
                co_await http::async_read(stream, buffer, response, into(ec));
            co_return ec ? std::string{} : response.body();
        }(m_io, which.m_metrics),
        [&body](const std::exception_ptr&, std::string value) {
            body = std::move(value);
        });
    constexpr milliseconds limit{1000};
    run(limit, [&] { return body.has_value(); });
    const auto text = '\n' + body.value_or("");
    const auto at = text.find('\n' + name + ' ');
    if (at == std::string::npos)
        return {};
    const auto begin = at + name.size() + 2;
    return text.substr(begin, text.find('\n', begin) - begin);
}

std::int64_t fleet::uptime_of_last(const machine& which,
                                   const std::string& event)
{
    const auto text = read_file(which.m_log);
    const auto at = text.rfind("event=" + event);
    const std::string field = "up_ms=";
    const auto begin = at == std::string::npos ? at : text.rfind(field, at);
    return begin == std::string::npos
               ? -1
               : std::strtoll(text.c_str() + begin + field.size(), nullptr, 10);
}

unsigned fleet::count_events(const machine& which, const std::string& event)
{
    const auto text = read_file(which.m_log);
    unsigned count = 0;
    for (auto at = text.find("event=" + event); at != std::string::npos;
         at = text.find("event=" + event, at + 1))
        ++count;
    return count;
}

bool is_served(const client_answer& answer)
{
    return answer.m_status == 200 && answer.m_whole;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
