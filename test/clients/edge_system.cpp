// SPDX-License-Identifier: BSL-1.0
#include "clients/edge_system.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <sstream>

namespace pepperturn::clients {

namespace {

tcp::endpoint endpoint_of(const std::string& address)
{
    error_code ec;
    return parse_endpoint(address, ec);
}

std::string end_of(const std::string& file)
{
    constexpr std::size_t shown_bytes = 2000;
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    const auto all = text.str();
    return all.substr(all.size() - std::min(all.size(), shown_bytes));
}

} // namespace

edge_system::edge_system(asio::io_context& io, const std::string& bin,
                         const crowd_case& limits)
    : m_io(io), m_limits(limits),
      m_folder(test::make_scratch_folder("clients")), m_store(io),
      m_runner(io, {asio::ip::address_v4::loopback(), 0}), m_ports(io),
      m_callers(draw_address()), m_ready(draw_address()),
      m_relay(draw_address()), m_frames(draw_address())
{
    spawn(m_io, "clients.runner",
          test::accept_all(m_runner, [this](tcp::socket socket) {
              spawn(m_io, "clients.answer",
                    serve_runner(
                        std::make_shared<tcp::socket>(std::move(socket))));
          }));
    m_edge.m_name = "edge-1";
    m_edge.m_program = bin + "/pepperturn-edge";
    m_storage.m_name = "storage-1";
    m_storage.m_program = bin + "/pepperturn-storage";
}

edge_system::~edge_system()
{
    kill_and_wait(m_edge);
    kill_and_wait(m_storage);
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

task<> edge_system::serve_runner(std::shared_ptr<tcp::socket> socket)
{
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    error_code ec;
    while (!ec)
    {
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request, into(ec));
        if (ec)
            break;
        http::response<http::string_body> response;
        response.set("X-Attempt-Id", request["X-Attempt-Id"]);
        response.set("X-Server-Seal", "seal");
        response.body() = answer_body;
        response.prepare_payload();
        co_await http::async_write(*socket, response, into(ec));
    }
}

std::string edge_system::draw_address()
{
    return "127.0.0.1:" + std::to_string(m_ports.draw());
}

bool edge_system::start()
{
    put_config();
    m_store.put("servers/i-1",
                R"({"service":"app","address":")" +
                    to_text(m_runner.local_endpoint()) +
                    R"(","zone":"z1","slots":64,"state":"ready","seq":1})");
    write_settings(m_storage, true);
    write_settings(m_edge, false);
    return soak::start(m_storage) && soak::start(m_edge);
}

void edge_system::put_config()
{
    m_store.put("op/config",
                R"({"version":1,"routes":[{"name":"call","host":"crowd",)"
                R"("path_prefix":"/call/","kind":"idempotent",)"
                R"("timeout_ms":4000,"target_latency_ms":300,)"
                R"("max_attempts":2,"service":"app"}],)"
                R"("services":[{"name":"app"}]})");
}

void edge_system::write_settings(soak::daemon_process& process, bool storage)
{
    process.m_settings = m_folder / (process.m_name + ".ini");
    process.m_log = m_folder / (process.m_name + ".log");
    std::ofstream out(process.m_settings);
    out << "[vm]\nname = " << process.m_name
        << "\nhost = 127.0.0.1\navailability_zone = z1\nbootstrap = true\n";
    if (&process == &met())
        out << "memory_mb = " << m_limits.m_memory_mb
            << "\ndescriptors = " << m_limits.m_descriptors << '\n';
    out << "[listen]\nseeds = " << m_frames << '\n';
    if (storage)
        out << "frames = " << m_frames << "\n[storage]\ndisk_losses = 0\n"
            << "folder = " << (m_folder / "disk").string() << '\n';
    else
        out << "callers = " << m_callers << "\nready = " << m_ready
            << "\nrelay = " << m_relay << '\n';
    out << "[store]\naddress = " << m_store.address() << '\n';
}

tcp::endpoint edge_system::callers() const
{
    return endpoint_of(m_callers);
}

tcp::endpoint edge_system::target() const
{
    switch (m_limits.m_listener)
    {
    case listener::ready:
        return endpoint_of(m_ready);
    case listener::relay:
        return endpoint_of(m_relay);
    case listener::frames:
        return endpoint_of(m_frames);
    case listener::callers:
    case listener::own:
        break;
    }
    return callers();
}

std::string edge_system::logs() const
{
    return end_of(m_storage.m_log) + "\n" + end_of(m_edge.m_log);
}

} // namespace pepperturn::clients
