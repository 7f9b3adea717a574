// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/caller_table.hpp"

#include "pepperturn/base/latency_histogram.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Objects, timers and coroutines of a connection without a request, and the
/// allocator's gaps between them.
constexpr std::uint64_t connection_bytes = 6U << 10U;
/// Memory is freed in shares of its bound, so that a crowd that fills it again
/// and again does not have all requests compared for each piece it sends.
constexpr std::uint64_t freed_share = 16;
/// A crowd has connections closed often; limits their log lines.
constexpr milliseconds log_interval{1000};

std::size_t index_of(caller_phase phase)
{
    return static_cast<std::size_t>(phase);
}

} // namespace

caller_slot::caller_slot(caller_table& table, std::string address)
    : m_table(table), m_address(std::move(address)), m_own(table.m_budget)
{
    m_table.list(*this, caller_phase::silent);
}

caller_slot::~caller_slot()
{
    if (m_listed)
        m_table.unlist(*this);
}

void caller_slot::enter(caller_phase phase,
                        std::shared_ptr<const buffer_account> account)
{
    m_account = std::move(account);
    if (!m_listed || phase == m_phase)
        return;
    m_table.unlist(*this);
    m_table.list(*this, phase);
}

std::uint64_t caller_slot::held_bytes() const
{
    return m_account ? m_account->buffered(buffer_kind::head) +
                           m_account->buffered(buffer_kind::request)
                     : 0;
}

caller_table::caller_table(const clock& time,
                           std::shared_ptr<buffer_budget> budget)
    : m_time(time), m_budget(std::move(budget))
{}

caller_table::~caller_table()
{
    // Connections whose coroutines have not ended may outlive the table.
    for (const auto& rows : m_slots)
    {
        for (auto* each : rows)
            each->m_listed = false;
    }
}

void caller_table::set_limits(std::size_t connections, std::size_t per_address)
{
    m_limit = connections;
    m_per_address = per_address;
}

std::size_t caller_table::size() const
{
    std::size_t out = 0;
    for (const auto& each : m_slots)
        out += each.size();
    return out;
}

bool caller_table::has_place(const std::string& address) const
{
    const auto of_address = m_addresses.find(address);
    return m_per_address == 0 || of_address == m_addresses.end() ||
           of_address->second < m_per_address;
}

std::unique_ptr<caller_slot> caller_table::admit(std::string address)
{
    bool room = has_place(address);
    while (room && size() >= m_limit)
        room = close_unused() || close_incomplete();
    while (room && !m_budget->fits(buffer_kind::connection, connection_bytes))
        room = give_up_incomplete(nullptr, connection_bytes) || close_unused();
    if (!room)
    {
        ++m_refused;
        log_closed("no_place");
        return nullptr;
    }
    auto out = std::make_unique<caller_slot>(*this, std::move(address));
    // Never refused: it was found to fit.
    (void)out->m_own.set(buffer_kind::connection, connection_bytes);
    m_most = std::max(m_most, size());
    return out;
}

bool caller_table::make_room(const caller_slot& slot, buffer_kind kind,
                             std::uint64_t bytes)
{
    while (!m_budget->fits(kind, bytes))
    {
        if (give_up_incomplete(&slot, bytes))
            continue;
        // Connections without a request hold nothing of the other kinds.
        if (!is_intake(kind) || !slot.m_listed || !close_unused())
            return false;
    }
    return true;
}

void caller_table::list(caller_slot& slot, caller_phase phase)
{
    auto& into = m_slots.at(index_of(phase));
    into.push_back(&slot);
    slot.m_position = std::prev(into.end());
    slot.m_phase = phase;
    slot.m_since = m_time.now();
    slot.m_listed = true;
    if (counts_addresses())
        ++m_addresses[slot.m_address];
}

void caller_table::unlist(caller_slot& slot)
{
    slot.m_listed = false;
    m_slots.at(index_of(slot.m_phase)).erase(slot.m_position);
    const auto row = m_addresses.find(slot.m_address);
    if (row != m_addresses.end() && --row->second == 0)
        m_addresses.erase(row);
}

bool caller_table::close_unused()
{
    for (const auto phase :
         {caller_phase::refused, caller_phase::silent, caller_phase::resting})
    {
        const auto& rows = m_slots.at(index_of(phase));
        if (rows.empty())
            continue;
        close(*rows.front(), "unused");
        return true;
    }
    return false;
}

bool caller_table::close_incomplete()
{
    const auto chosen = incomplete_to_free(1);
    if (chosen.empty())
        return false;
    close(*chosen.front(), "incomplete");
    return true;
}

void caller_table::close(caller_slot& slot, const char* cause)
{
    unlist(slot);
    // A decrease is never refused.
    (void)slot.m_own.set(buffer_kind::connection, 0);
    ++m_closed;
    log_closed(cause);
    slot.m_actions.m_close();
}

std::vector<caller_slot*>
caller_table::incomplete_to_free(std::uint64_t bytes) const
{
    const auto& rows = m_slots.at(index_of(caller_phase::receiving));
    const std::vector<caller_slot*> candidates(rows.begin(), rows.end());
    std::vector<incomplete_request> requests;
    requests.reserve(candidates.size());
    for (const auto* each : candidates)
        requests.push_back(
            {each->held_bytes(), elapsed(each->m_since, m_time.now())});
    std::vector<caller_slot*> out;
    for (const auto index : choose_incomplete(requests, bytes))
        out.push_back(candidates[index]);
    return out;
}

bool caller_table::give_up_incomplete(const caller_slot* slot,
                                      std::uint64_t bytes)
{
    const auto share = m_budget->intake_bound() / freed_share;
    bool freed = false;
    for (auto* chosen : incomplete_to_free(std::max(bytes, share)))
    {
        if (chosen == slot)
            return freed;
        ++m_given_up;
        log_closed("incomplete");
        chosen->m_actions.m_give_up();
        chosen->enter(caller_phase::refused, nullptr);
        freed = true;
    }
    return freed;
}

void caller_table::log_closed(const char* cause)
{
    const auto now = m_time.now();
    if (m_last_logged && now < *m_last_logged + log_interval)
        return;
    m_last_logged = now;
    LOG(INFO) << "event=callers_cut cause=" << cause
              << " connections=" << size() << " limit=" << m_limit
              << " intake=" << m_budget->intake()
              << " intake_bound=" << m_budget->intake_bound()
              << " closed=" << m_closed << " given_up=" << m_given_up
              << " refused=" << m_refused;
}

void caller_table::write_metrics(std::string& out) const
{
    write_metric(out, "caller_connections", size());
    write_metric(out, "caller_connections_most", m_most);
    write_metric(out, "caller_connections_limit", m_limit);
    write_metric(out, "intake_bytes", m_budget->intake());
    write_metric(out, "intake_bytes_bound", m_budget->intake_bound());
    write_metric(out, "callers_closed", m_closed);
    write_metric(out, "requests_given_up_incomplete", m_given_up);
    write_metric(out, "callers_refused", m_refused);
}

} // namespace pepperturn
