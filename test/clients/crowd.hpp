// SPDX-License-Identifier: BSL-1.0
/// \file
/// Clients outside the limits: what each connection of a crowd sends, and the
/// crowd itself, bounded in connections and bytes.
#pragma once

#include "pepperturn/base/async.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace pepperturn::clients {

/// What one connection sends.
struct crowd_form
{
    /// Sent once.
    std::string m_opening;
    /// Sent again and again behind it; empty: nothing.
    std::string m_repeated;
    /// Of the repeated part, in bytes.
    std::size_t m_repeated_bytes = 0;
    /// Begins to send more only once it has received something.
    bool m_awaits_answer = false;
    /// Leaves all answers unread.
    bool m_reads_nothing = false;
    /// Leaves as soon as it has sent everything; else it stays until all leave.
    bool m_leaves = false;
    /// Connections that each client opens one after the other.
    unsigned m_rounds = 1;
};

/// Clients of one form, all at once.
class crowd : public std::enable_shared_from_this<crowd>
{
public:
    crowd(asio::io_context& io, tcp::endpoint target, crowd_form form);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// \param count connections at once
    void begin(std::size_t count);
    /// Everything was sent, or nothing more is taken.
    [[nodiscard]] bool settled() const;
    /// Closes every connection.
    void leave();
    [[nodiscard]] std::size_t connected() const
    {
        return m_connected;
    }
    [[nodiscard]] std::uint64_t sent_bytes() const
    {
        return m_sent_bytes;
    }
    /// Bytes of answers, the first of each connection's.
    [[nodiscard]] const std::string& first_answer() const
    {
        return m_first_answer;
    }

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    // They keep the crowd that they belong to.
    task<> act(std::shared_ptr<crowd> self);
    task<> send(socket_ptr socket);
    task<> read(std::shared_ptr<crowd> self, socket_ptr socket,
                std::shared_ptr<async_event> answered);
    void note_progress();

    asio::io_context& m_io;
    tcp::endpoint m_target;
    crowd_form m_form;
    std::vector<socket_ptr> m_sockets;
    std::size_t m_acting = 0;
    std::size_t m_connected = 0;
    std::uint64_t m_sent_bytes = 0;
    std::string m_first_answer;
    std::chrono::steady_clock::time_point m_last_progress;
    bool m_left = false;
};

} // namespace pepperturn::clients
