// SPDX-License-Identifier: BSL-1.0
#include "clients/crowd.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

namespace pepperturn::clients {

namespace {

/// What the other side does not take for so long, it will not take.
constexpr milliseconds settle_time{1000};
constexpr std::size_t block_bytes = 16384;
constexpr std::size_t kept_answer_bytes = 400;

/// \p unit as often as fits a block, but at least once.
std::string block_of(const std::string& unit)
{
    std::string out = unit;
    while (!unit.empty() && out.size() + unit.size() <= block_bytes)
        out += unit;
    return out;
}

} // namespace

crowd::crowd(asio::io_context& io, tcp::endpoint target, crowd_form form)
    : m_io(io), m_target(std::move(target)), m_form(std::move(form)),
      m_last_progress(std::chrono::steady_clock::now())
{}

void crowd::begin(std::size_t count)
{
    m_acting = count;
    for (std::size_t i = 0; i < count; ++i)
        spawn(m_io, "crowd.act", act(shared_from_this()));
}

void crowd::note_progress()
{
    m_last_progress = std::chrono::steady_clock::now();
}

bool crowd::settled() const
{
    return m_acting == 0 ||
           std::chrono::steady_clock::now() - m_last_progress > settle_time;
}

void crowd::leave()
{
    m_left = true;
    for (const auto& socket : m_sockets)
    {
        error_code ignored;
        socket->close(ignored);
    }
    m_sockets.clear();
}

task<> crowd::act(std::shared_ptr<crowd> self)
{
    for (unsigned i = 0; i < m_form.m_rounds && !m_left; ++i)
    {
        const auto socket = std::make_shared<tcp::socket>(m_io);
        m_sockets.push_back(socket);
        error_code ec;
        co_await socket->async_connect(m_target, into(ec));
        if (ec || m_left)
            break;
        ++m_connected;
        note_progress();
        co_await send(socket);
        if (!m_form.m_leaves)
            continue;
        socket->close(ec);
        std::erase(m_sockets, socket);
    }
    --self->m_acting;
}

task<> crowd::send(socket_ptr socket)
{
    const auto answered = std::make_shared<async_event>(m_io);
    if (!m_form.m_reads_nothing)
        spawn(m_io, "crowd.read", read(shared_from_this(), socket, answered));
    error_code ec;
    m_sent_bytes += co_await asio::async_write(
        *socket, asio::buffer(m_form.m_opening), into(ec));
    note_progress();
    if (m_form.m_awaits_answer && !ec)
        co_await answered->wait_until(system_clock{}.now() + settle_time);
    const auto block = block_of(m_form.m_repeated);
    std::size_t left = block.empty() ? 0 : m_form.m_repeated_bytes;
    while (left > 0 && !ec && !m_left)
    {
        const auto count = co_await asio::async_write(
            *socket, asio::buffer(block.data(), std::min(left, block.size())),
            into(ec));
        m_sent_bytes += count;
        left -= count;
        note_progress();
    }
}

task<> crowd::read(std::shared_ptr<crowd> self, socket_ptr socket,
                   std::shared_ptr<async_event> answered)
{
    std::array<char, 1024> bytes;
    error_code ec;
    while (!ec)
    {
        const auto count =
            co_await socket->async_read_some(asio::buffer(bytes), into(ec));
        const auto kept = self->m_first_answer.size() < kept_answer_bytes
                              ? kept_answer_bytes - self->m_first_answer.size()
                              : 0;
        self->m_first_answer.append(bytes.data(), std::min(count, kept));
        answered->notify();
    }
}

} // namespace pepperturn::clients
