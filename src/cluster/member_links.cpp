// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/member_links.hpp"

#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A heartbeat that reports contact with the store within this time is treated
/// as current.
constexpr milliseconds store_fresh_limit{2500};
/// How often it is checked whether a connection is still needed.
constexpr milliseconds unused_check{1000};
/// Reason given when such a connection is closed.
constexpr const char* unused_reason = "connection no longer needed";
/// A connection that ends sooner counts as a failed attempt.
constexpr milliseconds short_connection{500};

} // namespace

member_links::member_links(asio::io_context& io, const clock& time,
                           std::string self_name)
    : m_io(io), m_time(time), m_self_name(std::move(self_name)),
      m_isolated_since(time.now())
{}

void member_links::on_state(
    std::function<void(const std::string&, cluster_state&&)> handler)
{
    m_on_state = std::move(handler);
}

void member_links::on_suspects(
    std::function<void(const std::vector<suspect>&)> handler)
{
    m_on_suspects = std::move(handler);
}

void member_links::add_link(const std::string& name, const std::string& address)
{
    auto added = std::make_shared<member_link>(m_io);
    added->m_name = name;
    added->m_address = address;
    // The liveness timeout starts now.
    added->m_last_received = m_time.now();
    m_links[name] = added;
    spawn(m_io, "member_links.connect", keep_connected(added));
}

void member_links::connect_seeds(const std::vector<std::string>& addresses)
{
    if (m_members_known)
        return;
    for (const auto& address : addresses)
        add_link(address, address);
}

void member_links::set_members(const std::vector<member>& members)
{
    m_members_known = true;
    auto before = std::exchange(m_links, {});
    for (const auto& row : members)
    {
        if (row.m_name == m_self_name)
            continue;
        if (auto known = extract_link(before, row))
            m_links[row.m_name] = std::move(known);
        else
            add_link(row.m_name, row.m_address);
    }
    for (const auto& [name, row] : before)
    {
        row->m_removed = true;
        row->m_wake.notify();
        fail_queued(*row);
        if (m_relay_client != nullptr)
            m_relay_client->end_relaying(name);
        if (const auto link = row->m_link)
            link->close("no longer a member");
    }
    refresh_hellos();
}

std::shared_ptr<member_links::member_link> member_links::extract_link(
    std::map<std::string, std::shared_ptr<member_link>>& rows,
    const member& target)
{
    // A seed is known by its address until the members are known; its
    // connection is then kept under its name.
    for (const auto& key : {target.m_name, target.m_address})
    {
        const auto found = rows.find(key);
        if (found == rows.end() || found->second->m_address != target.m_address)
            continue;
        auto out = std::move(found->second);
        rows.erase(found);
        out->m_name = target.m_name;
        return out;
    }
    return nullptr;
}

void member_links::subscribe(std::vector<std::string> sources)
{
    if (m_sources == sources)
        return;
    m_sources = std::move(sources);
    // Seeds have no names yet; set_members() assigns them.
    if (m_members_known)
        refresh_hellos();
}

void member_links::refresh_hellos()
{
    wake_needed();
    for (const auto& [name, row] : m_links)
    {
        const bool up_to_date = row->m_sent_subscribed == subscribed_to(name) &&
                                row->m_sent_seeks == !m_members_known;
        if (row->m_link && !up_to_date)
            send_hello(*row);
    }
}

bool member_links::subscribed_to(const std::string& name) const
{
    return !m_sources || std::find(m_sources->begin(), m_sources->end(),
                                   name) != m_sources->end();
}

void member_links::send_hello(member_link& row)
{
    row.m_sent_subscribed = subscribed_to(row.m_name);
    row.m_sent_seeks = !m_members_known;
    row.m_link->send({0, 0, frame_status::ok,
                      hello_message{m_self_name, row.m_sent_subscribed,
                                    m_relay_address, m_availability_zone,
                                    m_known_runners ? m_known_runners() : 0,
                                    !m_members_known, true}});
}

void member_links::stop()
{
    m_stopped = true;
    set_members({});
}

dial_times member_links::choose_times(unsigned failures) const
{
    return choose_dial_times(
        {elapsed(m_isolated_since, m_time.now()), failures});
}

task<> member_links::keep_connected(std::shared_ptr<member_link> row)
{
    unsigned failures = 0;
    while (!row->m_removed && !m_stopped)
    {
        if (!needed(*row))
        {
            failures = 0;
            co_await row->m_wake.wait_until(instant::max());
            continue;
        }
        std::string reason;
        const auto times = choose_times(failures);
        auto link = co_await connect_frame_link(m_io, row->m_address,
                                                times.m_timeout, reason);
        if (row->m_removed || m_stopped)
            co_return;
        row->m_failed = !link;
        if (!link)
        {
            row->m_failed_at = m_time.now();
            fail_queued(*row);
            if (failures++ == 0)
                LOG(WARNING) << "event=storage_unreachable vm=" << row->m_name
                             << " address=" << row->m_address << " reason=\""
                             << reason << '"';
            co_await sleep_for(m_io, choose_times(failures).m_pause);
            continue;
        }
        const auto connected_at = m_time.now();
        const auto closed_reason = co_await serve_link(row, link);
        // What accepts connections and ends them at once is not up.
        if (elapsed(connected_at, m_time.now()) >= short_connection ||
            closed_reason == unused_reason)
            failures = 0;
        else
            ++failures;
        if (closed_reason == unused_reason)
            LOG(INFO) << "event=storage_released vm=" << row->m_name;
        else
            LOG(WARNING) << "event=storage_lost vm=" << row->m_name
                         << " reason=\"" << closed_reason << '"';
        if (failures > 0)
            co_await sleep_for(m_io, choose_times(failures).m_pause);
    }
}

task<std::string> member_links::serve_link(std::shared_ptr<member_link> row,
                                           std::shared_ptr<frame_link> link)
{
    async_event closed(m_io);
    std::string reason;
    row->m_link = link;
    row->m_number = ++m_last_number;
    record_received(row->m_name, *row);
    link->start(
        [this, row](frame value) { handle_frame(*row, std::move(value)); },
        [&closed, &reason](const std::string& why) {
            reason = why;
            closed.notify();
        });
    send_hello(*row);
    send_queued(*row);
    LOG(INFO) << "event=storage_connected vm=" << row->m_name
              << " address=" << row->m_address;
    while (link->open())
    {
        co_await closed.wait_until(m_time.now() + unused_check);
        if (link->open() && !needed(*row) && row->m_calls.empty())
            link->close(unused_reason);
    }
    row->m_link = nullptr;
    row->m_failed = reason != unused_reason;
    row->m_failed_at = m_time.now();
    end_calls(row->m_name, *row);
    update_isolation();
    co_return reason;
}

void member_links::update_isolation()
{
    const bool isolated =
        std::none_of(m_links.begin(), m_links.end(), [](const auto& row) {
            return row.second->m_link != nullptr;
        });
    if (isolated)
        m_isolated_since = m_time.now();
}

void member_links::handle_frame(member_link& row, frame value)
{
    record_received(row.m_name, row);
    if (value.m_call != 0)
    {
        row.m_last_reply = row.m_last_received;
        const auto found = row.m_calls.find(value.m_call);
        if (found == row.m_calls.end())
            return;
        const auto done = std::move(found->second.m_done);
        row.m_calls.erase(found);
        done(std::move(value));
        return;
    }
    if (auto* state = std::get_if<cluster_state>(&value.m_body))
    {
        // Passed by reference: the handler may rename the link while it learns
        // the sender's name.
        if (m_on_state)
            m_on_state(row.m_name, std::move(*state));
    }
    else if (const auto* heartbeat =
                 std::get_if<heartbeat_message>(&value.m_body))
        handle_heartbeat(row, *heartbeat);
    else if (const auto* suspects =
                 std::get_if<suspects_message>(&value.m_body))
    {
        if (m_on_suspects)
            m_on_suspects(suspects->m_rows);
    }
}

void member_links::handle_heartbeat(member_link& row,
                                    const heartbeat_message& heartbeat)
{
    row.m_frame_version = heartbeat.m_frame_version;
    const milliseconds age{heartbeat.m_store_age_ms};
    if (age > store_fresh_limit)
        return;
    const auto seen_at = m_time.now() - age;
    m_store_last_seen = std::max(m_store_last_seen, seen_at);
    if (!heartbeat.m_watches)
        return;
    row.m_last_watched = std::max(row.m_last_watched, seen_at);
    m_store_last_watched = std::max(m_store_last_watched, seen_at);
}

std::uint16_t member_links::frame_version(const std::string& name) const
{
    const auto found = m_links.find(name);
    return found == m_links.end() ? 0 : found->second->m_frame_version;
}

bool member_links::watches_store(const std::string& name) const
{
    const auto found = m_links.find(name);
    return found != m_links.end() && found->second->m_link &&
           m_time.now() - found->second->m_last_watched <= store_fresh_limit;
}

void member_links::record_received(const std::string& name, member_link& row)
{
    row.m_last_received = m_time.now();
    row.m_unresponsive = false;
    if (m_relay_client != nullptr)
        m_relay_client->end_relaying(name);
}

void member_links::advertise_relay(std::string relay_address,
                                   std::string availability_zone)
{
    m_relay_address = std::move(relay_address);
    m_availability_zone = std::move(availability_zone);
}

void member_links::call(const std::string& name, std::uint64_t epoch,
                        frame_body body, reply_handler done,
                        milliseconds timeout)
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
    {
        done(std::nullopt);
        return;
    }
    const auto row = found->second;
    row->m_last_used = m_time.now();
    const bool may_relay = m_relay_client != nullptr && may_be_relayed(body);
    frame request_frame{0, epoch, frame_status::ok, std::move(body)};
    if (may_relay && !connectable(*row) &&
        !is_reachable(facts_of(*row), m_time.now()) &&
        m_relay_client->may_reach(name))
    {
        m_relay_client->send_request(name, reason_of(*row), request_frame,
                                     std::move(done),
                                     direct_timeout_for(timeout));
        return;
    }
    direct_request pending{std::move(done), m_time.now(),
                           direct_timeout_for(timeout), std::nullopt, false};
    if (may_relay)
        pending.m_frame.emplace();
    send_on_link(*row, std::move(request_frame), std::move(pending));
}

void member_links::send_on_link(member_link& row, frame request_frame,
                                direct_request pending)
{
    if (connectable(row))
    {
        enqueue(row, std::move(request_frame), std::move(pending));
        return;
    }
    if (!row.m_link)
    {
        pending.m_done(std::nullopt);
        return;
    }
    ++m_direct_requests;
    const bool watched = pending.m_frame || pending.m_direct_only;
    request_frame.m_call = m_next_call++;
    const auto call = request_frame.m_call;
    row.m_calls[call] = std::move(pending);
    row.m_link->send(request_frame);
    if (row.m_calls[call].m_frame)
        row.m_calls[call].m_frame = std::move(request_frame);
    if (watched && !std::exchange(m_monitoring, true))
        spawn(m_io, "member_links.watch", monitor_links());
}

task<std::optional<frame>> member_links::request(std::string name,
                                                 std::uint64_t epoch,
                                                 frame_body body,
                                                 instant deadline)
{
    return await_reply(std::move(name), epoch, std::move(body), deadline,
                       false);
}

task<std::optional<frame>> member_links::request_directly(std::string name,
                                                          std::uint64_t epoch,
                                                          frame_body body,
                                                          instant deadline)
{
    return await_reply(std::move(name), epoch, std::move(body), deadline, true);
}

task<std::optional<frame>>
member_links::await_reply(std::string name, std::uint64_t epoch,
                          frame_body body, instant deadline, bool direct_only)
{
    struct pending_reply
    {
        explicit pending_reply(asio::io_context& io) : m_changed(io) {}
        async_event m_changed;
        bool m_done = false;
        std::optional<frame> m_reply;
    };
    const auto state = std::make_shared<pending_reply>(m_io);
    const auto take = [state](std::optional<frame> reply) {
        state->m_done = true;
        state->m_reply = std::move(reply);
        state->m_changed.notify();
    };
    const auto found = m_links.find(name);
    if (!direct_only)
        call(name, epoch, std::move(body), take,
             std::chrono::duration_cast<milliseconds>(deadline - m_time.now()));
    else if (found != m_links.end())
        send_on_link(
            *found->second, {0, epoch, frame_status::ok, std::move(body)},
            {take, m_time.now(), direct_reply_timeout, std::nullopt, true});
    else
        co_return std::nullopt;
    while (!state->m_done && m_time.now() < deadline)
        co_await state->m_changed.wait_until(deadline);
    co_return std::move(state->m_reply);
}

void member_links::notify(const std::string& name, frame_body body)
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
        return;
    auto& row = *found->second;
    row.m_last_used = m_time.now();
    frame notification{0, 0, frame_status::ok, std::move(body)};
    if (connectable(row))
        enqueue(row, std::move(notification), std::nullopt);
    else if (m_relay_client != nullptr &&
             !is_reachable(facts_of(row), m_time.now()) &&
             may_be_relayed(notification.m_body) &&
             m_relay_client->may_reach(name))
        m_relay_client->send_request(
            name, reason_of(row), notification,
            [](const std::optional<frame>&) {}, direct_reply_timeout);
    else if (row.m_link)
        row.m_link->send(notification);
}

void member_links::send_view(const std::string& name, const cluster_view& view)
{
    const auto found = m_links.find(name);
    if (found == m_links.end() || !found->second->m_link)
        return;
    cluster_state update;
    update.m_views = {view};
    found->second->m_link->send(
        {0, view.m_epoch, frame_status::ok, std::move(update)});
}

bool member_links::connected(const std::string& name) const
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
        return false;
    return found->second->m_link != nullptr || connectable(*found->second) ||
           (m_relay_client != nullptr &&
            m_time.now() - m_relay_client->last_seen(name) < liveness_timeout);
}

bool member_links::reachable_directly(const std::string& name) const
{
    const auto found = m_links.find(name);
    return found != m_links.end() &&
           is_reachable(facts_of(*found->second), m_time.now());
}

std::uint64_t member_links::live_connection(const std::string& name) const
{
    return reachable_directly(name) ? m_links.at(name)->m_number : 0;
}

bool member_links::failed(const std::string& name) const
{
    const auto found = m_links.find(name);
    return found != m_links.end() && found->second->m_failed;
}

bool member_links::may_send_updates(const std::string& name) const
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
        return true;
    const auto& row = *found->second;
    const bool silent = row.m_link != nullptr &&
                        m_time.now() - row.m_last_received >= liveness_timeout;
    return !row.m_failed && !silent;
}

instant member_links::last_seen(const std::string& name) const
{
    const auto found = m_links.find(name);
    if (found == m_links.end())
        return {};
    const auto relayed =
        m_relay_client == nullptr ? instant{} : m_relay_client->last_seen(name);
    return std::max(found->second->m_last_received, relayed);
}

} // namespace pepperturn
