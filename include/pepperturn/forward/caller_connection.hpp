// SPDX-License-Identifier: BSL-1.0
/// \file
/// One caller's connection: reads requests one by one and writes answers.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/exchange.hpp"

namespace pepperturn {

/// How reading a request ended.
enum class read_outcome : std::uint8_t
{
    request,
    /// The connection is over, or was idle for too long.
    closed,
    /// To be refused with \ref read_result::m_status, then closed.
    refused
};

struct read_result
{
    read_outcome m_outcome = read_outcome::closed;
    caller_request m_request;
    unsigned m_status = 0;
    std::string m_reason;
};

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(asio::io_context& io, tcp::socket socket);

    [[nodiscard]] task<read_result> read_request(caller_limits limits);

    /// A whole answer. \returns false if the caller is gone.
    [[nodiscard]] task<bool> write_answer(const upstream_answer& answer,
                                          bool keep_alive);
    /// An answer that comes in pieces, then \ref end_stream.
    [[nodiscard]] task<bool> begin_stream(const upstream_answer& head,
                                          bool keep_alive);
    [[nodiscard]] task<bool> write_piece(std::string_view bytes);
    [[nodiscard]] task<bool> end_stream();

    /// Pulls the switch once the caller closes, until \ref stop_watching.
    void watch(const std::shared_ptr<abort_switch>& aborter);
    void stop_watching();

    /// Ends the connection if no request is under way.
    void close_if_idle();
    void close();
    [[nodiscard]] bool idle() const
    {
        return m_idle;
    }

private:
    task<bool> write_all(std::string text);

    /// Ends a read under way after \p span, and notes that it did.
    void limit_read(milliseconds span);

    boost::beast::tcp_stream m_stream;
    asio::steady_timer m_read_timer;
    bool m_read_late = false;
    boost::beast::flat_buffer m_buffer;
    bool m_idle = true;
    std::uint64_t m_watch = 0;
};

/// Own answer with a short text as body.
[[nodiscard]] upstream_answer own_answer(unsigned status,
                                         const std::string& text);

} // namespace pepperturn
