// SPDX-License-Identifier: BSL-1.0
/// \file
/// Fault soak: the real daemons on loopback, callers that hold programs, and
/// faults from outside in random order. Checks what callers and runners see.
///
///     pepperturn-soak BIN_FOLDER SEED SECONDS
#include "soak/fleet.hpp"
#include "soak/soak_runner.hpp"

#include "pepperturn/forward/event_reader.hpp"
#include "support/fleet/loop.hpp"
#include "support/fleet/platform_store.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

namespace pepperturn::soak {
namespace {

namespace http = boost::beast::http;
using test::platform_store;
using test::run_until;

constexpr int storage_vms = 3;
constexpr int edge_vms = 3;
constexpr int engines = 2;
constexpr int apps = 2;
constexpr int callers = 6;
constexpr std::uint32_t most_tokens = 15;
constexpr int most_turns = 6;
constexpr int tries = 4;
/// After the last fault every kind of request is served within this.
constexpr milliseconds heal_limit{20000};

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
        bool m_hurt = false;
    };
    struct program_state
    {
        std::string m_id;
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
    task<> call_for_ever();
    task<bool> run_program(bool patient);
    task<bool> take_turn(program_state& program, std::uint64_t budget);
    void check_whole(const std::string& id, const event_reader& events)
    {
        m_rules.taken_for_whole(id, events.data());
        if (events.started_events() > events.complete_events())
            m_rules.fail("turn " + id + " looks whole inside an event");
    }
    /// Asks for a turn after \p broken, which was broken off on its way.
    task<> go_on_from(std::string broken, std::string chain,
                      std::string program, std::uint64_t budget);
    task<caller_answer> ask(std::string target, std::string id,
                            std::string program, std::uint64_t budget,
                            std::string parent, std::string body);
    task<> hurt_for_ever();
    task<> hurt_vm(vm& each);
    task<> hurt_network();
    /// Ends every process at once and starts them in another order, within a
    /// second, with the disks they have.
    task<> lose_power();
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
    bool m_stop = false;
    /// No further faults.
    bool m_calm = false;
    int m_hurting = 0;
    std::vector<program_state> m_ended;
};

std::string soak::fresh_address()
{
    const auto port = m_ports.draw();
    if (port == 0)
        m_rules.fail("no port was found for a listener");
    return "127.0.0.1:" + std::to_string(port);
}

void soak::start_vm(vm& each)
{
    if (!start(each.m_process))
        m_rules.fail(each.m_process.m_name + " could not be started, or twice");
}

void soak::put_config()
{
    const auto route = [](const char* name, const char* kind,
                          const char* service, const char* more) {
        return std::string(R"({"name":")") + name +
               R"(","host":"soak","path_prefix":"/)" + name + R"(/","kind":")" +
               kind + R"(","timeout_ms":4000,"target_latency_ms":300,)" +
               R"("max_attempts":2,"service":")" + service + "\"" + more + "}";
    };
    m_store.put("op/config", R"({"version":)" + std::to_string(++m_version) +
                                 R"(,"routes":[)" +
                                 route("turn", "streaming", "engine",
                                       R"(,"stateful":true,"retention_s":60)") +
                                 "," +
                                 route("once", "non_idempotent", "app", "") +
                                 R"(],"services":[{"name":"engine","engine":)" +
                                 R"({"slots":8,"stride":3}},{"name":"app"}]})");
}

void soak::write_settings(vm& each, int number, bool first_start)
{
    auto& process = each.m_process;
    process.m_settings = m_folder / (process.m_name + ".ini");
    process.m_log = m_folder / (process.m_name + ".log");
    std::string seeds;
    for (const auto& other : m_vms)
    {
        if (other->m_storage)
            seeds += (seeds.empty() ? "" : ",") + other->m_address;
    }
    std::ofstream out(process.m_settings);
    out << "[vm]\nname = " << process.m_name
        << "\nhost = 127.0.0.1\navailability_zone = z" << number
        << "\nbootstrap = " << (first_start ? "true" : "false")
        << "\ngrace_s = 5\n[listen]\nseeds = " << seeds << '\n';
    if (each.m_storage)
        out << "frames = " << each.m_address
            << "\n[storage]\nfolder = " << process.m_data_folder << '\n';
    else
        out << "callers = " << each.m_address << "\nready = " << fresh_address()
            << "\nrelay = " << fresh_address() << '\n';
    out << "[store]\naddress = " << m_store.address() << '\n';
}

void soak::set_up()
{
    for (int i = 0; i < storage_vms + edge_vms; ++i)
    {
        auto each = std::make_unique<vm>();
        each->m_storage = i < storage_vms;
        each->m_address = fresh_address();
        auto& process = each->m_process;
        process.m_name =
            (each->m_storage ? "storage-" : "edge-") + std::to_string(i);
        process.m_program = m_bin + (each->m_storage ? "/pepperturn-storage"
                                                     : "/pepperturn-edge");
        process.m_data_folder = m_disks / (process.m_name + "-data");
        m_vms.push_back(std::move(each));
    }
    put_config();
    for (int i = 0; i < engines + apps; ++i)
    {
        const auto id = "i-" + std::to_string(i);
        m_runners.push_back(
            std::make_unique<soak_runner>(m_io, m_rules, id, draw(1U << 30U)));
        m_proxies.push_back(
            std::make_unique<fault_proxy>(m_io, m_runners.back()->address()));
        m_store.put("servers/" + id,
                    std::string(R"({"service":")") +
                        (i < engines ? "engine" : "app") + R"(","address":")" +
                        m_proxies.back()->address() +
                        R"(","zone":"a","slots":8,"state":"ready","seq":1})");
    }
    int number = 0;
    for (const auto& each : m_vms)
    {
        write_settings(*each, ++number, true);
        start_vm(*each);
    }
}

task<caller_answer> soak::ask(std::string target, std::string id,
                              std::string program, std::uint64_t budget,
                              std::string parent, std::string body)
{
    caller_answer out;
    out.m_id = id;
    const auto& edge = *m_vms[storage_vms + draw(edge_vms)];
    error_code ec;
    const auto endpoint = parse_endpoint(edge.m_address, ec);
    boost::beast::tcp_stream stream(m_io);
    constexpr std::chrono::seconds patience{5};
    stream.expires_after(patience);
    co_await stream.async_connect(endpoint, into(ec));
    if (ec)
        co_return out;
    http::request<http::string_body> request(http::verb::post, target, 11);
    request.set(http::field::host, "soak");
    request.set("X-Attempt-Id", id);
    request.set("X-Deadline-Ms", "4000");
    if (!program.empty())
    {
        request.set("X-Program-Id", program);
        request.set("X-Token-Budget", std::to_string(budget));
        request.set("X-Token-Count", "10," + std::to_string(most_tokens));
        if (!parent.empty())
            request.set("X-Previous-Turn", parent);
    }
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, into(ec));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!ec)
        co_await http::async_read(stream, buffer, parser, into(ec));
    if (parser.is_header_done())
    {
        out.m_status = parser.get().result_int();
        out.m_body = parser.get().body();
        out.m_whole = !ec;
        if (out.m_whole && parser.get()["X-Attempt-Id"] != id)
            m_rules.fail("the answer of another request came to " + id);
    }
    stream.close();
    const bool promise = out.m_status == 503 || out.m_status == 429 ||
                         out.m_status == 402 || out.m_status == 404;
    if (promise)
        m_rules.told_not_run(id, out.m_status);
    co_return out;
}

task<bool> soak::take_turn(program_state& program, std::uint64_t budget)
{
    constexpr std::uint64_t most_input = 3000;
    const std::string input =
        "in-" + std::string(1 + draw(most_input), 'a') + "\n";
    for (int attempt = 0; attempt < tries; ++attempt)
    {
        const auto id = fresh_id();
        const auto body = program.m_chain + input;
        m_rules.expect(id, body);
        auto answer = co_await ask("/turn/x", id, program.m_id, budget,
                                   program.m_last, input);
        if (answer.m_status == 200)
        {
            event_reader events(true);
            events.consume(answer.m_body);
            m_rules.handed_out(program.m_id, events.complete_events());
            if (!answer.m_whole)
                co_await go_on_from(id, body, program.m_id, budget);
            else
            {
                check_whole(id, events);
                program.m_chain = body + events.data();
                program.m_last = id;
                ++m_served;
                co_return true;
            }
        }
        if (answer.m_status == 402)
            co_return false;
        if (answer.m_status == 404 && m_version > 0)
            m_rules.fail("turn " + program.m_last +
                         " was answered whole, and " + id +
                         " was told that it is not there");
        constexpr milliseconds pause{100};
        co_await sleep_for(m_io, pause);
    }
    co_return false;
}

task<> soak::go_on_from(std::string broken, std::string chain,
                        std::string program, std::uint64_t budget)
{
    const auto id = fresh_id();
    const std::string input = "on\n";
    // Only this caller's side may have broken: then its text is kept whole.
    const auto text = m_rules.whole_answer(broken);
    m_rules.expect(id,
                   text ? std::optional(chain + *text + input) : std::nullopt);
    const auto answer =
        co_await ask("/turn/x", id, program, budget, broken, input);
    if (answer.m_status != 200)
        co_return;
    event_reader events(true);
    events.consume(answer.m_body);
    m_rules.handed_out(program, events.complete_events());
    if (answer.m_whole)
        check_whole(id, events);
}

task<bool> soak::run_program(bool patient)
{
    program_state program;
    program.m_id = "p" + std::to_string(++m_ids);
    constexpr std::uint64_t widest_budget = 120;
    const auto budget = patient ? 1000 : most_tokens + draw(widest_budget);
    m_rules.budget(program.m_id, budget, most_tokens);
    bool good = true;
    for (int turn = 0; turn < most_turns && good; ++turn)
    {
        good = co_await take_turn(program, budget);
        if (good && draw(2) == 0)
        {
            const auto id = fresh_id();
            const std::string body(1 + draw(500), 'c');
            m_rules.expect(id, body);
            auto answer = co_await ask("/once/x", id, "", 0, "", body);
            if (answer.m_status == 200 && answer.m_whole)
                m_rules.taken_for_whole(id, answer.m_body);
        }
    }
    if (!program.m_last.empty())
        m_ended.push_back(std::move(program));
    co_return good;
}

task<> soak::call_for_ever()
{
    while (!m_stop)
        (void)co_await run_program(false);
}

task<> soak::hurt_vm(vm& each)
{
    each.m_hurt = true;
    auto& process = each.m_process;
    const auto short_while = milliseconds(100 + draw(1500));
    const auto kind = draw(each.m_storage ? 4 : 5);
    note("fault " + std::to_string(kind) + " " + process.m_name + " for " +
         std::to_string(short_while.count()) + " ms");
    switch (kind)
    {
    case 0:
        kill_and_wait(process);
        co_await sleep_for(m_io, short_while);
        start_vm(each);
        break;
    case 1:
        send_signal(process, SIGSTOP);
        co_await sleep_for(m_io, short_while);
        send_signal(process, SIGCONT);
        break;
    case 2:
        send_signal(process, SIGHUP);
        break;
    case 3:
        if (each.m_storage)
        {
            kill_and_wait(process);
            std::filesystem::remove_all(process.m_data_folder);
            co_await sleep_for(m_io, short_while);
            start_vm(each);
        }
        else
            send_signal(process, SIGHUP);
        break;
    default: {
        send_signal(process, SIGTERM);
        constexpr milliseconds grace{5000};
        const auto end = std::chrono::steady_clock::now() + grace;
        while (!has_ended(process) && std::chrono::steady_clock::now() < end)
            co_await sleep_for(m_io, milliseconds(20));
        if (!has_ended(process))
        {
            m_rules.fail(process.m_name + " did not end within its grace");
            kill_and_wait(process);
        }
        start_vm(each);
        break;
    }
    }
    // A wiped disk counts as lost until its copies are back.
    constexpr milliseconds recovery{6000};
    if (each.m_storage)
        co_await sleep_for(m_io, kind == 3 ? recovery : milliseconds(1000));
    each.m_hurt = false;
    --m_hurting;
}

task<> soak::hurt_network()
{
    const auto span = milliseconds(200 + draw(1800));
    const auto kind = draw(4);
    note("fault network " + std::to_string(kind) + " for " +
         std::to_string(span.count()) + " ms");
    if (kind == 0)
    {
        m_store.set_down(true);
        co_await sleep_for(m_io, span);
        m_store.set_down(false);
    }
    else if (kind == 1)
        put_config();
    else
    {
        auto& proxy = *m_proxies[draw(m_proxies.size())];
        if (kind == 2)
            proxy.reset_all();
        else
        {
            proxy.set_mode(static_cast<proxy_mode>(1 + draw(3)));
            co_await sleep_for(m_io, span);
            proxy.set_mode(proxy_mode::pass);
            proxy.reset_all();
        }
    }
    --m_hurting;
}

task<> soak::hurt_for_ever()
{
    while (true)
    {
        co_await sleep_for(m_io, milliseconds(50 + draw(700)));
        if (m_calm)
            co_return;
        auto& each = *m_vms[draw(m_vms.size())];
        const bool storage_hurt =
            std::any_of(m_vms.begin(), m_vms.end(), [](const auto& row) {
                return row->m_storage && row->m_hurt;
            });
        // A fault counts from here: it begins only when the loop runs it.
        ++m_hurting;
        if (draw(3) == 0)
            spawn(m_io, "soak.network", hurt_network());
        else if (!each.m_hurt && !(each.m_storage && storage_hurt))
            spawn(m_io, "soak.vm", hurt_vm(each));
        else
            --m_hurting;
    }
}

task<> soak::lose_power()
{
    note("fault power of all");
    for (const auto& each : m_vms)
        kill_and_wait(each->m_process);
    co_await sleep_for(m_io, milliseconds(200 + draw(500)));
    int number = 0;
    for (const auto& each : m_vms)
        write_settings(*each, ++number, false);
    std::vector<vm*> order;
    order.reserve(m_vms.size());
    for (const auto& each : m_vms)
        order.push_back(each.get());
    std::shuffle(order.begin(), order.end(), m_random);
    for (auto* each : order)
    {
        start_vm(*each);
        co_await sleep_for(m_io, milliseconds(draw(60)));
    }
}

int soak::run()
{
    set_up();
    // The first programs wait for the fleet to come up.
    const auto after = [](milliseconds span) {
        return [end = std::chrono::steady_clock::now() + span] {
            return std::chrono::steady_clock::now() >= end;
        };
    };
    run_until(m_io, after(milliseconds(2500)));
    for (int i = 0; i < callers; ++i)
        spawn(m_io, "soak.caller", call_for_ever());
    spawn(m_io, "soak.faults", hurt_for_ever());
    const milliseconds length(m_seconds * 1000);
    run_until(m_io, after(length), length + milliseconds(1000));
    m_calm = true;
    if (!run_until(
            m_io, [&] { return m_hurting == 0; }, heal_limit))
        m_rules.fail("a fault did not end");
    const auto restarted = test::run_task(m_io, [](soak& self) -> task<bool> {
        co_await self.lose_power();
        co_return true;
    }(*this));
    if (!restarted)
        m_rules.fail("the processes were not started again");
    // What comes while nobody can serve yet is held or sent back truly.
    constexpr milliseconds return_time{1500};
    run_until(m_io, after(return_time), 2 * return_time);
    m_stop = true;
    bool healed = false;
    const auto end = std::chrono::steady_clock::now() + heal_limit;
    while (!healed && std::chrono::steady_clock::now() < end)
        healed = test::run_task(m_io, run_program(true)).value_or(false);
    if (!healed)
        m_rules.fail("not served after the last fault");
    // Each program that ended can still be gone on from.
    constexpr std::size_t most_checked = 40;
    const auto checked = std::min(most_checked, m_ended.size());
    for (std::size_t i = m_ended.size() - checked; i < m_ended.size(); ++i)
    {
        auto program = m_ended[i];
        m_rules.budget(program.m_id, UINT32_MAX, most_tokens);
        const auto good =
            test::run_task(m_io, take_turn(program, UINT32_MAX), heal_limit);
        if (!good.value_or(false))
            m_rules.fail("program " + program.m_id + " cannot be gone on from");
    }
    for (const auto& each : m_vms)
    {
        const bool ended = has_ended(each->m_process);
        if (ended)
            m_rules.fail(each->m_process.m_name + " ended by itself");
        kill_and_wait(each->m_process);
    }
    for (const auto& what : m_rules.broken())
        std::cout << "BROKEN " << what << '\n';
    std::cout << "turns " << m_served << ", runs " << m_rules.runs()
              << ", programs " << m_ended.size() << ", broken "
              << m_rules.broken().size() << '\n';
    if (!m_rules.broken().empty())
    {
        std::error_code ignored;
        std::filesystem::copy(m_folder, m_kept_folder,
                              std::filesystem::copy_options::recursive,
                              ignored);
        std::cout << "logs and disks in " << m_kept_folder << '\n';
    }
    std::filesystem::remove_all(m_folder);
    return m_rules.broken().empty() && m_served > 0 ? 0 : 1;
}

} // namespace
} // namespace pepperturn::soak

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: pepperturn-soak BIN_FOLDER SEED SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    pepperturn::soak::soak soak(argv[1], std::stoull(argv[2]),
                                std::stoi(argv[3]));
    return soak.run();
}
