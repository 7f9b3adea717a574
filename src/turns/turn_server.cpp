// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Rows of each kind in one page of a listing: tens of kilobytes.
constexpr std::size_t list_rows = 2000;
/// Bytes of entries in one reply to a read_message, but for one larger entry.
constexpr std::size_t read_bytes = 1U << 20U;
/// Bytes that wait to be sent, to all VMs together, beyond which this VM reads
/// no more turns from its disk: a fraction of the smallest memory.
constexpr std::size_t max_unsent_bytes = 8U << 20U;

} // namespace

turn_server::turn_server(asio::io_context& io, const clock& time,
                         std::string name, turn_log& log, turn_store& store)
    : m_io(io), m_time(time), m_name(std::move(name)), m_log(log),
      m_store(store), m_acceptor(io),
      m_lists(io, time,
              {[this]() -> const cluster_state& { return m_state; },
               [this] { return m_changes; },
               [this] { return m_own_view.m_epoch; }})
{}

turn_server::~turn_server()
{
    m_writer.join();
}

bool turn_server::listen(const tcp::endpoint& at, std::string& reason)
{
    if (!open_listener(m_acceptor, at, reason))
        return false;
    spawn(m_io, "turn_server.accept", accept_links());
    return true;
}

void turn_server::open(std::uint64_t disk)
{
    m_disk = disk;
    apply_suspects(m_store.list_suspects(m_time.now()));
}

void turn_server::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& row : std::set(m_peers))
        row->m_link->close("stopping");
}

task<> turn_server::accept_links()
{
    while (m_acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await m_acceptor.async_accept(into(ec));
        if (!ec)
        {
            add_link(std::move(socket));
            continue;
        }
        if (ec == asio::error::operation_aborted)
            co_return;
        LOG(WARNING) << "event=accept_failed reason=\"" << ec.message() << '"';
        constexpr milliseconds pause{100};
        co_await sleep_for(m_io, pause);
    }
}

void turn_server::add_link(tcp::socket socket)
{
    const auto from = std::make_shared<peer>();
    from->m_number = ++m_last_number;
    from->m_link = std::make_shared<frame_link>(m_io, std::move(socket));
    m_peers.insert(from);
    from->m_link->start(
        [this, from](frame value) { handle_frame(from, std::move(value)); },
        [this, from](const std::string&) {
            m_peers.erase(from);
            if (m_on_disconnect)
                m_on_disconnect(from->m_number);
        });
}
void turn_server::write_metrics(std::string& out) const
{
    write_metric(out, "connected_vms", m_peers.size());
    write_metric(out, "news_listeners",
                 static_cast<std::uint64_t>(std::count_if(
                     m_peers.begin(), m_peers.end(),
                     [](const auto& row) { return row->m_subscribed; })));
    write_metric(out, "news_bytes", m_update_bytes + m_lists.sent_bytes());
    write_metric(out, "unsent_bytes", unsent_bytes());
    write_metric(out, "lists_under_way", m_lists.active());
    write_metric(out, "replica_set", m_own_view.m_set);
    write_metric(out, "view_epoch", m_own_view.m_epoch);
    write_metric(out, "view_members", m_own_view.m_members.size());
    write_metric(out, "runners", count_runners(m_state));
    write_metric(out, "suspects", m_suspects.size());
    write_metric(out, "refused_reads", m_refused_reads);
    for (const auto& [status, count] : m_reply_counts)
        write_metric(out, std::string("questions_") + to_string(status), count);
    m_syncs.write(out, "sync");
}

void turn_server::on_change(std::function<void(const state_change&)> handler)
{
    m_on_change = std::move(handler);
}

void turn_server::on_request(request_handler handler)
{
    m_on_request = std::move(handler);
}

void turn_server::on_disconnect(std::function<void(std::uint64_t)> handler)
{
    m_on_disconnect = std::move(handler);
}
void turn_server::send_reply(const std::shared_ptr<peer>& from,
                             std::uint64_t call, frame_status status,
                             frame_body body)
{
    from->m_link->send({call, m_own_view.m_epoch, status, std::move(body)});
}

frame_status turn_server::check(const frame& value) const
{
    const auto* begin = std::get_if<begin_message>(&value.m_body);
    const bool writes = std::holds_alternative<append_message>(value.m_body) ||
                        (begin != nullptr && !begin->m_read_only);
    if (!m_disk)
        return frame_status::failed;
    if (value.m_epoch != m_own_view.m_epoch)
        return frame_status::stale;
    const auto* self = find_member(m_own_view, m_name);
    if (self == nullptr || self->m_disk != m_disk)
        return frame_status::not_member;
    // A leaving member reports what it stores, and stores nothing new.
    const bool read_only =
        begin != nullptr && self->m_state == member_state::leaving;
    if (writes && !read_only && !takes_writes(self->m_state))
        return frame_status::not_member;
    if (writes && !m_disk_good)
        return frame_status::failed;
    return frame_status::ok;
}

void turn_server::handle_frame(const std::shared_ptr<peer>& from, frame value)
{
    if (const auto* hello = std::get_if<hello_message>(&value.m_body))
    {
        handle_hello(from, *hello);
        return;
    }
    if (const auto* update = std::get_if<cluster_state>(&value.m_body))
    {
        apply_state(*update);
        return;
    }
    if (const auto* suspects = std::get_if<suspects_message>(&value.m_body))
    {
        apply_suspects(suspects->m_rows);
        if (value.m_call != 0)
            send_reply(from, value.m_call, frame_status::ok,
                       appended_message{});
        return;
    }
    if (m_on_request)
    {
        const auto reply = [this, link = from->m_link,
                            call = value.m_call](frame_body body) {
            // A notification has no reply.
            if (call != 0)
                link->send({call, m_own_view.m_epoch, frame_status::ok,
                            std::move(body)});
        };
        if (m_on_request(from->m_number, value.m_body, reply))
            return;
    }
    if (value.m_call == 0)
        return;
    // Served whatever the requester's view is.
    if (std::holds_alternative<config_request_message>(value.m_body))
    {
        cluster_state config_only;
        config_only.m_config_revision = m_state.m_config_revision;
        config_only.m_config = m_state.m_config;
        send_reply(from, value.m_call, frame_status::ok,
                   std::move(config_only));
        return;
    }
    if (std::holds_alternative<relay_peers_request_message>(value.m_body))
    {
        send_reply(from, value.m_call, frame_status::ok,
                   relay_peers_for(*from));
        return;
    }
    const auto status = value.m_status == frame_status::ok
                            ? check(value)
                            : frame_status::failed;
    ++m_reply_counts[status];
    if (status != frame_status::ok)
    {
        if (status == frame_status::stale && value.m_epoch < m_own_view.m_epoch)
            send_reply(from, 0, frame_status::ok,
                       changed_parts(m_state, {.m_views = {m_own_view.m_set}}));
        send_reply(from, value.m_call, status, appended_message{});
        return;
    }
    if (const auto* begin = std::get_if<begin_message>(&value.m_body))
        handle_begin(from, value.m_call, *begin);
    else if (const auto* append = std::get_if<append_message>(&value.m_body))
    {
        m_store.append(append->m_entry, m_time.now());
        reply_when_synced(from, value.m_call, appended_message{});
    }
    else if (const auto* fetch = std::get_if<fetch_message>(&value.m_body))
        handle_fetch(from, value.m_call, *fetch);
    else if (const auto* list = std::get_if<list_message>(&value.m_body))
        handle_list(from, value.m_call, *list);
    else if (const auto* read = std::get_if<read_message>(&value.m_body))
        handle_read(from, value.m_call, *read);
    else if (const auto* turns = std::get_if<read_turns_message>(&value.m_body))
        handle_read_turns(from, value.m_call, *turns);
    else if (const auto* keys = std::get_if<retained_keys>(&value.m_body))
        send_reply(from, value.m_call, frame_status::ok,
                   m_store.remaining(*keys, m_time.now()));
    else if (std::holds_alternative<copied_message>(value.m_body))
    {
        m_copied_at[from->m_name] = m_own_view.m_epoch;
        send_reply(from, value.m_call, frame_status::ok, appended_message{});
    }
}

void turn_server::handle_begin(const std::shared_ptr<peer>& from,
                               std::uint64_t call, const begin_message& request)
{
    const auto now = m_time.now();
    const auto* self = find_member(m_own_view, m_name);
    if (!request.m_read_only && self != nullptr && takes_writes(self->m_state))
        m_store.append({request.m_retention_ms, request.m_reservation}, now);
    begun_message body;
    body.m_ledger = m_store.ledger_of(request.m_reservation.m_program);
    body.m_parent_found =
        !request.m_parent.empty() && m_store.has_turn(request.m_parent);
    if (request.m_want_history && !is_overloaded())
        body.m_history = m_store.history(request.m_parent,
                                         milliseconds(request.m_retention_ms),
                                         now, begun_page);
    reply_when_synced(from, call, std::move(body));
}

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

std::size_t turn_server::unsent_bytes() const
{
    std::size_t unsent = 0;
    for (const auto& row : m_peers)
        unsent += row->m_link->queued_bytes();
    return unsent;
}

bool turn_server::is_overloaded() const
{
    return unsent_bytes() > max_unsent_bytes;
}

void turn_server::refuse_overloaded(const std::shared_ptr<peer>& from,
                                    std::uint64_t call)
{
    ++m_refused_reads;
    send_reply(from, call, frame_status::failed, appended_message{});
}

void turn_server::handle_fetch(const std::shared_ptr<peer>& from,
                               std::uint64_t call, const fetch_message& request)
{
    if (is_overloaded())
    {
        refuse_overloaded(from, call);
        return;
    }
    auto history = m_store.history(
        request.m_turn, milliseconds(request.m_retention_ms), m_time.now());
    // An empty reply would say that the turn is not stored here.
    if (history.empty() && m_store.has_turn(request.m_turn))
    {
        send_reply(from, call, frame_status::failed, appended_message{});
        return;
    }
    send_reply(from, call, frame_status::ok,
               fetched_message{std::move(history)});
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

task<bool> turn_server::synced()
{
    commit();
    if (!m_writing && !m_log.has_pending())
        co_return m_disk_good;
    struct waited
    {
        bool m_done = false;
        bool m_good = false;
    };
    const auto state = std::make_shared<waited>();
    const auto event = std::make_shared<async_event>(m_io);
    auto& waits = m_log.has_pending() ? m_queued_waits : m_writing_waits;
    waits.emplace_back([state, event](bool good) {
        state->m_done = true;
        state->m_good = good;
        event->notify();
    });
    while (!state->m_done)
        co_await event->wait_until(instant::max());
    co_return state->m_good;
}

void turn_server::reply_when_synced(const std::shared_ptr<peer>& from,
                                    std::uint64_t call, frame_body body)
{
    frame value{call, m_own_view.m_epoch, frame_status::ok, std::move(body)};
    if (m_log.has_pending())
        m_queued_replies.push_back({from->m_link, std::move(value)});
    else if (m_writing)
        m_writing_replies.push_back({from->m_link, std::move(value)});
    else
        from->m_link->send(value);
    commit();
}

void turn_server::commit()
{
    if (m_writing || !m_log.has_pending())
        return;
    m_writing = true;
    m_writing_since = m_time.now();
    m_writing_replies = std::exchange(m_queued_replies, {});
    m_writing_waits = std::exchange(m_queued_waits, {});
    // Syncing blocks, so it runs on a thread of its own.
    asio::post(m_writer, [this, batches = m_log.take_pending()] {
        std::string reason;
        const bool good = m_log.write_batches(batches, reason);
        asio::post(m_io, [this, batches, good, reason] {
            committed(batches, good, reason);
        });
    });
}

void turn_server::committed(const std::vector<log_batch>& batches, bool good,
                            const std::string& reason)
{
    m_writing = false;
    m_syncs.note(std::chrono::duration_cast<milliseconds>(m_time.now() -
                                                          m_writing_since));
    if (good)
        m_log.written(batches);
    else
    {
        m_disk_good = false;
        LOG(ERROR) << "event=disk_failed reason=\"" << reason << '"';
    }
    for (auto& row : std::exchange(m_writing_replies, {}))
    {
        // The reply carries the epoch of its request: a requester whose view
        // has changed since does not count it.
        if (!good)
            row.m_reply.m_status = frame_status::failed;
        row.m_link->send(row.m_reply);
    }
    for (const auto& done : std::exchange(m_writing_waits, {}))
        done(good);
    commit();
}

} // namespace pepperturn
