// SPDX-License-Identifier: BSL-1.0
/// \file
/// A TCP connection that carries frames in both directions.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/turns/messages.hpp"

#include <deque>
#include <functional>
#include <memory>

namespace pepperturn {

/// A peer that acknowledges no data for this long is treated as disconnected:
/// well below the time that a caller waits, far above a scheduling pause.
constexpr milliseconds frame_peer_timeout{1500};

/// Receives the reply; empty: the connection ended before it arrived.
using reply_handler = std::function<void(std::optional<frame>)>;

class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    /// \param max_bytes largest frame accepted from the peer
    frame_link(asio::io_context& io, tcp::socket socket,
               std::size_t max_bytes = max_frame_bytes);

    /// Reads frames until the connection ends. \p on_closed is called exactly
    /// once.
    void start(std::function<void(frame)> on_frame,
               std::function<void(const std::string& reason)> on_closed);
    void send(const frame& value);
    /// Sends an encoded frame whose buffer is shared with other links.
    void send(std::shared_ptr<const std::string> bytes);
    /// Returns once at most \p max_bytes wait to be sent, or the link is
    /// closed.
    [[nodiscard]] static task<> wait_for_room(std::shared_ptr<frame_link> self,
                                              std::size_t max_bytes);
    void close(const std::string& reason);
    [[nodiscard]] bool open() const
    {
        return m_open;
    }
    /// Whether the peer has sent a frame.
    [[nodiscard]] bool heard() const
    {
        return m_heard;
    }
    /// Bytes that the peer has not taken yet, as far as this process holds
    /// them.
    [[nodiscard]] std::size_t queued_bytes() const
    {
        return m_queued_bytes + m_writing_bytes;
    }
    /// True if the link was closed because the peer sent a malformed or
    /// oversized frame.
    [[nodiscard]] bool protocol_violated() const
    {
        return m_protocol_violated;
    }

private:
    // Coroutines start after they are created, so they own the link from the
    // start.
    static task<> read_frames(std::shared_ptr<frame_link> self);
    static task<> write_queued(std::shared_ptr<frame_link> self);
    /// Closes the link if the peer has left too many bytes unread.
    void start_writing();
    /// Closes the link and returns nothing if the frame makes no sense.
    [[nodiscard]] std::optional<frame> decode_received(std::string_view bytes);
    /// Passes complete frames in \p buffer to the handler and removes them.
    void handle_frames(std::string& buffer);

    asio::io_context& m_io;
    tcp::socket m_socket;
    std::size_t m_max_bytes;
    std::function<void(frame)> m_on_frame;
    std::function<void(const std::string&)> m_on_closed;
    /// Buffers to write: one shared frame, or several frames of this link,
    /// each.
    std::deque<std::shared_ptr<const std::string>> m_queued_buffers;
    std::string m_queue;
    std::size_t m_queued_bytes = 0;
    /// Of the buffer that is being written.
    std::size_t m_writing_bytes = 0;
    async_event m_written;
    bool m_writing = false;
    bool m_open = true;
    bool m_heard = false;
    bool m_protocol_violated = false;
};

/// Connects within \p timeout; returns null and sets \p reason on failure.
[[nodiscard]] task<std::shared_ptr<frame_link>>
connect_frame_link(asio::io_context& io, std::string address,
                   milliseconds timeout, std::string& reason,
                   std::size_t max_bytes = max_frame_bytes);

} // namespace pepperturn
