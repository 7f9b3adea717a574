// SPDX-License-Identifier: BSL-1.0
/// \file
/// Runner that ends while it works on certain requests, as a process does that
/// crashes: its connections are reset, and nothing listens any more.
#pragma once

#include "support/fleet/loop.hpp"
#include "support/fleet/runner.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <set>

namespace pepperturn::test {

/// What a runner makes of a request that contains \ref ending_runner::deadly.
enum class reaction : std::uint8_t
{
    end,
    /// Answers with status 500.
    error,
    /// Answers with status 503, without saying that the request has not run.
    unavailable,
    /// Closes the connection without an answer.
    break_off,
    /// Says nothing.
    silence,
    /// Answers with status 500 and ends.
    error_and_end
};

class ending_runner
{
public:
    /// Requests that contain this text end the runner that works on them,
    /// unless \ref react_with says otherwise.
    static constexpr const char* deadly = "deadly";
    /// Requests that contain this one are not answered.
    static constexpr const char* waiting = "waiting";
    /// The connections of requests that contain this one are closed instead.
    static constexpr const char* cut = "cut";

    explicit ending_runner(asio::io_context& io)
        : m_io(io), m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          m_address(to_text(m_acceptor.local_endpoint()))
    {
        accept();
    }
    ~ending_runner()
    {
        end();
    }
    ending_runner(const ending_runner&) = delete;
    ending_runner& operator=(const ending_runner&) = delete;

    [[nodiscard]] const std::string& address() const
    {
        return m_address;
    }
    [[nodiscard]] bool ended() const
    {
        return !m_acceptor.is_open();
    }
    /// Requests received, as method, target and body.
    [[nodiscard]] const std::vector<std::string>& requests() const
    {
        return m_requests;
    }
    /// \param react called for each run of a deadly request
    void react_with(std::function<reaction()> react)
    {
        m_react = std::move(react);
    }
    void answer_waiting()
    {
        m_answers_waiting = true;
    }
    void end()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& socket : std::exchange(m_sockets, {}))
        {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

private:
    void accept()
    {
        spawn(m_io, "ending_runner.accept",
              accept_all(m_acceptor, [this](tcp::socket socket) {
                  auto kept = std::make_shared<tcp::socket>(std::move(socket));
                  m_sockets.insert(kept);
                  spawn(m_io, "ending_runner.serve", serve(kept));
              }));
    }
    using request_type =
        boost::beast::http::request<boost::beast::http::string_body>;

    static task<> write(std::shared_ptr<tcp::socket> socket,
                        const request_type& request, std::string answer)
    {
        const std::string id(request["Pepperturn-Call"]);
        answer.replace(answer.find("ID"), 2, id);
        error_code ignored;
        co_await asio::async_write(*socket, asio::buffer(answer),
                                   into(ignored));
    }
    task<> serve(std::shared_ptr<tcp::socket> socket)
    {
        namespace http = boost::beast::http;
        constexpr milliseconds work{3};
        boost::beast::flat_buffer buffer;
        while (true)
        {
            error_code ec;
            request_type request;
            co_await http::async_read(*socket, buffer, request, into(ec));
            if (ec)
                break;
            const std::string target(request.target());
            const auto what = target + ' ' + request.body();
            m_requests.push_back(what);
            if (!m_answers_waiting && what.find(waiting) != std::string::npos)
                continue;
            co_await sleep_for(m_io, work);
            if (what.find(deadly) != std::string::npos)
            {
                const auto made = m_react();
                if (made == reaction::silence)
                    continue;
                if (made != reaction::end && made != reaction::break_off)
                    co_await write(socket, request,
                                   made == reaction::unavailable ? m_unavailable
                                                                 : m_error);
                if (made == reaction::error || made == reaction::unavailable)
                    continue;
                if (made == reaction::break_off)
                {
                    socket->close(ec);
                    break;
                }
                // A stream has begun by then.
                if (made == reaction::end && target.starts_with("/resume/"))
                    co_await write(socket, request, m_begun_stream);
                end();
                break;
            }
            if (what.find(cut) != std::string::npos)
            {
                socket->close(ec);
                break;
            }
            const auto& answer =
                target.starts_with("/turn/") ? m_stream : m_plain_answer;
            co_await write(socket, request, answer);
        }
        m_sockets.erase(socket);
    }

    const std::string m_plain_answer = whole_answer(200, "done");
    const std::string m_stream = event_answer({"a", "b"});
    const std::string m_begun_stream = event_answer({"a"}, false);
    const std::string m_error = whole_answer(500, "error");
    const std::string m_unavailable = whole_answer(503, "later");
    std::function<reaction()> m_react = [] { return reaction::end; };
    bool m_answers_waiting = false;
    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::string m_address;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::string> m_requests;
};

} // namespace pepperturn::test
