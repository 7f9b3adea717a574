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
/// The ends of answers are drawn of so many.
constexpr std::uint64_t ends = 80;
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

/// How an answer ends, and with it how it is framed.
enum class answer_end : std::uint8_t
{
    /// Chunks or a length, to their end.
    framed,
    /// Neither of them: whole once the connection closes.
    closed,
    /// The connection closes before the end of the chunks or the length.
    framed_cut,
    /// Chunks, the last one too, of which an event has not ended. This and the
    /// next two are one for plain answers: no length, and a reset.
    chunked_cut,
    /// Neither of them, and closed or reset inside an event.
    closed_cut,
    reset_cut
};

/// One answer in 40 is cut in its framing, one in 80 in each other way, and one
/// in eight ends by closing its connection.
answer_end draw_end(std::uint64_t drawn)
{
    constexpr std::array cuts{answer_end::framed_cut, answer_end::framed_cut,
                              answer_end::chunked_cut, answer_end::closed_cut,
                              answer_end::reset_cut};
    constexpr std::uint64_t closed = 10;
    drawn %= ends;
    if (drawn < cuts.size())
        return cuts[drawn];
    return drawn < cuts.size() + closed ? answer_end::closed
                                        : answer_end::framed;
}

/// What a runner makes of a request that may end it.
enum class deadly_reaction : std::uint8_t
{
    end,
    error,
    unavailable,
    break_off,
    silence,
    error_and_end
};

/// Every second one ends the runner before anything else.
deadly_reaction draw_reaction(std::uint64_t drawn)
{
    constexpr std::array kinds{
        deadly_reaction::end, deadly_reaction::error,
        deadly_reaction::end, deadly_reaction::unavailable,
        deadly_reaction::end, deadly_reaction::break_off,
        deadly_reaction::end, deadly_reaction::silence,
        deadly_reaction::end, deadly_reaction::error_and_end};
    return kinds[drawn % kinds.size()];
}

bool is_whole(answer_end end)
{
    return end == answer_end::framed || end == answer_end::closed;
}

struct made_answer
{
    std::vector<std::string> m_pieces;
    /// What its events or its body say, were it whole.
    std::string m_text;
};

made_answer make_plain(const std::string& head, const std::string& id,
                       answer_end end)
{
    const bool framed =
        end == answer_end::framed || end == answer_end::framed_cut;
    const auto length =
        framed ? "Content-Length: " + std::to_string(id.size()) + "\r\n" : "";
    const auto text = is_whole(end) ? id : id.substr(0, id.size() / 2);
    return {{head + length + "\r\n" + text}, id};
}

made_answer make_stream(const std::string& head, const std::string& id,
                        std::uint64_t drawn, answer_end end)
{
    const bool chunked = end == answer_end::framed ||
                         end == answer_end::framed_cut ||
                         end == answer_end::chunked_cut;
    made_answer out;
    out.m_pieces.push_back(
        head + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
    const auto count = 1 + drawn % most_events;
    for (std::uint64_t i = 1; i <= count; ++i)
    {
        const auto data = id + "." + std::to_string(i) + "\n";
        auto event = "id: " + std::to_string(i) + "\ndata: " + data + "\n";
        out.m_text += data;
        if (i == count && end == answer_end::framed_cut)
            return out;
        if (i == count && !is_whole(end))
            event.resize(1 + drawn / most_events % (event.size() - 1));
        out.m_pieces.push_back(chunked ? chunk_of(event) : event);
    }
    if (chunked)
        out.m_pieces.emplace_back("0\r\n\r\n");
    return out;
}

/// Opens the acceptor again at an address that it had.
void listen_again(tcp::acceptor& acceptor, const std::string& address)
{
    if (acceptor.is_open())
        return;
    error_code ec;
    const auto endpoint = parse_endpoint(address, ec);
    acceptor = tcp::acceptor(acceptor.get_executor(), endpoint);
}

void end_connection(tcp::socket& socket, bool reset)
{
    error_code ignored;
    if (reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    else
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
}

} // namespace

soak_runner::soak_runner(asio::io_context& io, promises& rules, std::string id,
                         std::uint64_t seed)
    : m_io(io), m_rules(rules), m_id(std::move(id)), m_draw(seed),
      m_acceptor(io, any_port()),
      m_address(to_text(m_acceptor.local_endpoint()))
{
    start();
}

void soak_runner::start()
{
    listen_again(m_acceptor, m_address);
    spawn(m_io, "soak_runner.accept",
          test::accept_all(m_acceptor, [this](tcp::socket socket) {
              auto kept = std::make_shared<tcp::socket>(std::move(socket));
              m_sockets.insert(kept);
              spawn(m_io, "soak_runner.serve", serve(kept));
          }));
}

void soak_runner::end()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& socket : std::exchange(m_sockets, {}))
        end_connection(*socket, true);
    if (m_on_end)
        m_on_end();
}

task<bool> soak_runner::react(std::shared_ptr<tcp::socket> socket,
                              std::string id, std::string request)
{
    const auto what = draw_reaction(m_draw / refuse_one_in);
    const bool answers = what == deadly_reaction::error ||
                         what == deadly_reaction::unavailable ||
                         what == deadly_reaction::error_and_end;
    error_code ec;
    if (answers)
    {
        const std::string status =
            what == deadly_reaction::unavailable ? "503 Later" : "500 Error";
        const std::string answer =
            "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + id +
            "\r\nX-Server-Seal: " + m_id + "\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(*socket, asio::buffer(answer), into(ec));
    }
    if (what == deadly_reaction::end || what == deadly_reaction::error_and_end)
    {
        m_rules.ended_runner(id, request);
        end();
        co_return false;
    }
    m_rules.ran_deadly(id);
    if (what == deadly_reaction::break_off)
        end_connection(*socket, true);
    const bool goes_on = what != deadly_reaction::break_off && !ec;
    co_return goes_on;
}

task<> soak_runner::serve(std::shared_ptr<tcp::socket> socket)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        error_code ec;
        // A history is longer than one body that callers may send.
        http::request_parser<http::string_body> parser;
        constexpr std::uint64_t no_limit = std::uint64_t{1} << 62U;
        parser.body_limit(no_limit);
        co_await http::async_read(*socket, buffer, parser, into(ec));
        if (ec)
            break;
        const auto request = parser.release();
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
        if (request.body().starts_with(deadly))
        {
            const auto& body = request.body();
            const bool goes_on = co_await react(socket, id, body);
            if (goes_on)
                continue;
            break;
        }
        m_rules.ran(id, request.body());
        const auto end = draw_end(m_draw);
        const bool turn = request.target().starts_with("/turn/") ||
                          request.target().starts_with("/long/");
        const auto answer = turn ? make_stream(head, id, m_draw / ends, end)
                                 : make_plain(head, id, end);
        m_rules.answers(id, answer.m_text, is_whole(end));
        for (const auto& piece : answer.m_pieces)
        {
            co_await sleep_for(m_io, event_pause);
            if (!ec)
                co_await asio::async_write(*socket, asio::buffer(piece),
                                           into(ec));
        }
        const bool kept = end == answer_end::framed ||
                          (turn && end == answer_end::chunked_cut);
        if (kept && !ec)
            continue;
        co_await sleep_for(m_io, event_pause);
        // The close of a plain answer without a length would be its end.
        end_connection(*socket, end == answer_end::reset_cut ||
                                    (!turn && end != answer_end::framed_cut &&
                                     !is_whole(end)));
        break;
    }
    m_sockets.erase(socket);
}

fault_proxy::fault_proxy(asio::io_context& io, std::string target)
    : m_io(io), m_target(std::move(target)), m_acceptor(io, any_port()),
      m_address(to_text(m_acceptor.local_endpoint()))
{
    start();
}

void fault_proxy::start()
{
    listen_again(m_acceptor, m_address);
    spawn(m_io, "fault_proxy.accept",
          test::accept_all(m_acceptor, [this](tcp::socket socket) {
              auto kept = std::make_shared<tcp::socket>(std::move(socket));
              spawn(m_io, "fault_proxy.join", join(kept));
          }));
}

void fault_proxy::end()
{
    error_code ignored;
    m_acceptor.close(ignored);
    reset_all();
}

void fault_proxy::reset_all()
{
    for (const auto& socket : std::exchange(m_sockets, {}))
        end_connection(*socket, true);
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
    // What was swallowed never looks like the end of what came before it.
    bool reset = false;
    while (true)
    {
        error_code ec;
        const auto count =
            co_await from->async_read_some(asio::buffer(chunk), into(ec));
        reset = reset || ec == asio::error::connection_reset;
        if (ec)
            break;
        if (m_mode == proxy_mode::delay)
            co_await sleep_for(m_io, proxy_delay);
        if (m_mode == proxy_mode::silent ||
            (answers && m_mode == proxy_mode::one_way))
        {
            reset = true;
            continue;
        }
        co_await asio::async_write(*to, asio::buffer(chunk.data(), count),
                                   into(ec));
        if (ec)
            break;
    }
    end_connection(*from, reset);
    end_connection(*to, reset);
    m_sockets.erase(from);
    m_sockets.erase(to);
}

} // namespace pepperturn::soak
