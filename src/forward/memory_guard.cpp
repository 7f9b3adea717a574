// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/memory_guard.hpp"

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/forward/upstream_pool.hpp"
#include "pepperturn/scheduling/connection_pressure.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How often the level is checked while it is above normal: short compared to
/// the time in which this VM's links could fill the rest of its memory.
constexpr milliseconds poll_interval{50};
/// Longest delay of a new connection: callers abandon a connection that is not
/// read for a second.
constexpr milliseconds max_delay{100};
/// The same while slow readers are disconnected: detecting them takes longer.
constexpr milliseconds max_disconnecting_delay{400};
/// Shorter than the few seconds after which runners abort a response that is
/// not read, longer than it takes to detect slow readers.
constexpr milliseconds capacity_timeout{2500};
/// Freed memory that is returned to the system: the allocator keeps it
/// otherwise, since it lies between blocks that are in use.
constexpr std::uint64_t returned_bytes = 4U << 20U;
/// Between two returns, each of which walks through the heap.
constexpr milliseconds return_interval{2000};
/// Requests that wait for memory retry often; limits their log lines.
constexpr milliseconds refusal_log_interval{1000};

/// Buffered bytes by kind, to show what fills the memory.
std::string format_kinds(const buffer_budget& budget)
{
    std::string out;
    for (std::size_t i = 0; i < buffer_kind_count; ++i)
    {
        const auto kind = static_cast<buffer_kind>(i);
        out += std::string(" ") + to_string(kind) + '=' +
               std::to_string(budget.kind_bytes(kind));
    }
    return out;
}

} // namespace

memory_guard::memory_guard(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time),
      m_budget(std::make_shared<buffer_budget>(buffer_limit(0)))
{
    m_budget->on_level([this](pressure_level level) { handle_level(level); });
    m_budget->on_refused([this](buffer_kind kind, std::uint64_t requested) {
        handle_refused(kind, requested);
    });
}

memory_guard::~memory_guard()
{
    // Accounts of calls that have not ended keep the budget alive.
    m_budget->on_level(nullptr);
    m_budget->on_refused(nullptr);
}

void memory_guard::set_memory(std::uint32_t memory_mb)
{
    m_budget->set_bound(buffer_limit(memory_mb));
    m_budget->set_intake_bound(intake_limit(memory_mb));
}

bool memory_guard::may_read_body(std::uint64_t body) const
{
    return pepperturn::may_read_body(m_budget->level(), m_budget->total(),
                                     m_budget->bound(), body);
}

task<> memory_guard::throttle()
{
    const auto started = m_time.now();
    const auto max_duration = [this] {
        if (level() == pressure_level::calm)
            return milliseconds(0);
        return level() == pressure_level::cutting ? max_disconnecting_delay
                                                  : max_delay;
    };
    while (m_time.now() < started + max_duration())
        co_await sleep_for(m_io, poll_interval);
}

bool memory_guard::try_reserve(buffer_account& account, std::uint64_t bytes)
{
    const bool first = m_budget->first_blocked() == &account;
    if (!may_buffer_more(level(), m_budget->committed(), m_budget->bound(),
                         bytes, first))
        return false;
    return account.reserve_more(buffer_kind::response, bytes);
}

task<bool>
memory_guard::wait_for_capacity(std::shared_ptr<buffer_account> account,
                                std::uint64_t bytes)
{
    bool reserved = try_reserve(*account, bytes);
    if (reserved)
        co_return true;
    account->mark_blocked();
    account->use_reservation(buffer_kind::receive_buffer);
    const auto deadline = m_time.now() + capacity_timeout;
    while (!reserved && m_time.now() < deadline)
    {
        co_await sleep_for(m_io, poll_interval);
        reserved = try_reserve(*account, bytes);
    }
    account->release(buffer_kind::receive_buffer,
                     upstream_pool::receive_buffer_bytes);
    co_return reserved;
}

task<bool> memory_guard::wait_for_delivery_capacity(std::uint64_t bytes,
                                                    instant deadline)
{
    while (!m_budget->fits(buffer_kind::undelivered, bytes) &&
           m_time.now() < deadline)
        co_await sleep_for(m_io, poll_interval);
    co_return m_budget->fits(buffer_kind::undelivered, bytes);
}

void memory_guard::handle_level(pressure_level level)
{
    LOG(INFO) << "event=memory_pressure level=" << to_string(level)
              << " held=" << m_budget->total() << " bound=" << m_budget->bound()
              << format_kinds(*m_budget)
              << " waiting=" << m_budget->waiting_accounts().size();
    if (level != pressure_level::cutting ||
        std::exchange(m_disconnecting, true))
        return;
    spawn(m_io, "memory_guard.relieve", disconnect_slow_readers());
}

void memory_guard::handle_refused(buffer_kind kind, std::uint64_t requested)
{
    const auto index = static_cast<std::size_t>(kind);
    ++m_refused_reservations.at(index);
    auto& last_logged = m_last_logged.at(index);
    const auto now = m_time.now();
    if (last_logged && now < *last_logged + refusal_log_interval)
        return;
    last_logged = now;
    LOG(INFO) << "event=no_room kind=" << to_string(kind)
              << " asked=" << requested << " held=" << m_budget->total()
              << " committed=" << m_budget->committed()
              << " bound=" << m_budget->bound() << format_kinds(*m_budget)
              << " waiting=" << m_budget->waiting_accounts().size();
}

bool memory_guard::freed_much()
{
    const auto now = m_time.now();
    if (m_budget->all() + returned_bytes > m_budget->recent_peak() ||
        elapsed(m_last_freed, now) < return_interval)
        return false;
    m_last_freed = now;
    m_budget->begin_recent_peak();
    return true;
}

task<> memory_guard::disconnect_slow_readers()
{
    while (level() == pressure_level::cutting)
    {
        disconnect_slowest();
        co_await sleep_for(m_io, poll_interval);
    }
    m_disconnecting = false;
}

void memory_guard::disconnect_slowest()
{
    const std::vector<buffer_account*> accounts(
        m_budget->waiting_accounts().begin(),
        m_budget->waiting_accounts().end());
    std::vector<unread_response> responses;
    responses.reserve(accounts.size());
    for (const auto* account : accounts)
        responses.push_back(account->unread(m_time.now()));
    // No account is destroyed before the event loop continues: each lives until
    // the write that waits on it has returned.
    for (const auto index :
         choose_aborts(responses, m_budget->total(), m_budget->bound()))
    {
        LOG(INFO) << "event=reader_cut held=" << responses[index].m_buffered
                  << " taken=" << responses[index].m_consumed
                  << " waited_ms=" << responses[index].m_waited.count()
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
