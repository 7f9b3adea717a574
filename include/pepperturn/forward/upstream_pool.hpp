// SPDX-License-Identifier: BSL-1.0
/// \file
/// Pool of keep-alive connections to runners. An idle connection that receives
/// bytes or is closed by the runner is dropped: those bytes belong to no
/// request.
#pragma once

#include "pepperturn/base/async.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>
#include <memory>

namespace pepperturn {

struct upstream_connection
{
    explicit upstream_connection(boost::beast::tcp_stream stream)
        : m_stream(std::move(stream))
    {}

    /// Bytes that are kept while the end of a head, of a chunk's size or of
    /// trailers is missing: what has none in so many is no response.
    static constexpr std::size_t max_unparsed_bytes = 48U << 10U;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{max_unparsed_bytes};
    /// The runner may close it after this instant.
    instant m_usable_until{};
    bool m_idle = false;
    bool m_reused = false;
    /// Counts the connection as open until it is closed or destroyed.
    std::shared_ptr<const void> m_counted;
};

class upstream_pool
{
public:
    /// Kernel socket buffer sizes, in bytes: a typical prompt or response fits
    /// at once. Bytes that a runner has sent and that are not read yet take up
    /// this VM's memory.
    static constexpr int send_buffer_bytes = 32 << 10;
    static constexpr int receive_buffer_bytes = 16 << 10;

    upstream_pool(asio::io_context& io, const clock& time);

    /// An idle connection that is still usable; null: there is none.
    [[nodiscard]] std::shared_ptr<upstream_connection>
    take(const std::string& runner);
    [[nodiscard]] bool has_idle(const std::string& runner) const
    {
        return m_idle.contains(runner);
    }
    /// Opens a new connection; null with \p error set if it is not established
    /// within \p timeout.
    [[nodiscard]] task<std::shared_ptr<upstream_connection>>
    connect(std::string address, milliseconds timeout, error_code& error);
    void put_back(const std::string& runner,
                  std::shared_ptr<upstream_connection> connection,
                  milliseconds usable_for);
    /// Closes the idle connections of every runner for which \p keep returns
    /// false.
    void retain(const std::function<bool(const std::string&)>& keep);

    /// Closes the idle connections that are usable no more.
    /// \returns their number
    std::size_t close_expired();
    /// \param connections at most, as long as idle ones can be closed for new
    /// ones
    void set_limit(std::size_t connections)
    {
        m_limit = connections;
    }
    /// Appends metrics, one line each.
    void write_metrics(std::string& out) const;

    [[nodiscard]] asio::io_context& io() const
    {
        return m_io;
    }
    [[nodiscard]] std::uint64_t opened() const
    {
        return m_opened;
    }

private:
    [[nodiscard]] std::size_t open_connections() const;
    using idle_rows =
        std::map<std::string, std::deque<std::shared_ptr<upstream_connection>>>;

    /// Closes the idle connection that is usable for the shortest time.
    /// \returns false if there is none
    bool close_idle();
    /// Closes the connection of \p row that became idle first.
    /// \returns the row behind it if that was its last
    idle_rows::iterator close_first(idle_rows::iterator row);
    void watch(const std::string& runner,
               const std::shared_ptr<upstream_connection>& connection);

    asio::io_context& m_io;
    const clock& m_time;
    idle_rows m_idle;
    std::uint64_t m_opened = 0;
    std::size_t m_limit = SIZE_MAX;
    /// Connections that are open or being opened; each holds a reference to it.
    std::shared_ptr<const int> m_open = std::make_shared<const int>();
    std::uint64_t m_closed_for_room = 0;
};

} // namespace pepperturn
