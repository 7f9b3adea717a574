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
std::string kinds_text(const held_book& book)
{
    std::string out;
    for (std::size_t i = 0; i < held_kinds; ++i)
    {
        const auto kind = static_cast<held_kind>(i);
        out += std::string(" ") + to_string(kind) + '=' +
               std::to_string(book.of_kind(kind));
    }
    return out;
}

} // namespace

memory_guard::memory_guard(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time), m_book(std::make_shared<held_book>(held_bound(0)))
{
    m_book->on_level([this](pressure_level level) { take_level(level); });
    m_book->on_refused([this](held_kind kind, std::uint64_t asked) {
        take_refused(kind, asked);
    });
}

memory_guard::~memory_guard()
{
    // Accounts of calls that were never ended hold on to the book.
    m_book->on_level(nullptr);
    m_book->on_refused(nullptr);
}

void memory_guard::bound_by(std::uint32_t memory_mb)
{
    m_book->set_bound(held_bound(memory_mb));
}

bool memory_guard::may_read_body(std::uint64_t body) const
{
    return pepperturn::may_read_body(m_book->level(), m_book->total(),
                                     m_book->bound(), body);
}

task<> memory_guard::pause()
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

bool memory_guard::take_room(held_account& held, std::uint64_t bytes)
{
    const bool first = m_book->first_gathering() == &held;
    if (!may_gather_on(level(), m_book->committed(), m_book->bound(), bytes,
                       first))
        return false;
    return held.reserve_more(held_kind::answer, bytes);
}

task<bool> memory_guard::wait_for_room(std::shared_ptr<held_account> held,
                                       std::uint64_t bytes)
{
    bool room = take_room(*held, bytes);
    if (room)
        co_return true;
    held->begin_gathering();
    held->hold_reserved(held_kind::incoming);
    const auto until = m_time.now() + room_patience;
    while (!room && m_time.now() < until)
    {
        co_await sleep_for(m_io, look_interval);
        room = take_room(*held, bytes);
    }
    held->give_back(held_kind::incoming, upstream_pool::receive_bytes);
    co_return room;
}

task<bool> memory_guard::wait_to_deliver(std::uint64_t bytes, instant until)
{
    while (!m_book->fits(held_kind::unread, bytes) && m_time.now() < until)
        co_await sleep_for(m_io, look_interval);
    co_return m_book->fits(held_kind::unread, bytes);
}

void memory_guard::take_level(pressure_level level)
{
    LOG(INFO) << "event=memory_pressure level=" << to_string(level)
              << " held=" << m_book->total() << " bound=" << m_book->bound()
              << kinds_text(*m_book) << " waiting=" << m_book->waiting().size();
    if (level != pressure_level::cutting || std::exchange(m_relieving, true))
        return;
    spawn(m_io, "memory_guard.relieve", relieve());
}

void memory_guard::take_refused(held_kind kind, std::uint64_t asked)
{
    const auto index = static_cast<std::size_t>(kind);
    ++m_no_room.at(index);
    auto& told = m_told.at(index);
    const auto now = m_time.now();
    if (told && now < *told + refused_line_interval)
        return;
    told = now;
    LOG(INFO) << "event=no_room kind=" << to_string(kind) << " asked=" << asked
              << " held=" << m_book->total()
              << " committed=" << m_book->committed()
              << " bound=" << m_book->bound() << kinds_text(*m_book)
              << " waiting=" << m_book->waiting().size();
}

task<> memory_guard::relieve()
{
    while (level() == pressure_level::cutting)
    {
        cut_slowest();
        co_await sleep_for(m_io, look_interval);
    }
    m_relieving = false;
}

void memory_guard::cut_slowest()
{
    const std::vector<held_account*> accounts(m_book->waiting().begin(),
                                              m_book->waiting().end());
    std::vector<unread_answer> answers;
    answers.reserve(accounts.size());
    for (const auto* account : accounts)
        answers.push_back(account->unread(m_time.now()));
    // Nothing ends before the loop runs on: an account lives until the write
    // that waits on it has returned.
    for (const auto index :
         choose_cuts(answers, m_book->total(), m_book->bound()))
    {
        LOG(INFO) << "event=reader_cut held=" << answers[index].m_held
                  << " taken=" << answers[index].m_taken
                  << " waited_ms=" << answers[index].m_waited.count()
                  << " cause=memory held_by_all=" << m_book->total();
        accounts[index]->cut();
    }
}

void memory_guard::write_metrics(std::string& out) const
{
    write_metric(out, "held_bytes", m_book->total());
    write_metric(out, "held_bytes_most", m_book->most());
    write_metric(out, "held_bytes_bound", m_book->bound());
    write_metric(out, "held_bytes_committed", m_book->committed());
    for (std::size_t i = 0; i < held_kinds; ++i)
        write_metric(
            out, std::string("no_room_") + to_string(static_cast<held_kind>(i)),
            m_no_room.at(i));
    write_metric(out, "slow_readers", m_book->slow_readers());
    write_metric(out, "readers_cut", m_book->readers_cut());
    write_metric(out, "bodies_refused_for_memory", m_refused);
}

} // namespace pepperturn
