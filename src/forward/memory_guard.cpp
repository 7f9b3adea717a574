// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/memory_guard.hpp"

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How often the level is looked at while it is not calm: short beside the
/// time in which links of this VM could fill what is left of its memory.
constexpr milliseconds look_interval{50};
/// A new connection waits no longer than this: callers give one up that is
/// not read for a second.
constexpr milliseconds longest_pause{100};
/// The same while readers are cut: it takes longer to tell who reads slowly.
constexpr milliseconds longest_cutting_pause{400};
/// Runners cut off an answer that stays unread for some seconds; longer than
/// it takes to tell who reads slowly.
constexpr milliseconds room_patience{2500};
/// Those that wait for room ask again and again.
constexpr milliseconds refused_line_interval{1000};

/// What the bytes are held for, to tell who filled the memory.
std::string kinds_text(const buffer_budget& book)
{
    std::string out;
    for (std::size_t i = 0; i < buffer_kind_count; ++i)
    {
        const auto kind = static_cast<buffer_kind>(i);
        out += std::string(" ") + to_string(kind) + '=' +
               std::to_string(book.kind_bytes(kind));
    }
    return out;
}

} // namespace

memory_guard::memory_guard(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time),
      m_budget(std::make_shared<buffer_budget>(buffer_limit(0)))
{
    m_budget->on_level([this](pressure_level level) { handle_level(level); });
    m_budget->on_refused([this](buffer_kind kind, std::uint64_t asked) {
        handle_refused(kind, asked);
    });
}

memory_guard::~memory_guard()
{
    // Accounts of calls that were never ended hold on to the book.
    m_budget->on_level(nullptr);
    m_budget->on_refused(nullptr);
}

void memory_guard::set_memory(std::uint32_t memory_mb)
{
    m_budget->set_bound(buffer_limit(memory_mb));
}

bool memory_guard::may_read_body(std::uint64_t body) const
{
    return pepperturn::may_read_body(m_budget->level(), m_budget->total(),
                                     m_budget->bound(), body);
}

task<> memory_guard::throttle()
{
    const auto begun = m_time.now();
    const auto may_last = [this] {
        if (level() == pressure_level::calm)
            return milliseconds(0);
        return level() == pressure_level::cutting ? longest_cutting_pause
                                                  : longest_pause;
    };
    while (m_time.now() < begun + may_last())
        co_await sleep_for(m_io, look_interval);
}

bool memory_guard::try_reserve(buffer_account& held, std::uint64_t bytes)
{
    const bool first = m_budget->first_blocked() == &held;
    if (!may_buffer_more(level(), m_budget->committed(), m_budget->bound(),
                         bytes, first))
        return false;
    return held.reserve_more(buffer_kind::response, bytes);
}

task<bool> memory_guard::wait_for_capacity(std::shared_ptr<buffer_account> held,
                                           std::uint64_t bytes)
{
    bool room = try_reserve(*held, bytes);
    if (room)
        co_return true;
    held->mark_blocked();
    held->use_reservation(buffer_kind::receive_buffer);
    const auto until = m_time.now() + room_patience;
    while (!room && m_time.now() < until)
    {
        co_await sleep_for(m_io, look_interval);
        room = try_reserve(*held, bytes);
    }
    held->release(buffer_kind::receive_buffer,
                  upstream_pool::receive_buffer_bytes);
    co_return room;
}

task<bool> memory_guard::wait_for_delivery_capacity(std::uint64_t bytes,
                                                    instant until)
{
    while (!m_budget->fits(buffer_kind::undelivered, bytes) &&
           m_time.now() < until)
        co_await sleep_for(m_io, look_interval);
    co_return m_budget->fits(buffer_kind::undelivered, bytes);
}

void memory_guard::handle_level(pressure_level level)
{
    LOG(INFO) << "event=memory_pressure level=" << to_string(level)
              << " held=" << m_budget->total() << " bound=" << m_budget->bound()
              << kinds_text(*m_budget)
              << " waiting=" << m_budget->waiting_accounts().size();
    if (level != pressure_level::cutting ||
        std::exchange(m_disconnecting, true))
        return;
    spawn(m_io, "memory_guard.relieve", disconnect_slow_readers());
}

void memory_guard::handle_refused(buffer_kind kind, std::uint64_t asked)
{
    const auto index = static_cast<std::size_t>(kind);
    ++m_refused_reservations.at(index);
    auto& told = m_last_logged.at(index);
    const auto now = m_time.now();
    if (told && now < *told + refused_line_interval)
        return;
    told = now;
    LOG(INFO) << "event=no_room kind=" << to_string(kind) << " asked=" << asked
              << " held=" << m_budget->total()
              << " committed=" << m_budget->committed()
              << " bound=" << m_budget->bound() << kinds_text(*m_budget)
              << " waiting=" << m_budget->waiting_accounts().size();
}

task<> memory_guard::disconnect_slow_readers()
{
    while (level() == pressure_level::cutting)
    {
        disconnect_slowest();
        co_await sleep_for(m_io, look_interval);
    }
    m_disconnecting = false;
}

void memory_guard::disconnect_slowest()
{
    const std::vector<buffer_account*> accounts(
        m_budget->waiting_accounts().begin(),
        m_budget->waiting_accounts().end());
    std::vector<unread_response> answers;
    answers.reserve(accounts.size());
    for (const auto* account : accounts)
        answers.push_back(account->unread(m_time.now()));
    // Nothing ends before the loop runs on: an account lives until the write
    // that waits on it has returned.
    for (const auto index :
         choose_aborts(answers, m_budget->total(), m_budget->bound()))
    {
        LOG(INFO) << "event=reader_cut held=" << answers[index].m_buffered
                  << " taken=" << answers[index].m_consumed
                  << " waited_ms=" << answers[index].m_waited.count()
                  << " cause=memory held_by_all=" << m_budget->total();
        accounts[index]->disconnect();
    }
}

void memory_guard::write_metrics(std::string& out) const
{
    write_metric(out, "held_bytes", m_budget->total());
    write_metric(out, "held_bytes_most", m_budget->peak());
    write_metric(out, "held_bytes_bound", m_budget->bound());
    write_metric(out, "held_bytes_committed", m_budget->committed());
    for (std::size_t i = 0; i < buffer_kind_count; ++i)
        write_metric(out,
                     std::string("no_room_") +
                         to_string(static_cast<buffer_kind>(i)),
                     m_refused_reservations.at(i));
    write_metric(out, "slow_readers", m_budget->slow_readers());
    write_metric(out, "readers_cut", m_budget->disconnected_readers());
    write_metric(out, "bodies_refused_for_memory", m_refused_requests);
}

} // namespace pepperturn
