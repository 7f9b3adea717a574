// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/held_bytes.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pepperturn {

namespace {

std::size_t index_of(held_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

const char* to_string(held_kind kind)
{
    switch (kind)
    {
    case held_kind::request:
        return "request";
    case held_kind::chain:
        return "chain";
    case held_kind::late_body:
        return "late_body";
    case held_kind::answer:
        return "answer";
    case held_kind::incoming:
        return "incoming";
    case held_kind::unread:
        return "unread";
    }
    return "unknown";
}

void held_book::set_bound(std::uint64_t bound)
{
    m_bound = bound;
    adjust_level();
}

std::uint64_t held_book::of_workspace(const std::string& name) const
{
    const auto found = m_by_workspace.find(name);
    return found == m_by_workspace.end() ? 0 : found->second;
}

std::uint64_t held_book::of_kind(held_kind kind) const
{
    return m_by_kind.at(index_of(kind));
}

bool held_book::fits(held_kind kind, std::uint64_t bytes) const
{
    const auto use =
        kind == held_kind::unread ? room_use::delivery : room_use::work;
    return m_committed + bytes <= room_limit(use, m_bound);
}

bool held_book::commit(held_kind kind, std::uint64_t before,
                       std::uint64_t after)
{
    if (after > before && !fits(kind, after - before))
    {
        if (m_on_refused)
            m_on_refused(kind, after - before);
        return false;
    }
    m_committed += after - before;
    return true;
}

void held_book::change(held_kind kind, const std::string& workspace,
                       std::uint64_t before, std::uint64_t after)
{
    if (before == after)
        return;
    m_total += after - before;
    m_by_kind.at(index_of(kind)) += after - before;
    count_workspace(workspace, before, after);
    m_most = std::max(m_most, m_total);
    adjust_level();
}

void held_book::count_workspace(const std::string& name, std::uint64_t before,
                                std::uint64_t after)
{
    const auto row = m_by_workspace.try_emplace(name, 0).first;
    row->second += after - before;
    if (row->second == 0)
        m_by_workspace.erase(row);
}

void held_book::adjust_level()
{
    const auto level = next_level(m_level, m_total, m_bound);
    if (level == m_level)
        return;
    m_level = level;
    if (m_on_level)
        m_on_level(level);
}

held_account::held_account(std::shared_ptr<held_book> book)
    : m_book(std::move(book)), m_number(++m_book->m_last_number)
{}

held_account::~held_account()
{
    m_book->m_waiting.erase(this);
    end_gathering();
    for (std::size_t i = 0; i < held_kinds; ++i)
    {
        const auto kind = static_cast<held_kind>(i);
        end_reserve(kind);
        give_back(kind, m_held.at(i));
    }
}

std::uint64_t held_account::committed(held_kind kind) const
{
    const auto index = index_of(kind);
    return std::max(m_held.at(index), m_reserved.at(index));
}

void held_account::hold(held_kind kind, std::uint64_t bytes)
{
    const auto before = std::exchange(m_held.at(index_of(kind)), bytes);
    m_book->change(kind, m_workspace, before, bytes);
}

bool held_account::reserve(held_kind kind, std::uint64_t bytes)
{
    const auto index = index_of(kind);
    const auto after = std::max(m_held.at(index), bytes);
    if (!m_book->commit(kind, committed(kind), after))
        return false;
    m_reserved.at(index) = bytes;
    return true;
}

bool held_account::reserve_more(held_kind kind, std::uint64_t bytes)
{
    return reserve(kind, m_held.at(index_of(kind)) + bytes);
}

bool held_account::set(held_kind kind, std::uint64_t bytes)
{
    const auto after = std::max(bytes, m_reserved.at(index_of(kind)));
    if (!m_book->commit(kind, committed(kind), after))
        return false;
    hold(kind, bytes);
    return true;
}

bool held_account::add(held_kind kind, std::uint64_t bytes)
{
    return set(kind, m_held.at(index_of(kind)) + bytes);
}

void held_account::hold_reserved(held_kind kind)
{
    hold(kind, committed(kind));
}

void held_account::give_back(held_kind kind, std::uint64_t bytes)
{
    const auto held = m_held.at(index_of(kind));
    // Less is never refused.
    (void)set(kind, held - std::min(held, bytes));
}

void held_account::end_reserve(held_kind kind)
{
    // Less is never refused.
    (void)reserve(kind, 0);
}

void held_account::set_workspace(const std::string& name)
{
    if (name == m_workspace)
        return;
    m_book->count_workspace(m_workspace, total(), 0);
    m_workspace = name;
    m_book->count_workspace(m_workspace, 0, total());
}

std::uint64_t held_account::total() const
{
    return std::accumulate(m_held.begin(), m_held.end(), std::uint64_t{0});
}

void held_account::begin_gathering()
{
    m_book->m_gathering.emplace(m_number, this);
}

void held_account::end_gathering()
{
    m_book->m_gathering.erase(m_number);
}

void held_account::begin_wait(instant now, std::function<void()> cut)
{
    m_since = now;
    m_last_taken = now;
    m_taken = 0;
    m_was_slow = false;
    m_cut = std::move(cut);
    m_book->m_waiting.insert(this);
}

void held_account::note_taken(std::uint64_t bytes, instant now)
{
    if (is_slow_reader(unread(now)))
        m_was_slow = true;
    m_taken += bytes;
    m_last_taken = now;
}

void held_account::end_wait(instant now)
{
    if (!waits())
        return;
    if (m_was_slow || is_slow_reader(unread(now)))
        ++m_book->m_slow_readers;
    m_cut = nullptr;
    m_book->m_waiting.erase(this);
}

unread_answer held_account::unread(instant now) const
{
    return {total(), m_taken, elapsed(m_since, now),
            elapsed(m_last_taken, now)};
}

void held_account::cut()
{
    if (!waits())
        return;
    ++m_book->m_readers_cut;
    // A copy: the cut may end this account.
    const auto action = m_cut;
    action();
}

} // namespace pepperturn
