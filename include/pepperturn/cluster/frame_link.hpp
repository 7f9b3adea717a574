// SPDX-License-Identifier: BSL-1.0
/// \file
/// One connection that carries frames both ways.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/turns/messages.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace pepperturn {

/// A peer that acknowledges nothing for this long is taken as gone: well
/// under the time that a caller waits, far above a pause of its scheduler.
constexpr milliseconds frame_peer_timeout{1500};

/// Empty: the connection ended before an answer came.
using reply_handler = std::function<void(std::optional<frame>)>;

class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    /// \param most_bytes largest frame that the peer may send
    frame_link(asio::io_context& io, tcp::socket socket,
               std::size_t most_bytes = max_frame_bytes);

    /// Reads until the connection ends. \p on_closed comes exactly once.
    void start(std::function<void(frame)> on_frame,
               std::function<void(const std::string& reason)> on_closed);
    void send(const frame& value);
    /// Sends an encoded frame that others are sent as well.
    void send(std::shared_ptr<const std::string> bytes);
    void close(const std::string& reason);
    [[nodiscard]] bool open() const
    {
        return m_open;
    }
    /// It was closed since the peer sent what is no frame, or too large a one.
    [[nodiscard]] bool protocol_violated() const
    {
        return m_protocol_violated;
    }

private:
    // A coroutine starts later than it is made: it holds the link from the
    // first.
    static task<> read_frames(std::shared_ptr<frame_link> self);
    static task<> write_queued(std::shared_ptr<frame_link> self);
    /// Ends the link if its peer has left too much unread.
    void start_writing();
    /// Hands whole frames in \p buffer on and takes them out of it.
    void handle_frames(std::string& buffer);

    asio::io_context& m_io;
    tcp::socket m_socket;
    std::size_t m_max_bytes;
    std::function<void(frame)> m_on_frame;
    std::function<void(const std::string&)> m_on_closed;
    /// Whole frames, each as it is shared with other links, or some together.
    std::deque<std::shared_ptr<const std::string>> m_queued_buffers;
    std::string m_queue;
    std::size_t m_queued_bytes = 0;
    bool m_writing = false;
    bool m_open = true;
    bool m_protocol_violated = false;
};

/// Connects within \p patience; null with \p reason set if that fails.
[[nodiscard]] task<std::shared_ptr<frame_link>>
connect_frame_link(asio::io_context& io, std::string address,
                   milliseconds patience, std::string& reason,
                   std::size_t most_bytes = max_frame_bytes);

} // namespace pepperturn
