// SPDX-License-Identifier: BSL-1.0
// What a storage VM sends to members that copy from it, and takes from those
// that it copies.
#include "pepperturn/turns/turn_server.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Rows of each kind in one page of a listing: tens of kilobytes.
constexpr std::size_t list_rows = 2000;
/// Bytes of entries in one reply to a read_message, but for one larger entry.
constexpr std::size_t read_bytes = 1U << 20U;

} // namespace

std::shared_ptr<const turn_server::holdings>
turn_server::list_holdings(std::uint64_t outdated)
{
    // Taken under the current epoch: everything acknowledged before it is
    // included, and later writes reach a quorum of this view themselves.
    auto snapshot = m_holdings.lock();
    if (snapshot && snapshot->m_epoch == m_own_view.m_epoch &&
        snapshot->m_identity != outdated)
        return snapshot;
    snapshot = std::make_shared<const holdings>(holdings{
        ++m_last_listing, m_own_view.m_epoch, m_store.list_turns(m_time.now()),
        m_store.list_reservations(m_time.now())});
    m_holdings = snapshot;
    return snapshot;
}

std::shared_ptr<const turn_server::holdings>
turn_server::listing_for(peer& from, const list_message& request)
{
    if (request.m_from == 0)
    {
        // Whoever begins anew has reason to: some of the rows may be gone.
        from.m_holdings = list_holdings(from.m_last_listing);
        from.m_last_listing = from.m_holdings->m_identity;
        return from.m_holdings;
    }
    const auto& known = from.m_holdings;
    const bool same =
        known && known->m_epoch == m_own_view.m_epoch &&
        (request.m_listing == 0 || request.m_listing == known->m_identity);
    return same ? known : nullptr;
}

void turn_server::handle_list(const std::shared_ptr<peer>& from,
                              std::uint64_t call, const list_message& request)
{
    const bool gathered =
        !request.m_gathered || m_gathered_at == m_own_view.m_epoch;
    const auto listing = gathered ? listing_for(*from, request) : nullptr;
    if (!listing)
    {
        LOG_IF(WARNING, gathered)
            << "event=listing_unknown vm=" << from->m_name
            << " listing=" << request.m_listing << " from=" << request.m_from;
        send_reply(from, call, frame_status::failed, listed_message{});
        return;
    }
    const auto page = [&](const auto& rows, auto& out) {
        const auto begin = std::min<std::size_t>(request.m_from, rows.size());
        const auto end = std::min(begin + list_rows, rows.size());
        out.assign(rows.begin() + static_cast<std::ptrdiff_t>(begin),
                   rows.begin() + static_cast<std::ptrdiff_t>(end));
    };
    listed_message body;
    body.m_listing = listing->m_identity;
    page(listing->m_turns, body.m_turns);
    page(listing->m_reservations, body.m_reservations);
    body.m_turn_count = static_cast<std::uint32_t>(listing->m_turns.size());
    for (const auto& row : listing->m_turns)
        body.m_turn_bytes += row.m_bytes;
    body.m_next = request.m_from + list_rows;
    body.m_more = body.m_next < std::max(listing->m_turns.size(),
                                         listing->m_reservations.size());
    if (!body.m_more)
        from->m_holdings.reset();
    send_reply(from, call, frame_status::ok, std::move(body));
}

void turn_server::handle_read(const std::shared_ptr<peer>& from,
                              std::uint64_t call, const read_message& request)
{
    if (is_overloaded())
    {
        refuse_overloaded(from, call);
        return;
    }
    entries_message body;
    std::size_t total = 0;
    for (const auto position : request.m_positions)
    {
        auto bytes = m_log.read(unpack(position));
        if (!bytes)
        {
            LOG(WARNING) << "event=entry_unreadable position=" << position;
            break;
        }
        total += bytes->size();
        if (total > read_bytes && !body.m_entries.empty())
            break;
        body.m_entries.push_back(std::move(*bytes));
    }
    send_reply(from, call, frame_status::ok, std::move(body));
}

void turn_server::handle_read_turns(const std::shared_ptr<peer>& from,
                                    std::uint64_t call,
                                    const read_turns_message& request)
{
    if (is_overloaded())
    {
        refuse_overloaded(from, call);
        return;
    }
    const auto now = m_time.now();
    turn_entries_message body;
    std::size_t total = 0;
    std::size_t unreadable = 0;
    for (const auto& key : request.m_keys)
    {
        auto entry = m_store.read_entry(key, now);
        total += entry.m_bytes.size();
        if (total > read_bytes && !body.m_entries.empty())
            break;
        unreadable += entry.m_state == turn_entry_state::unreadable ? 1 : 0;
        body.m_entries.push_back(std::move(entry));
    }
    LOG_IF(ERROR, unreadable > 0)
        << "event=entries_unreadable vm=" << from->m_name
        << " turns=" << unreadable;
    send_reply(from, call, frame_status::ok, std::move(body));
}

void turn_server::mark_gathered(std::uint64_t epoch)
{
    m_gathered_at = epoch;
    // An earlier listing lacks what was gathered.
    m_holdings.reset();
}

std::set<std::string> turn_server::copied_by(std::uint64_t epoch) const
{
    std::set<std::string> out;
    for (const auto& [name, at] : m_copied_at)
    {
        if (at == epoch)
            out.insert(name);
    }
    return out;
}

void turn_server::add_reservations(const std::vector<kept_reservation>& rows)
{
    for (const auto& kept : rows)
        m_store.append({kept.m_retention_ms, kept.m_row}, m_time.now(),
                       milliseconds(kept.m_remaining_ms));
}

bool turn_server::add_encoded(const std::vector<copied_entry>& entries)
{
    std::size_t refused = 0;
    std::string reason;
    for (const auto& entry : entries)
        refused +=
            m_store.append_encoded(entry.m_bytes, m_time.now(),
                                   entry.m_remaining, reason, entry.m_key)
                ? 0
                : 1;
    LOG_IF(ERROR, refused > 0) << "event=copy_unreadable turns=" << refused
                               << " reason=\"" << reason << '"';
    return refused == 0;
}

} // namespace pepperturn
