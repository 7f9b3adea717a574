// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/upstream_pool.hpp"

#include "pepperturn/base/latency_histogram.hpp"

#include <algorithm>
#include <sys/socket.h>

namespace pepperturn {

namespace {

/// A runner that acknowledges nothing for this long is unreachable; callers
/// abandon a stream without data after two seconds.
constexpr milliseconds unresponsive_timeout{800};

/// True if nothing was received, neither bytes nor the end of the stream.
bool nothing_received(tcp::socket& socket)
{
    char byte = 0;
    const auto count =
        recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

upstream_pool::upstream_pool(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time)
{}

std::shared_ptr<upstream_connection>
upstream_pool::take(const std::string& runner)
{
    while (true)
    {
        const auto found = m_idle.find(runner);
        if (found == m_idle.end())
            return nullptr;
        // The most recently used one is the least likely to have been closed.
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (found->second.empty())
            m_idle.erase(found);
        connection->m_idle = false;
        auto& socket = connection->m_stream.socket();
        error_code ignored;
        socket.cancel(ignored);
        if (m_time.now() < connection->m_usable_until &&
            nothing_received(socket))
        {
            connection->m_reused = true;
            return connection;
        }
        connection->m_stream.close();
    }
}

task<std::shared_ptr<upstream_connection>>
upstream_pool::connect(std::string address, milliseconds timeout,
                       error_code& error)
{
    const auto endpoint = parse_endpoint(address, error);
    if (error)
        co_return nullptr;
    while (open_connections() >= m_limit && close_idle())
        ++m_closed_for_room;
    const std::shared_ptr<const void> counted = m_open;
    boost::beast::tcp_stream stream(m_io);
    stream.expires_after(timeout);
    ++m_opened;
    co_await stream.async_connect(endpoint, into(error));
    if (error)
        co_return nullptr;
    stream.expires_never();
    tune_socket(stream.socket(), unresponsive_timeout);
    bound_buffers(stream.socket(), send_buffer_bytes, receive_buffer_bytes);
    auto out = std::make_shared<upstream_connection>(std::move(stream));
    out->m_counted = counted;
    co_return out;
}

std::size_t upstream_pool::open_connections() const
{
    return static_cast<std::size_t>(m_open.use_count()) - 1;
}

bool upstream_pool::close_idle()
{
    auto chosen = m_idle.end();
    for (auto row = m_idle.begin(); row != m_idle.end(); ++row)
    {
        if (chosen == m_idle.end() ||
            row->second.front()->m_usable_until <
                chosen->second.front()->m_usable_until)
            chosen = row;
    }
    if (chosen == m_idle.end())
        return false;
    close_first(chosen);
    return true;
}

upstream_pool::idle_rows::iterator
upstream_pool::close_first(idle_rows::iterator row)
{
    const auto connection = std::move(row->second.front());
    row->second.pop_front();
    connection->m_idle = false;
    connection->m_counted = nullptr;
    connection->m_stream.close();
    return row->second.empty() ? m_idle.erase(row) : row;
}

std::size_t upstream_pool::close_expired()
{
    std::size_t closed = 0;
    for (auto row = m_idle.begin(); row != m_idle.end();)
    {
        if (m_time.now() < row->second.front()->m_usable_until)
        {
            ++row;
            continue;
        }
        row = close_first(row);
        ++closed;
    }
    return closed;
}

void upstream_pool::put_back(const std::string& runner,
                             std::shared_ptr<upstream_connection> connection,
                             milliseconds usable_for)
{
    connection->m_usable_until = m_time.now() + usable_for;
    connection->m_idle = true;
    connection->m_stream.expires_never();
    // An idle connection holds no buffer.
    if (connection->m_buffer.size() == 0)
        connection->m_buffer.shrink_to_fit();
    watch(runner, connection);
    m_idle[runner].push_back(std::move(connection));
}

void upstream_pool::watch(
    const std::string& runner,
    const std::shared_ptr<upstream_connection>& connection)
{
    connection->m_stream.socket().async_wait(
        tcp::socket::wait_read, [this, runner, connection](error_code) {
            if (!connection->m_idle)
                return;
            connection->m_idle = false;
            connection->m_stream.close();
            const auto found = m_idle.find(runner);
            if (found == m_idle.end())
                return;
            std::erase(found->second, connection);
            if (found->second.empty())
                m_idle.erase(found);
        });
}

void upstream_pool::write_metrics(std::string& out) const
{
    write_metric(out, "runner_connections", open_connections());
    write_metric(out, "runner_connections_closed_for_room", m_closed_for_room);
}

void upstream_pool::retain(const std::function<bool(const std::string&)>& keep)
{
    std::erase_if(m_idle, [&](const auto& row) {
        if (keep(row.first))
            return false;
        for (const auto& connection : row.second)
        {
            connection->m_idle = false;
            connection->m_stream.close();
        }
        return true;
    });
}

} // namespace pepperturn
