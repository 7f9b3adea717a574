// SPDX-License-Identifier: BSL-1.0
#include "soak/soak_runner.hpp"

#include "pepperturn/base/hash.hpp"

#include "support/fleet/loop.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace pepperturn::soak {

namespace {

namespace http = boost::beast::http;

constexpr milliseconds event_pause{4};
constexpr milliseconds proxy_delay{60};
/// One request in so many is refused as if the runner were full.
constexpr std::uint64_t refuse_one_in = 25;
/// One answer in so many is broken off.
constexpr std::uint64_t cut_one_in = 40;
constexpr std::uint64_t most_events = 5;

std::string text_of(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

tcp::endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

std::string chunk_of(const std::string& data)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    return size.data() + data + "\r\n";
}

} // namespace

soak_runner::soak_runner(asio::io_context& io, promises& rules, std::string id,
                         std::uint64_t seed)
    : m_io(io), m_rules(rules), m_id(std::move(id)), m_draw(seed),
      m_acceptor(io, any_port())
{
    spawn(m_io, "soak_runner.accept",
          test::accept_all(m_acceptor, [this](tcp::socket socket) {
              auto kept = std::make_shared<tcp::socket>(std::move(socket));
              spawn(m_io, "soak_runner.serve", serve(kept));
          }));
}

std::string soak_runner::address() const
{
    return to_text(m_acceptor.local_endpoint());
}

task<> soak_runner::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        error_code ec;
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request, into(ec));
        if (ec)
            co_return;
        const auto id = text_of(request["X-Attempt-Id"]);
        std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                           "\r\nX-Server-Seal: " + m_id + "\r\n";
        m_draw = hash64(id, m_draw);
        if (text_of(request["X-Expect-Instance"]) != m_id ||
            m_draw % refuse_one_in == 0)
        {
            const std::string refusal =
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: " + id +
                "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(*socket, asio::buffer(refusal),
                                       into(ec));
            continue;
        }
        m_rules.ran(id, request.body());
        const bool cut = m_draw % cut_one_in == 1;
        if (!request.target().starts_with("/turn/"))
        {
            co_await sleep_for(m_io, event_pause);
            const auto answer =
                head + "Content-Length: " + std::to_string(id.size()) +
                "\r\n\r\n" + (cut ? id.substr(0, id.size() / 2) : id);
            co_await asio::async_write(*socket, asio::buffer(answer), into(ec));
            if (cut || ec)
                co_return;
            continue;
        }
        head += "Transfer-Encoding: chunked\r\n\r\n";
        co_await asio::async_write(*socket, asio::buffer(head), into(ec));
        const auto count = 1 + m_draw / cut_one_in % most_events;
        for (std::uint64_t i = 1; i <= count && !ec; ++i)
        {
            co_await sleep_for(m_io, event_pause);
            const auto event =
                chunk_of("id: " + std::to_string(i) + "\ndata: " + id + "." +
                         std::to_string(i) + "\n\n");
            if (cut && i == count)
                co_return;
            co_await asio::async_write(*socket, asio::buffer(event), into(ec));
        }
        const std::string end = "0\r\n\r\n";
        if (!ec)
            co_await asio::async_write(*socket, asio::buffer(end), into(ec));
        if (ec)
            co_return;
    }
}

fault_proxy::fault_proxy(asio::io_context& io, std::string target)
    : m_io(io), m_target(std::move(target)), m_acceptor(io, any_port())
{
    spawn(m_io, "fault_proxy.accept",
          test::accept_all(m_acceptor, [this](tcp::socket socket) {
              auto kept = std::make_shared<tcp::socket>(std::move(socket));
              spawn(m_io, "fault_proxy.join", join(kept));
          }));
}

std::string fault_proxy::address() const
{
    return to_text(m_acceptor.local_endpoint());
}

void fault_proxy::reset_all()
{
    for (const auto& socket : std::exchange(m_sockets, {}))
    {
        error_code ignored;
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

task<> fault_proxy::join(std::shared_ptr<tcp::socket> near)
{
    auto far = std::make_shared<tcp::socket>(m_io);
    error_code ec;
    const auto endpoint = parse_endpoint(m_target, ec);
    co_await far->async_connect(endpoint, into(ec));
    if (ec)
        co_return;
    m_sockets.insert(near);
    m_sockets.insert(far);
    spawn(m_io, "fault_proxy.pump", pump(near, far, false));
    spawn(m_io, "fault_proxy.pump", pump(far, near, true));
}

task<> fault_proxy::pump(std::shared_ptr<tcp::socket> from,
                         std::shared_ptr<tcp::socket> to, bool answers)
{
    std::array<char, 4096> chunk;
    while (true)
    {
        error_code ec;
        const auto count =
            co_await from->async_read_some(asio::buffer(chunk), into(ec));
        if (ec)
            break;
        if (m_mode == proxy_mode::delay)
            co_await sleep_for(m_io, proxy_delay);
        if (m_mode == proxy_mode::silent ||
            (answers && m_mode == proxy_mode::one_way))
            continue;
        co_await asio::async_write(*to, asio::buffer(chunk.data(), count),
                                   into(ec));
        if (ec)
            break;
    }
    error_code ignored;
    from->close(ignored);
    to->close(ignored);
    m_sockets.erase(from);
    m_sockets.erase(to);
}

} // namespace pepperturn::soak
