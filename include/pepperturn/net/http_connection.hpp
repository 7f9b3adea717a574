// SPDX-License-Identifier: BSL-1.0
/// \file
/// One client's connection to the project's own interface: reads requests
/// within limits, one at a time, and writes their answers.
///
/// All connections of a server belong to one thread; only a responder is used
/// from others.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/request_intake.hpp"
#include "pepperturn/net/http_server.hpp"

#include <atomic>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <deque>
#include <mutex>
#include <optional>

namespace pepperturn::detail {

/// What the connections of a server share.
struct http_core
{
    explicit http_core(http_server_options options);

    const http_server_options m_options;
    asio::io_context m_io{1};
    system_clock m_time;
    std::shared_ptr<buffer_budget> m_budget;
    caller_table m_table;
    /// Runs the handler on a thread of its own.
    std::function<void(http_call, std::shared_ptr<http_responder>)> m_handle;
    std::optional<asio::ssl::context> m_tls;
    /// Connections end with the request under way.
    bool m_closing = false;
    /// Nothing runs on the context any more.
    std::atomic<bool> m_stopped{false};
};

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(std::shared_ptr<http_core> core,
                    std::unique_ptr<caller_slot> slot, tcp::socket socket);

    /// Serves requests until the connection ends.
    [[nodiscard]] task<> serve();
    /// Ends the connection if no request is under way.
    void close_if_idle();

    // From here on for the responder of the request under way, in the thread of
    // the connections. A request is told by its number: what comes for an
    // earlier one is ignored.

    /// Sends \p bytes behind what was sent before.
    void send(std::uint64_t request, std::string bytes,
              std::shared_ptr<std::atomic<std::uint64_t>> unread);
    /// The answer is complete; \p broken: it is not, and the connection closes.
    void finish(std::uint64_t request, bool broken);

private:
    enum class read_end : std::uint8_t
    {
        complete,
        refused,
        closed
    };

    task<bool> handshake();
    task<read_end> read_request();
    /// Goes on with a request whose head has arrived.
    task<> begin_body();
    /// Hands the request on, and sends its answer.
    /// \returns whether the connection goes on
    task<bool> answer_request();
    task<> refuse();
    task<> write_queued();
    task<bool> write(std::string_view bytes);
    task<std::size_t> read_some(error_code& ec);
    void close();
    [[nodiscard]] boost::beast::tcp_stream& lowest();

    std::shared_ptr<http_core> m_core;
    std::optional<boost::beast::tcp_stream> m_plain;
    std::optional<boost::beast::ssl_stream<boost::beast::tcp_stream>> m_tls;
    request_intake m_intake;
    std::array<char, 2048> m_piece{};
    bool m_serving = false;
    std::uint64_t m_request = 0;
    /// Pieces of the answer that are not written yet, each with the counter of
    /// unread bytes that it is part of.
    struct queued_piece
    {
        std::string m_bytes;
        std::shared_ptr<std::atomic<std::uint64_t>> m_unread;
    };
    std::deque<queued_piece> m_queue;
    async_event m_changed;
    bool m_finished = false;
    bool m_broken = false;
};

/// The responder of the request \p number of \p connection.
/// \param keep_alive the client keeps the connection
/// \param chunked the client understands chunks
[[nodiscard]] std::shared_ptr<http_responder>
make_responder(std::shared_ptr<http_core> core,
               std::shared_ptr<http_connection> connection,
               std::uint64_t number, bool keep_alive, bool chunked);

/// The request in the form that handlers get.
/// \returns empty if its target is no valid one
[[nodiscard]] std::optional<http_call>
decode_call(request_reader::message request);

} // namespace pepperturn::detail
