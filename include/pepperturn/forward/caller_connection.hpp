// SPDX-License-Identifier: BSL-1.0
/// \file
/// One caller's connection: reads requests one by one and writes answers.
///
/// A caller that does not read holds its own answer up, not the loop: writes
/// wait for it, what waits counts as held bytes, and the wait has an end.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/exchange.hpp"
#include "pepperturn/forward/memory_guard.hpp"

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
    /// Refused for want of memory: when there may be some again.
    std::optional<milliseconds> m_retry_after;
};

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// What the kernel may keep for a caller, in bytes: a usual request or
    /// answer at once, a long one over some round trips.
    static constexpr int send_buffer_bytes = 16 << 10;
    static constexpr int receive_buffer_bytes = 32 << 10;

    caller_connection(asio::io_context& io, const clock& time,
                      memory_guard& memory, tcp::socket socket);

    [[nodiscard]] task<read_result> read_request(caller_limits limits);
    /// What is held for the request that was read last.
    [[nodiscard]] const std::shared_ptr<buffer_account>& buffered() const
    {
        return m_buffered;
    }
    /// Reads the rest of a request that was refused before it was read, and
    /// keeps nothing of it: closed at once, the refusal would be lost.
    [[nodiscard]] task<> discard_rest_of_request();
    /// The caller has until then to take the answer to the present request.
    void set_write_deadline(instant until)
    {
        m_write_deadline = until;
    }
    /// It was cut because it did not read, or could not be written to.
    [[nodiscard]] bool write_aborted() const
    {
        return m_write_aborted;
    }
    /// Why it was cut, for the lines.
    [[nodiscard]] const char* write_abort_reason() const
    {
        return m_memory_available ? " not read by its caller"
                                  : " no room to deliver it";
    }

    /// A whole answer. \returns false if the caller is gone.
    [[nodiscard]] task<bool> write_response(const upstream_response& answer,
                                            bool keep_alive);
    /// An answer that comes in pieces, then \ref end_stream.
    [[nodiscard]] task<bool> begin_stream(const upstream_response& head,
                                          bool keep_alive);
    [[nodiscard]] task<bool> write_chunk(std::string_view bytes);
    [[nodiscard]] task<bool> end_stream();

    /// Pulls the switch once the caller closes, until \ref stop_watching.
    void watch_for_close(const std::shared_ptr<abort_signal>& aborter);
    void stop_watching();

    /// Ends the connection if no request is under way.
    void close_if_idle();
    void close();
    [[nodiscard]] bool idle() const
    {
        return m_idle;
    }

private:
    /// \param charged bytes that are held only for this write
    task<bool> write_all(std::string_view head, std::string_view body,
                         std::size_t charged);
    /// When the caller is given up that has not taken what is written now.
    [[nodiscard]] instant write_deadline() const;
    /// \param room what was found to be free for this wait
    void begin_write_wait(std::size_t charged, std::size_t room);
    void end_write_wait();
    /// Ends the connection, with what the kernel still has for it.
    void abort_connection();

    /// Ends a read under way after \p span, and notes that it did.
    void set_read_timeout(milliseconds span);

    const clock& m_time;
    memory_guard& m_memory;
    boost::beast::tcp_stream m_stream;
    asio::steady_timer m_read_timer;
    asio::steady_timer m_write_timer;
    std::shared_ptr<buffer_account> m_buffered;
    std::optional<instant> m_write_deadline;
    bool m_write_aborted = false;
    /// For what was written last.
    bool m_memory_available = true;
    /// The present answer is a stream.
    bool m_streaming = false;
    bool m_read_timed_out = false;
    boost::beast::flat_buffer m_buffer;
    bool m_idle = true;
    std::uint64_t m_watch_generation = 0;
};

/// Own answer with a short text as body.
[[nodiscard]] upstream_response text_response(unsigned status,
                                              const std::string& text);

} // namespace pepperturn
