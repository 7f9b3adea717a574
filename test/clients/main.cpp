// SPDX-License-Identifier: BSL-1.0
/// \file
/// One crowd of clients outside the limits against real processes. Checks that
/// the process lives, that its memory and descriptors stay in their bounds, and
/// that an ordinary request is answered afterwards: no times, no shares.
///
///     pepperturn-clients --list
///     pepperturn-clients CASE BIN_FOLDER    an edge or storage VM
///     pepperturn-clients CASE PORT PID      a pepperturnd that runs already
#include "clients/edge_system.hpp"
#include "clients/process_meter.hpp"

#include "support/fleet/loop.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <iostream>

namespace pepperturn::clients {

namespace {

namespace http = boost::beast::http;

/// For the processes to come up, and for what was refused to be served.
constexpr milliseconds patience{20000};
/// Longest stay of a crowd.
constexpr milliseconds longest_stay{8000};
/// What a client leaves behind is released within a route's time-outs.
constexpr milliseconds release_time{6000};
constexpr milliseconds between_measures{20};
constexpr std::uint64_t megabyte = 1U << 20U;

using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;

/// \returns status 504 if no whole answer came
task<response_message> exchange(asio::io_context& io, tcp::endpoint at,
                                request_message request)
{
    constexpr std::chrono::seconds answer_time{3};
    error_code ec;
    boost::beast::tcp_stream stream(io);
    boost::beast::flat_buffer buffer;
    response_message response;
    request.set(http::field::host, "crowd");
    request.prepare_payload();
    stream.expires_after(answer_time);
    co_await stream.async_connect(at, into(ec));
    if (!ec)
        co_await http::async_write(stream, request, into(ec));
    if (!ec)
        co_await http::async_read(stream, buffer, response, into(ec));
    if (ec)
        response.result(http::status::gateway_timeout);
    co_return response;
}

/// Whether an ordinary request is answered by the runner, once.
task<bool> ask(asio::io_context& io, tcp::endpoint at)
{
    request_message request(http::verb::post, "/call/x", 11);
    request.set("X-Attempt-Id", "ordinary");
    request.set("X-Deadline-Ms", "4000");
    request.body() = "an ordinary request";
    const auto response = co_await exchange(io, at, std::move(request));
    co_return response.result() == http::status::ok&& response.body() ==
        answer_body;
}

/// Whether a pepperturnd says that it is healthy.
task<bool> is_healthy(asio::io_context& io, tcp::endpoint at)
{
    http::request<http::string_body> request(http::verb::get, "/healthz", 11);
    const auto response = co_await exchange(io, at, std::move(request));
    co_return response.result() == http::status::ok;
}

/// Asks again as long as it is refused, as callers do.
bool is_served(asio::io_context& io, const tcp::endpoint& at)
{
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end)
    {
        if (test::run_task(io, ask(io, at)).value_or(false))
            return true;
        test::run_task(io, [](asio::io_context& loop) -> task<bool> {
            constexpr milliseconds pause{100};
            co_await sleep_for(loop, pause);
            co_return true;
        }(io));
    }
    return false;
}

class trial
{
public:
    trial(asio::io_context& io, crowd_case each, tcp::endpoint target,
          pid_t process)
        : m_io(io), m_case(std::move(each)), m_target(std::move(target)),
          m_process(process)
    {}

    /// \param meanwhile asked while a crowd is there
    void run(const std::function<bool()>& meanwhile)
    {
        process_peak before;
        measure(before, m_process);
        for (unsigned i = 0; i < m_case.m_crowds && m_faults.empty(); ++i)
            meet_crowd(meanwhile);
        check(m_peak.m_private_bytes <= m_case.m_memory_mb * megabyte,
              "memory over the VM's");
        check(m_peak.m_descriptors <= m_case.m_descriptors,
              "descriptors over the VM's");
        check_released(before);
        std::cout << "private MB before " << before.m_private_bytes / megabyte
                  << ", most " << m_peak.m_private_bytes / megabyte
                  << ", after " << private_bytes(m_process) / megabyte
                  << "; descriptors before " << before.m_descriptors
                  << ", most " << m_peak.m_descriptors << ", after "
                  << open_descriptors(m_process) << '\n';
    }
    void check(bool held, const std::string& fault)
    {
        if (!held)
            m_faults.push_back(fault);
    }
    [[nodiscard]] const std::vector<std::string>& faults() const
    {
        return m_faults;
    }

private:
    /// The process has ended, or is far beyond what it may use.
    [[nodiscard]] bool lost() const
    {
        return m_peak.m_private_bytes > 2 * m_case.m_memory_mb * megabyte ||
               private_bytes(m_process) == 0;
    }
    void meet_crowd(const std::function<bool()>& meanwhile)
    {
        const auto clients =
            std::make_shared<crowd>(m_io, m_target, m_case.m_form);
        clients->begin(m_case.m_count);
        watch([&] { return clients->settled() || lost(); }, longest_stay);
        std::cout << clients->connected() << " connected, sent "
                  << clients->sent_bytes() / megabyte << " MB; first answer: "
                  << clients->first_answer().substr(
                         0, clients->first_answer().find('\r'))
                  << '\n';
        if (m_case.m_served_meanwhile && !lost())
            check(meanwhile(), "no ordinary answer beside the crowd");
        clients->leave();
        watch([this] { return lost(); }, milliseconds(500));
    }
    void check_released(const process_peak& before)
    {
        const bool released = watch(
            [&] {
                const auto kept_bytes =
                    std::uint64_t{m_case.m_kept_mb} * megabyte;
                return private_bytes(m_process) <=
                           before.m_private_bytes + kept_bytes &&
                       open_descriptors(m_process) <=
                           before.m_descriptors +
                               std::uint64_t{m_case.m_kept_descriptors};
            },
            release_time);
        check(released, "what the crowd used was not given back");
    }
    /// Measures until \p done. \returns whether that was in time
    bool watch(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!done())
        {
            const auto now = std::chrono::steady_clock::now();
            if (now >= end)
                return false;
            test::run_until(
                m_io,
                [next = now + between_measures] {
                    return std::chrono::steady_clock::now() >= next;
                },
                2 * between_measures);
            measure(m_peak, m_process);
        }
        return true;
    }

    asio::io_context& m_io;
    crowd_case m_case;
    tcp::endpoint m_target;
    pid_t m_process;
    process_peak m_peak;
    std::vector<std::string> m_faults;
};

int report(const trial& done)
{
    for (const auto& fault : done.faults())
        std::cout << "FAILED: " << fault << '\n';
    return done.faults().empty() ? 0 : 1;
}

int meet_edge(const crowd_case& each, const std::string& bin)
{
    asio::io_context io{1};
    edge_system system(io, bin, each);
    const auto served = [&] { return is_served(io, system.callers()); };
    if (!system.start() || !served())
    {
        std::cout << "FAILED: the system did not come up\n" << system.logs();
        return 1;
    }
    trial out(io, each, system.target(), system.met().m_pid);
    out.run(served);
    out.check(!system.ended(), "a process has ended");
    out.check(served(), "no ordinary answer afterwards");
    out.check(!system.ended(), "a process has ended since");
    if (!out.faults().empty())
        std::cout << system.logs();
    return report(out);
}

int meet_own(const crowd_case& each, const std::string& port, pid_t process)
{
    asio::io_context io{1};
    error_code ec;
    const auto target = parse_endpoint("127.0.0.1:" + port, ec);
    trial out(io, each, target, process);
    // Ordinary calls are the script's; this needs no key.
    out.run([&] {
        return test::run_task(io, is_healthy(io, target)).value_or(false);
    });
    out.check(private_bytes(process) > 0, "the process has ended");
    return report(out);
}

} // namespace

} // namespace pepperturn::clients

int main(int argc, char** argv)
{
    using namespace pepperturn::clients;
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto cases = all_cases();
    if (arguments == std::vector<std::string>{"--list"})
    {
        for (const auto& each : cases)
            std::cout << each.m_name << '\n';
        return 0;
    }
    const auto found =
        std::find_if(cases.begin(), cases.end(), [&](const auto& each) {
            return !arguments.empty() && each.m_name == arguments[0];
        });
    const bool own = found != cases.end() && found->m_listener == listener::own;
    if (found == cases.end() || arguments.size() != (own ? 3U : 2U))
    {
        std::cerr << "usage: pepperturn-clients --list | CASE BIN_FOLDER | "
                     "CASE PORT PID\n";
        return 2;
    }
    if (!own)
        return meet_edge(*found, arguments[1]);
    return meet_own(*found, arguments[1], std::stoi(arguments[2]));
}
