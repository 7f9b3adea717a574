// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/buffer_budget.hpp"

#include <algorithm>
#include <utility>

namespace pepperturn {

namespace {

std::size_t index_of(buffer_kind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

const char* to_string(buffer_kind kind)
{
    switch (kind)
    {
    case buffer_kind::request:
        return "request";
    case buffer_kind::history:
        return "chain";
    case buffer_kind::unsent_body:
        return "late_body";
    case buffer_kind::response:
        return "answer";
    case buffer_kind::receive_buffer:
        return "incoming";
    case buffer_kind::undelivered:
        return "unread";
    case buffer_kind::connection:
        return "connection";
    case buffer_kind::head:
        return "head";
    }
    return "unknown";
}

void buffer_budget::set_bound(std::uint64_t bound)
{
    m_bound = bound;
    update_level();
}

std::uint64_t buffer_budget::workspace_bytes(const std::string& name) const
{
    const auto found = m_by_workspace.find(name);
    return found == m_by_workspace.end() ? 0 : found->second;
}

std::uint64_t buffer_budget::kind_bytes(buffer_kind kind) const
{
    return m_by_kind.at(index_of(kind));
}

bool buffer_budget::fits(buffer_kind kind, std::uint64_t bytes) const
{
    if (is_intake(kind))
        return m_intake + bytes <= m_intake_bound;
    const auto use = kind == buffer_kind::undelivered ? memory_use::delivery
                                                      : memory_use::work;
    return m_committed + bytes <= reservation_limit(use, m_bound);
}

bool buffer_budget::commit(buffer_kind kind, std::uint64_t before,
                           std::uint64_t after)
{
    if (after > before && !fits(kind, after - before))
    {
        if (m_on_refused)
            m_on_refused(kind, after - before);
        return false;
    }
    (is_intake(kind) ? m_intake : m_committed) += after - before;
    return true;
}

void buffer_budget::change(buffer_kind kind, const std::string& workspace,
                           std::uint64_t before, std::uint64_t after)
{
    if (before == after)
        return;
    m_by_kind.at(index_of(kind)) += after - before;
    if (!is_intake(kind))
        m_total += after - before;
    m_recent_peak = std::max(m_recent_peak, all());
    if (is_intake(kind))
        return;
    count_workspace(workspace, before, after);
    m_peak = std::max(m_peak, m_total);
    update_level();
}

void buffer_budget::count_workspace(const std::string& name,
                                    std::uint64_t before, std::uint64_t after)
{
    const auto row = m_by_workspace.try_emplace(name, 0).first;
    row->second += after - before;
    if (row->second == 0)
        m_by_workspace.erase(row);
}

void buffer_budget::update_level()
{
    const auto level = next_level(m_level, m_total, m_bound);
    if (level == m_level)
        return;
    m_level = level;
    if (m_on_level)
        m_on_level(level);
}

buffer_account::buffer_account(std::shared_ptr<buffer_budget> budget)
    : m_budget(std::move(budget)), m_sequence(++m_budget->m_last_sequence)
{}

buffer_account::~buffer_account()
{
    m_budget->m_waiting_accounts.erase(this);
    clear_blocked();
    for (std::size_t i = 0; i < buffer_kind_count; ++i)
    {
        const auto kind = static_cast<buffer_kind>(i);
        end_reservation(kind);
        release(kind, m_buffered.at(i));
    }
}

std::uint64_t buffer_account::committed(buffer_kind kind) const
{
    const auto index = index_of(kind);
    return std::max(m_buffered.at(index), m_reserved.at(index));
}

void buffer_account::set_buffered(buffer_kind kind, std::uint64_t bytes)
{
    const auto before = std::exchange(m_buffered.at(index_of(kind)), bytes);
    m_budget->change(kind, m_workspace, before, bytes);
}

bool buffer_account::reserve(buffer_kind kind, std::uint64_t bytes)
{
    const auto index = index_of(kind);
    const auto after = std::max(m_buffered.at(index), bytes);
    if (!m_budget->commit(kind, committed(kind), after))
        return false;
    m_reserved.at(index) = bytes;
    return true;
}

bool buffer_account::reserve_more(buffer_kind kind, std::uint64_t bytes)
{
    return reserve(kind, m_buffered.at(index_of(kind)) + bytes);
}

bool buffer_account::set(buffer_kind kind, std::uint64_t bytes)
{
    const auto after = std::max(bytes, m_reserved.at(index_of(kind)));
    if (!m_budget->commit(kind, committed(kind), after))
        return false;
    set_buffered(kind, bytes);
    return true;
}

bool buffer_account::add(buffer_kind kind, std::uint64_t bytes)
{
    return set(kind, m_buffered.at(index_of(kind)) + bytes);
}

void buffer_account::use_reservation(buffer_kind kind)
{
    set_buffered(kind, committed(kind));
}

void buffer_account::release(buffer_kind kind, std::uint64_t bytes)
{
    const auto buffered = m_buffered.at(index_of(kind));
    // A decrease is never refused.
    (void)set(kind, buffered - std::min(buffered, bytes));
}

void buffer_account::end_reservation(buffer_kind kind)
{
    // A decrease is never refused.
    (void)reserve(kind, 0);
}

void buffer_account::set_workspace(const std::string& name)
{
    if (name == m_workspace)
        return;
    m_budget->count_workspace(m_workspace, total(), 0);
    m_workspace = name;
    m_budget->count_workspace(m_workspace, 0, total());
}

std::uint64_t buffer_account::total() const
{
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < buffer_kind_count; ++i)
        out += is_intake(static_cast<buffer_kind>(i)) ? 0 : m_buffered.at(i);
    return out;
}

void buffer_account::mark_blocked()
{
    m_budget->m_blocked.emplace(m_sequence, this);
}

void buffer_account::clear_blocked()
{
    m_budget->m_blocked.erase(m_sequence);
}

void buffer_account::begin_reader_wait(instant now,
                                       std::function<void()> disconnect)
{
    m_wait_start = now;
    m_last_read = now;
    m_read_bytes = 0;
    m_was_slow = false;
    m_disconnect = std::move(disconnect);
    m_budget->m_waiting_accounts.insert(this);
}

void buffer_account::record_read(std::uint64_t bytes, instant now)
{
    if (is_slow_reader(unread(now)))
        m_was_slow = true;
    m_read_bytes += bytes;
    m_last_read = now;
}

void buffer_account::end_reader_wait(instant now)
{
    if (!waits_for_reader())
        return;
    if (m_was_slow || is_slow_reader(unread(now)))
        ++m_budget->m_slow_readers;
    m_disconnect = nullptr;
    m_budget->m_waiting_accounts.erase(this);
}

unread_response buffer_account::unread(instant now) const
{
    return {total(), m_read_bytes, elapsed(m_wait_start, now),
            elapsed(m_last_read, now)};
}

void buffer_account::disconnect()
{
    if (!waits_for_reader())
        return;
    ++m_budget->m_disconnected_readers;
    // A copy: disconnecting may destroy this account.
    const auto action = m_disconnect;
    action();
}

} // namespace pepperturn
