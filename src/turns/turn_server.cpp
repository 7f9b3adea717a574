// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Bytes that wait to be sent, to all VMs together, beyond which this VM reads
/// no more turns from its disk: a fraction of the smallest memory.
constexpr std::size_t max_unsent_bytes = 8U << 20U;
/// More VMs than connect at the same moment.
constexpr std::size_t max_silent_links = 256;

} // namespace

turn_server::turn_server(asio::io_context& io, const clock& time,
                         std::string name, turn_log& log, turn_store& store)
    : m_io(io), m_time(time), m_name(std::move(name)), m_log(log),
      m_store(store), m_acceptor(io), m_silent(max_silent_links),
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
    m_silent.add(from->m_link);
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
    write_metric(out, "silent_links_closed", m_silent.closed());
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
