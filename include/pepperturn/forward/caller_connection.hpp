// SPDX-License-Identifier: BSL-1.0
/// \file
/// One caller's connection: reads requests one by one and writes responses.
///
/// A caller that does not read delays only its own response, not the event
/// loop: writes wait asynchronously, what waits is accounted as buffered bytes,
/// and each wait has a deadline.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/answer_end.hpp"
#include "pepperturn/forward/exchange.hpp"
#include "pepperturn/forward/memory_guard.hpp"
#include "pepperturn/forward/request_intake.hpp"

namespace pepperturn {

/// How reading a request ended.
enum class read_outcome : std::uint8_t
{
    request,
    /// The connection has ended, or was idle for too long.
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
    /// Refused for lack of memory: when the caller may retry.
    std::optional<milliseconds> m_retry_after;
    /// Of a connection that is closed: why, and the bytes that had arrived of
    /// a request.
    read_end m_end = read_end::none;
    std::size_t m_partial_bytes = 0;
};

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// Kernel socket buffer sizes, in bytes: a typical request or response fits
    /// at once, a long one takes some round trips.
    static constexpr int send_buffer_bytes = 16 << 10;
    static constexpr int receive_buffer_bytes = 32 << 10;

    /// \param slot its place among the connections of the VM
    caller_connection(asio::io_context& io, const clock& time,
                      memory_guard& memory, caller_table& table,
                      std::unique_ptr<caller_slot> slot, tcp::socket socket);

    [[nodiscard]] task<read_result> read_request(caller_limits limits);
    /// IP of the caller; empty: it has disconnected.
    [[nodiscard]] std::string address() const;
    /// Accounts for the bytes that are buffered for the last request.
    [[nodiscard]] const std::shared_ptr<buffer_account>& buffered() const
    {
        return m_intake.account();
    }
    /// Reads and discards the rest of a request that was refused before it was
    /// read completely. If the connection were closed at once, the reset would
    /// discard the refusal before the caller has read it.
    [[nodiscard]] task<> discard_rest_of_request();
    /// Deadline for the caller to read the response to the current request.
    void set_write_deadline(instant deadline)
    {
        m_write_deadline = deadline;
    }
    /// Whether the connection was aborted because the caller did not read, or
    /// because there was no memory to write to it.
    [[nodiscard]] bool write_aborted() const
    {
        return m_write_aborted;
    }
    /// Why it was aborted, as text for the log.
    [[nodiscard]] const char* write_abort_reason() const
    {
        return m_memory_available ? " caller did not read the response in time"
                                  : " not enough memory to write the response";
    }

    /// How the caller's side was seen while it was watched for its close.
    [[nodiscard]] caller_side side() const
    {
        return m_side;
    }
    /// Bytes of the answer to the current request that were written.
    [[nodiscard]] std::uint64_t answer_bytes() const
    {
        return m_answer_bytes;
    }
    /// Error of the last write; none if it was aborted by this VM.
    [[nodiscard]] const error_code& write_error() const
    {
        return m_write_error;
    }
    /// False if the last write found no memory to buffer it.
    [[nodiscard]] bool memory_available() const
    {
        return m_memory_available;
    }

    /// Writes a complete response. \returns false if the caller has
    /// disconnected
    [[nodiscard]] task<bool> write_response(const upstream_response& answer,
                                            bool keep_alive);
    /// Begins a chunked response: then \ref write_chunk, then \ref end_stream.
    [[nodiscard]] task<bool> begin_stream(const upstream_response& head,
                                          bool keep_alive);
    [[nodiscard]] task<bool> write_chunk(std::string_view bytes);
    [[nodiscard]] task<bool> end_stream();

    /// Aborts \p aborter once the caller closes, until \ref stop_watching.
    void watch_for_close(const std::shared_ptr<abort_signal>& aborter);
    void stop_watching();

    /// Ends the connection if no request is in progress.
    void close_if_idle();
    void close();
    [[nodiscard]] bool idle() const
    {
        return m_idle;
    }

private:
    /// \param charged bytes that are buffered for this write only
    task<bool> write_all(std::string_view head, std::string_view body,
                         std::size_t charged);
    /// When the current write times out.
    [[nodiscard]] instant write_deadline() const;
    /// \param reserved bytes that were found to be available for this wait
    void begin_write_wait(std::size_t charged, std::size_t reserved);
    /// Disconnects the caller at \p deadline if it has unread data then. The
    /// timer runs on the machine's clock, so what decides is \ref m_time.
    /// \param wait until the first check
    void watch_write_deadline(instant deadline, microseconds wait);
    void end_write_wait();
    /// Resets the connection and discards what the kernel still has for it.
    void abort_connection();

    /// The bytes that have arrived, or \p ec; they are valid until the next
    /// call for any connection.
    task<std::string_view> read_piece(error_code& ec);
    /// Goes on with a request whose head has arrived, and asks for its body if
    /// the caller waits for that.
    /// \returns false if the caller has left
    task<bool> begin_body();
    /// Refuses a large body that is arriving while memory is short.
    void check_pressure();
    [[nodiscard]] read_result read_failed(const error_code& ec);
    [[nodiscard]] read_result closed(const error_code& ec,
                                     bool timed_out) const;
    /// The request that has arrived, or its refusal.
    [[nodiscard]] read_result take_request();

    /// Cancels a pending read after \p timeout and sets \ref m_read_timed_out.
    void set_read_timeout(milliseconds timeout);

    const clock& m_time;
    memory_guard& m_memory;
    boost::beast::tcp_stream m_stream;
    asio::steady_timer m_read_timer;
    asio::steady_timer m_write_timer;
    std::optional<instant> m_write_deadline;
    bool m_write_aborted = false;
    /// For the last write: there was memory to buffer it.
    bool m_memory_available = true;
    caller_side m_side = caller_side::open;
    std::uint64_t m_answer_bytes = 0;
    error_code m_write_error;
    /// The current response is a stream.
    bool m_streaming = false;
    bool m_read_timed_out = false;
    request_intake m_intake;
    bool m_idle = true;
    std::uint64_t m_watch_generation = 0;
};

/// A response of the proxy itself with a short text as body.
[[nodiscard]] upstream_response text_response(unsigned status,
                                              const std::string& text);

} // namespace pepperturn
