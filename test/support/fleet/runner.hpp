// SPDX-License-Identifier: BSL-1.0
/// \file
/// Stand-in of a runner on loopback: answers requests as a script says, byte
/// by byte, and keeps what it was sent.
#pragma once

#include "pepperturn/base/async.hpp"

#include <vector>

namespace pepperturn::test {

/// What the runner does with one request.
struct runner_step
{
    /// Sent as it stands; ID stands for the request's id.
    std::string m_bytes;
    /// Wait for the whole request before answering.
    bool m_read_all = true;
    /// Afterwards: keep the connection, close it, reset it, or say nothing.
    enum class after : std::uint8_t
    {
        keep,
        close,
        reset
    } m_after = after::keep;
    /// Sent this much later on the kept connection, to nobody's request.
    std::string m_surplus = {};
    milliseconds m_delay{0};
};

class scripted_runner
{
public:
    explicit scripted_runner(asio::io_context& io);

    [[nodiscard]] std::string address() const;
    /// Steps are used in order; the last one stays.
    void script(std::vector<runner_step> steps);
    /// Heads and bodies, in the order of their arrival.
    [[nodiscard]] const std::vector<std::string>& requests() const
    {
        return m_requests;
    }
    [[nodiscard]] std::size_t connections() const
    {
        return m_connections;
    }
    /// Connections that the other side has closed.
    [[nodiscard]] std::size_t closed() const
    {
        return m_closed;
    }

private:
    task<> serve(std::shared_ptr<tcp::socket> socket);

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::vector<runner_step> m_steps;
    std::size_t m_next = 0;
    std::vector<std::string> m_requests;
    std::size_t m_connections = 0;
    std::size_t m_closed = 0;
};

/// A whole answer of the runner, signed, with a length.
[[nodiscard]] std::string whole_answer(unsigned status, const std::string& body,
                                       const std::string& more_lines = {});
/// An answer of events in chunks, ended.
/// \param first id of the first event
[[nodiscard]] std::string event_answer(const std::vector<std::string>& events,
                                       bool ended = true, int first = 1);
/// One chunk of a body.
[[nodiscard]] std::string chunk_of(const std::string& bytes);

} // namespace pepperturn::test
