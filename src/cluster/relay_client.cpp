// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/relay_client.hpp"

#include "pepperturn/cluster/link_health.hpp"
#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A peer in the same region accepts a connection within milliseconds.
constexpr milliseconds connect_timeout{60};
/// The next peer is tried if one has sent nothing for this long: several times
/// what a member's reply takes through a peer.
constexpr milliseconds peer_timeout{40};
/// The same for a peer that sends other frames, but no reply to this request
/// yet: the member may be syncing a disk.
constexpr milliseconds reply_timeout{150};
/// How often pending requests are checked.
constexpr milliseconds check_interval{20};
/// Maximum lifetime of a request: callers time out sooner, and a later reply is
/// of no use to them.
constexpr milliseconds request_timeout{1500};
/// Back-off after a failure of a peer, doubled with each further failure.
constexpr milliseconds first_backoff{500};
constexpr std::uint32_t max_doublings = 3;
/// How long a peer is skipped for a member after it reported that it cannot
/// reach it or has no capacity.
constexpr milliseconds unreachable_period{1000};
/// Between probes of a member: about as often as heartbeats.
constexpr milliseconds probe_interval{400};
constexpr milliseconds max_probe_interval{3200};
/// Peers that send state updates: one may fall silent. Each sends a VM that has
/// just started the whole list of runners, over a link that may be slow.
constexpr std::ptrdiff_t update_peers = 2;

} // namespace

relay_client::relay_client(asio::io_context& io, const clock& time,
                           std::string self_name, std::string availability_zone)
    : m_io(io), m_time(time), m_self_name(std::move(self_name)),
      m_availability_zone(std::move(availability_zone))
{}

void relay_client::set_peers(std::vector<relay_peer> peers)
{
    if (peers.empty())
        return;
    auto before = std::exchange(m_peers, {});
    for (auto& peer : peers)
    {
        const auto found =
            std::find_if(before.begin(), before.end(),
                         [&](const auto& row) { return row->m_peer == peer; });
        if (found == before.end())
        {
            m_peers.push_back(std::make_shared<peer_state>());
            m_peers.back()->m_peer = std::move(peer);
            continue;
        }
        m_peers.push_back(*found);
        before.erase(found);
    }
    for (const auto& row : before)
    {
        row->m_removed = true;
        disconnect(*row);
    }
}

void relay_client::set_subscribed(bool subscribed)
{
    if (std::exchange(m_subscribed, subscribed) == subscribed)
        return;
    if (subscribed)
    {
        choose_update_peers();
        return;
    }
    for (const auto& row : m_peers)
    {
        if (row->m_link && row->m_subscribed)
            send_hello(*row, false);
    }
}

void relay_client::send_hello(peer_state& row, bool subscribes)
{
    row.m_subscribed = subscribes;
    hello_message hello;
    hello.m_name = m_self_name;
    hello.m_subscribes = subscribes;
    hello.m_known_runners = m_known_runners ? m_known_runners() : 0;
    hello.m_accepts_parts = true;
    row.m_link->send({0, 0, frame_status::ok, std::move(hello)});
}

void relay_client::choose_update_peers()
{
    if (!m_subscribed)
        return;
    auto missing =
        update_peers -
        std::count_if(m_peers.begin(), m_peers.end(), [](const auto& row) {
            return row->m_link && row->m_subscribed;
        });
    for (const auto& row : m_peers)
    {
        if (missing <= 0)
            return;
        if (!row->m_link || row->m_subscribed)
            continue;
        send_hello(*row, true);
        --missing;
    }
}

void relay_client::stop()
{
    m_stopped = true;
    for (const auto& row : std::exchange(m_peers, {}))
    {
        row->m_removed = true;
        disconnect(*row);
    }
}

std::vector<relay_peer_facts>
relay_client::facts_for(const std::string& member,
                        const std::set<std::string>& tried) const
{
    std::vector<relay_peer_facts> out;
    out.reserve(m_peers.size());
    for (const auto& row : m_peers)
    {
        const auto unreachable = row->m_unreachable_until.find(member);
        out.push_back({row->m_peer.m_name, row->m_peer.m_availability_zone,
                       tried.contains(row->m_peer.m_name),
                       row->m_pending.size(), row->m_backoff_until,
                       unreachable == row->m_unreachable_until.end()
                           ? instant{}
                           : unreachable->second});
    }
    return out;
}

bool relay_client::may_reach(const std::string& member) const
{
    return next_relay_peer(facts_for(member, {}), member, m_availability_zone,
                           m_time.now())
        .has_value();
}

void relay_client::send_request(const std::string& member, const char* reason,
                                const frame& request, reply_handler done,
                                milliseconds timeout)
{
    constexpr std::size_t length_bytes = 4;
    auto bytes = encode_frame(request).substr(length_bytes);
    if (bytes.size() > max_relayed_request_bytes)
    {
        done(std::nullopt);
        return;
    }
    m_members[member].m_reason = reason;
    const auto id = m_next_request++;
    auto& row = m_requests[id];
    row.m_member = member;
    row.m_frame = {id, 0, frame_status::ok,
                   relayed_message{member, std::move(bytes)}};
    row.m_done = std::move(done);
    row.m_reply_timeout = timeout;
    // A requester with a short timeout has tried another member by then.
    row.m_deadline =
        m_time.now() +
        (timeout < direct_reply_timeout ? 2 * timeout : request_timeout);
    ++m_counts.m_requests;
    try_next(id);
    start_monitor();
}

void relay_client::try_next(std::uint64_t id)
{
    auto& request = m_requests.at(id);
    const auto choice =
        next_relay_peer(facts_for(request.m_member, request.m_tried),
                        request.m_member, m_availability_zone, m_time.now());
    if (!choice)
    {
        if (!is_pending(id))
            complete(id, std::nullopt);
        return;
    }
    const auto row = m_peers[*choice];
    request.m_tried.insert(row->m_peer.m_name);
    row->m_pending.insert(id);
    request.m_last_attempt = m_time.now();
    request.m_last_peer = row->m_peer.m_name;
    if (row->m_link)
    {
        row->m_link->send(request.m_frame);
        return;
    }
    row->m_queued.push_back(id);
    if (!std::exchange(row->m_connecting, true))
        spawn(m_io, "detours.connect", connect(row));
}

task<> relay_client::connect(std::shared_ptr<peer_state> row)
{
    std::string reason;
    const auto link = co_await connect_frame_link(
        m_io, row->m_peer.m_address, connect_timeout, reason,
        max_relayed_reply_bytes + relay_frame_overhead);
    row->m_connecting = false;
    if (row->m_removed || m_stopped)
        co_return;
    if (!link)
    {
        disconnect(*row);
        co_return;
    }
    row->m_link = link;
    row->m_last_received = m_time.now();
    // The link owns its handlers, so these must not own the peer.
    link->start(
        [this, weak = std::weak_ptr(row)](const frame& value) {
            if (const auto locked = weak.lock())
                handle_frame(locked, value);
        },
        [this, weak = std::weak_ptr(row)](const std::string&) {
            if (const auto locked = weak.lock())
                disconnect(*locked);
        });
    send_hello(*row, false);
    choose_update_peers();
    for (const auto id : std::exchange(row->m_queued, {}))
    {
        const auto request = m_requests.find(id);
        if (request != m_requests.end() && row->m_link)
            row->m_link->send(request->second.m_frame);
    }
}

void relay_client::disconnect(peer_state& row)
{
    if (const auto link = std::exchange(row.m_link, nullptr))
        link->close("relay peer disconnected");
    row.m_subscribed = false;
    choose_update_peers();
    row.m_queued.clear();
    if (!row.m_removed)
        back_off(row);
    for (const auto id : std::exchange(row.m_pending, {}))
    {
        if (m_requests.contains(id) && !is_pending(id))
            try_next(id);
    }
}

bool relay_client::is_pending(std::uint64_t id) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& row) {
        return row->m_pending.contains(id);
    });
}

void relay_client::back_off(peer_state& row)
{
    const auto doublings = std::min(row.m_failures++, max_doublings);
    row.m_backoff_until = m_time.now() + first_backoff * (1U << doublings);
}

void relay_client::abandon_attempt(peer_state& row, std::uint64_t id)
{
    // Other peers that were tried meanwhile may still reply.
    if (row.m_pending.erase(id) > 0 && !is_pending(id))
        try_next(id);
}

void relay_client::handle_frame(const std::shared_ptr<peer_state>& row,
                                const frame& value)
{
    row->m_last_received = m_time.now();
    row->m_failures = 0;
    row->m_backoff_until = {};
    if (const auto* update = std::get_if<cluster_state>(&value.m_body))
    {
        if (m_on_state)
            m_on_state(*update);
        return;
    }
    const auto request = m_requests.find(value.m_call);
    const auto* relayed = std::get_if<relayed_message>(&value.m_body);
    if (relayed == nullptr || request == m_requests.end() ||
        !row->m_pending.contains(value.m_call) ||
        relayed->m_member != request->second.m_member)
        return;
    std::string reason;
    auto reply = value.m_status == frame_status::ok
                     ? decode_frame(relayed->m_frame, reason)
                     : std::nullopt;
    if (reply)
    {
        handle_reply(*row, value.m_call, std::move(*reply));
        return;
    }
    row->m_unreachable_until[relayed->m_member] =
        m_time.now() + unreachable_period;
    abandon_attempt(*row, value.m_call);
}

void relay_client::handle_reply(peer_state& row, std::uint64_t id, frame reply)
{
    auto& member = m_members[m_requests.at(id).m_member];
    member.m_last_seen = m_time.now();
    if (!std::exchange(member.m_relaying, true))
        LOG(INFO) << "event=relay_begun member=" << m_requests.at(id).m_member
                  << " through=" << row.m_peer.m_name
                  << " reason=" << member.m_reason;
    complete(id, std::move(reply));
}

void relay_client::complete(std::uint64_t id, std::optional<frame> reply)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto done = std::move(found->second.m_done);
    m_requests.erase(found);
    for (const auto& row : m_peers)
        row->m_pending.erase(id);
    if (!reply)
        ++m_counts.m_failed;
    done(std::move(reply));
}

void relay_client::start_monitor()
{
    if (!m_requests.empty() && !std::exchange(m_monitoring, true))
        spawn(m_io, "detours.watch", monitor_requests());
}

task<> relay_client::monitor_requests()
{
    while (!m_requests.empty())
    {
        const auto before = m_time.now();
        co_await sleep_for(m_io, check_interval);
        // Frames that arrived while this process was suspended are read first.
        if (m_time.now() - before >= max_scheduling_lag)
            co_await sleep_for(m_io, check_interval);
        std::vector<std::uint64_t> ids;
        ids.reserve(m_requests.size());
        for (const auto& [id, request] : m_requests)
            ids.push_back(id);
        for (const auto id : ids)
            check_request(id);
    }
    m_monitoring = false;
}

void relay_client::check_request(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    const auto now = m_time.now();
    auto& request = found->second;
    if (now >= request.m_deadline)
    {
        complete(id, std::nullopt);
        return;
    }
    const auto row = std::find_if(
        m_peers.begin(), m_peers.end(), [&](const auto& candidate) {
            return candidate->m_peer.m_name == request.m_last_peer;
        });
    const bool responsive = row != m_peers.end() &&
                            (*row)->m_last_received > request.m_last_attempt;
    const auto timeout = std::min(request.m_reply_timeout,
                                  responsive ? reply_timeout : peer_timeout);
    if (now - request.m_last_attempt < timeout)
        return;
    if (row != m_peers.end() && !responsive && (*row)->m_backoff_until <= now)
        back_off(**row);
    try_next(id);
}

void relay_client::probe(const std::string& member, const char* reason)
{
    auto& row = m_members[member];
    const auto now = m_time.now();
    if (row.m_probing || now < row.m_next_probe ||
        now - row.m_last_seen < probe_interval || !may_reach(member))
        return;
    row.m_probing = true;
    send_request(
        member, reason, {0, 0, frame_status::ok, freshness_request_message{}},
        [this, member](const std::optional<frame>& reply) {
            const auto found = m_members.find(member);
            if (found != m_members.end())
                record_probe(found->second, reply.has_value());
        },
        reply_timeout);
}

void relay_client::record_probe(member_status& row, bool answered) const
{
    row.m_probing = false;
    row.m_probe_interval = answered
                               ? probe_interval
                               : std::clamp(2 * row.m_probe_interval,
                                            probe_interval, max_probe_interval);
    row.m_next_probe = m_time.now() + row.m_probe_interval;
}

void relay_client::end_relaying(const std::string& member)
{
    const auto found = m_members.find(member);
    if (found == m_members.end())
        return;
    if (found->second.m_relaying)
        LOG(INFO) << "event=relay_ended member=" << member;
    m_members.erase(found);
}

instant relay_client::last_seen(const std::string& member) const
{
    const auto found = m_members.find(member);
    return found == m_members.end() ? instant{} : found->second.m_last_seen;
}

} // namespace pepperturn
