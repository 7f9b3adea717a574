// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/relay_server.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Reply timeout: as long as the requester waits.
constexpr milliseconds reply_timeout{1500};
/// Connections beyond this number are closed: several times the requesters that
/// choose one VM as their peer.
constexpr std::size_t max_links = 64;
/// More peers than connect at the same moment; those that speak have the rest.
constexpr std::size_t max_silent_links = 16;
/// At most one log line for violations in this time: a faulty peer reconnects
/// at once.
constexpr milliseconds log_interval{1000};
constexpr milliseconds accept_pause{100};
constexpr std::size_t length_bytes = 4;

} // namespace

relay_server::relay_server(asio::io_context& io, const clock& time, hooks what,
                           const relay_limits& limits)
    : m_io(io), m_time(time), m_hooks(std::move(what)), m_limits(limits),
      m_acceptor(io), m_silent(max_silent_links),
      m_lists(io, time, {m_hooks.m_state, m_hooks.m_changes, [] { return 0; }})
{}

bool relay_server::listen(const tcp::endpoint& at, std::string& reason)
{
    if (!open_listener(m_acceptor, at, reason))
        return false;
    spawn(m_io, "relay_server.accept", accept_links());
    return true;
}

void relay_server::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& link : std::set(m_links))
        link->close("stopping");
}

task<> relay_server::accept_links()
{
    while (m_acceptor.is_open())
    {
        error_code ec;
        auto socket = co_await m_acceptor.async_accept(into(ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            co_await sleep_for(m_io, accept_pause);
        else if (m_links.size() < max_links)
            add_link(std::move(socket));
    }
}

void relay_server::add_link(tcp::socket socket)
{
    const auto link = std::make_shared<frame_link>(m_io, std::move(socket),
                                                   max_relayed_request_bytes +
                                                       relay_frame_overhead);
    m_links.insert(link);
    m_silent.add(link);
    const std::weak_ptr<frame_link> weak = link;
    link->start(
        [this, weak](frame value) {
            if (const auto from = weak.lock())
                handle_frame(from, std::move(value));
        },
        [this, weak](const std::string& reason) {
            const auto from = weak.lock();
            if (from && from->protocol_violated())
                record_violation(reason);
            m_links.erase(from);
            m_subscribers.erase(from);
            m_lists.cancel(from);
        });
}

void relay_server::record_violation(const std::string& reason)
{
    ++m_counts.m_violations;
    const auto now = m_time.now();
    if (now < m_next_log)
        return;
    m_next_log = now + log_interval;
    LOG(WARNING) << "event=relay_violated reason=\"" << reason
                 << "\" violations=" << m_counts.m_violations;
}

void relay_server::close(const std::shared_ptr<frame_link>& link,
                         const std::string& reason)
{
    record_violation(reason);
    link->close(reason);
}

std::optional<frame> relay_server::read_request(const relayed_message& value,
                                                std::string& reason) const
{
    auto request = decode_frame(value.m_frame, reason);
    if (!request || may_be_relayed(request->m_body))
        return request;
    reason = "kind " + std::to_string(request->m_body.index()) +
             " may not be relayed";
    return std::nullopt;
}

void relay_server::handle_frame(const std::shared_ptr<frame_link>& link,
                                frame value)
{
    if (const auto* hello = std::get_if<hello_message>(&value.m_body))
    {
        handle_hello(link, *hello);
        return;
    }
    auto* relayed = std::get_if<relayed_message>(&value.m_body);
    if (relayed == nullptr || value.m_call == 0)
    {
        close(link, "not a request to relay");
        return;
    }
    std::string reason;
    auto request = read_request(*relayed, reason);
    if (!request)
    {
        close(link, reason);
        return;
    }
    const auto bytes = relayed->m_frame.size();
    if (m_in_flight >= m_limits.m_max_in_flight ||
        !m_hooks.m_is_reachable(relayed->m_member) ||
        !admit_relayed_request(m_budget, m_limits, bytes, m_time.now()))
    {
        reject(*link, value.m_call, relayed->m_member);
        return;
    }
    ++m_counts.m_requests;
    m_counts.m_bytes += bytes;
    ++m_in_flight;
    spawn(m_io, "relay_server.pass_on",
          relay_request(link, value.m_call, std::move(relayed->m_member),
                        std::move(*request)));
}

void relay_server::handle_hello(const std::shared_ptr<frame_link>& link,
                                const hello_message& hello)
{
    if (!hello.m_subscribes)
    {
        m_subscribers.erase(link);
        m_lists.cancel(link);
        return;
    }
    if (!m_hooks.m_state || !m_subscribers.insert(link).second)
        return;
    const auto& state = m_hooks.m_state();
    if (hello.m_accepts_parts && needs_full_list(state, hello.m_known_runners))
        m_lists.start(link, hello.m_name);
    else
        link->send({0, 0, frame_status::ok,
                    updates_since(state, hello.m_known_runners)});
}

void relay_server::send_updates(const cluster_state& update)
{
    for (const auto& link : std::set(m_subscribers))
        link->send({0, 0, frame_status::ok, update});
}

void relay_server::reject(frame_link& link, std::uint64_t call,
                          const std::string& member)
{
    ++m_counts.m_refused;
    link.send({call, 0, frame_status::failed, relayed_message{member, {}}});
}

task<> relay_server::relay_request(std::shared_ptr<frame_link> link,
                                   std::uint64_t call, std::string member,
                                   frame request)
{
    const auto reply = co_await m_hooks.m_request(member, request.m_epoch,
                                                  std::move(request.m_body),
                                                  m_time.now() + reply_timeout);
    --m_in_flight;
    if (!link->open())
        co_return;
    auto bytes =
        reply ? encode_frame(*reply).substr(length_bytes) : std::string{};
    if (bytes.empty() || bytes.size() > max_relayed_reply_bytes)
    {
        reject(*link, call, member);
        co_return;
    }
    m_counts.m_bytes += bytes.size();
    charge_reply(m_budget, bytes.size());
    link->send({call, 0, frame_status::ok,
                relayed_message{std::move(member), std::move(bytes)}});
}

} // namespace pepperturn
