// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/frame_link.hpp"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A peer that leaves more than this unread is disconnected: several of the
/// largest frames.
constexpr std::size_t max_queued_bytes = 4 * max_frame_bytes;
constexpr std::size_t read_bytes = 16384;
/// A larger receive buffer is freed once the long frame that needed it has been
/// decoded: they are rare, and each connection has a buffer.
constexpr std::size_t max_kept_buffer_bytes = 4 * read_bytes;
constexpr std::size_t length_bytes = 4;

std::uint32_t length_of(const std::string& buffer, std::size_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < length_bytes; ++i)
        value |= std::uint32_t{static_cast<std::uint8_t>(buffer[offset + i])}
                 << (8 * i);
    return value;
}

/// Frees memory that a long frame needed.
void shrink(std::string& buffer)
{
    if (buffer.capacity() > max_kept_buffer_bytes)
        std::string(buffer).swap(buffer);
}

/// Makes room for the rest of the frame that \p buffer begins with, at once:
/// growing in steps would hold up to three times its size.
void fit_to_frame(std::string& buffer)
{
    if (buffer.size() < length_bytes)
        return;
    const std::size_t length = length_of(buffer, 0);
    // Whatever follows the frame is read with its last bytes.
    if (length > read_bytes)
        buffer.reserve(length_bytes + length + read_bytes);
}

} // namespace

frame_link::frame_link(asio::io_context& io, tcp::socket socket,
                       std::size_t max_bytes)
    : m_io(io), m_socket(std::move(socket)), m_max_bytes(max_bytes),
      m_written(io)
{
    tune_socket(m_socket, frame_peer_timeout);
}

void frame_link::start(std::function<void(frame)> on_frame,
                       std::function<void(const std::string&)> on_closed)
{
    m_on_frame = std::move(on_frame);
    m_on_closed = std::move(on_closed);
    spawn(m_io, "frame_link.read", read_frames(shared_from_this()));
}

void frame_link::send(const frame& value)
{
    if (!m_open)
        return;
    std::string reason;
    const auto bytes = encode_accepted_frame(value, reason);
    if (!reason.empty())
        LOG(ERROR) << "event=frame_too_long call=" << value.m_call
                   << " reason=\"" << reason << '"';
    m_queued_bytes += bytes.size();
    m_queue += bytes;
    start_writing();
}

void frame_link::send(std::shared_ptr<const std::string> bytes)
{
    if (!m_open)
        return;
    // Frames queued before this buffer are sent before it.
    if (!m_queue.empty())
        m_queued_buffers.push_back(
            std::make_shared<const std::string>(std::exchange(m_queue, {})));
    m_queued_bytes += bytes->size();
    m_queued_buffers.push_back(std::move(bytes));
    start_writing();
}

void frame_link::start_writing()
{
    if (m_queued_bytes > max_queued_bytes)
    {
        close("peer left too much unread");
        return;
    }
    if (!m_writing)
    {
        m_writing = true;
        spawn(m_io, "frame_link.write", write_queued(shared_from_this()));
    }
}

void frame_link::close(const std::string& reason)
{
    if (!m_open)
        return;
    m_open = false;
    error_code ignored;
    m_socket.close(ignored);
    m_written.notify();
    m_on_frame = nullptr;
    if (const auto closed = std::exchange(m_on_closed, nullptr))
        closed(reason);
}

std::optional<frame> frame_link::decode_received(std::string_view bytes)
{
    std::string reason;
    auto value = decode_frame(bytes, reason);
    if (value)
        return value;
    // What can be told apart ends one exchange only.
    value = decode_failed_frame(bytes);
    if (value)
    {
        LOG(WARNING) << "event=frame_unreadable call=" << value->m_call
                     << " reason=\"" << reason << '"';
        return value;
    }
    m_protocol_violated = true;
    close("malformed frame: " + reason);
    return std::nullopt;
}

void frame_link::handle_frames(std::string& buffer)
{
    std::size_t used = 0;
    while (m_open && buffer.size() - used >= length_bytes)
    {
        const std::size_t length = length_of(buffer, used);
        if (length > m_max_bytes)
        {
            m_protocol_violated = true;
            close("oversized frame: " + std::to_string(length) + " bytes");
            return;
        }
        if (buffer.size() - used - length_bytes < length)
            break;
        used += length_bytes;
        const bool is_long = length > read_bytes;
        // At its begin the buffer is aligned, so that the frame is decoded
        // where it is.
        if (is_long)
            buffer.erase(0, std::exchange(used, 0));
        auto value =
            decode_received(std::string_view(buffer).substr(used, length));
        if (!value)
            return;
        m_heard = true;
        used += length;
        // It is not held beside what the handler makes of it.
        if (is_long)
        {
            buffer.erase(0, std::exchange(used, 0));
            shrink(buffer);
        }
        // The handler may close the link, which resets the member.
        if (const auto handler = m_on_frame)
            handler(std::move(*value));
    }
    buffer.erase(0, used);
}

task<> frame_link::read_frames(std::shared_ptr<frame_link> self)
{
    std::string buffer;
    std::array<char, read_bytes> chunk;
    while (self->m_open)
    {
        error_code ec;
        const auto count = co_await self->m_socket.async_read_some(
            asio::buffer(chunk), into(ec));
        if (ec)
        {
            self->close(ec.message());
            co_return;
        }
        buffer.append(chunk.data(), count);
        self->handle_frames(buffer);
        if (self->m_open)
            fit_to_frame(buffer);
    }
}

task<> frame_link::wait_for_room(std::shared_ptr<frame_link> self,
                                 std::size_t max_bytes)
{
    while (self->m_open && self->queued_bytes() > max_bytes)
        co_await self->m_written.wait_until(instant::max());
}

task<> frame_link::write_queued(std::shared_ptr<frame_link> self)
{
    while (self->m_open && self->m_queued_bytes > 0)
    {
        if (self->m_queued_buffers.empty())
            self->m_queued_buffers.push_back(
                std::make_shared<const std::string>(
                    std::exchange(self->m_queue, {})));
        const auto batch = std::move(self->m_queued_buffers.front());
        self->m_queued_buffers.pop_front();
        self->m_queued_bytes -= batch->size();
        self->m_writing_bytes = batch->size();
        error_code ec;
        co_await asio::async_write(self->m_socket, asio::buffer(*batch),
                                   into(ec));
        self->m_writing_bytes = 0;
        self->m_written.notify();
        if (ec)
        {
            self->close(ec.message());
            co_return;
        }
    }
    self->m_writing = false;
}

task<std::shared_ptr<frame_link>> connect_frame_link(asio::io_context& io,
                                                     std::string address,
                                                     milliseconds timeout,
                                                     std::string& reason,
                                                     std::size_t max_bytes)
{
    error_code ec;
    const auto endpoint = parse_endpoint(address, ec);
    if (!ec)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(timeout);
        co_await stream.async_connect(endpoint, into(ec));
        if (!ec)
            co_return std::make_shared<frame_link>(io, stream.release_socket(),
                                                   max_bytes);
    }
    reason = ec.message();
    co_return nullptr;
}

} // namespace pepperturn
