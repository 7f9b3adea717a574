// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/edge_connectivity.hpp"

#include "pepperturn/base/latency_histogram.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Between requests for relay peers; peers lost in between are skipped in
/// favour of others.
constexpr milliseconds peers_interval{5000};
/// While no peer is known: the fleet is just starting.
constexpr milliseconds first_interval{1000};

} // namespace

edge_connectivity::edge_connectivity(
    asio::io_context& io, const clock& time, const fleet_settings& settings,
    member_links& links, std::function<const cluster_state&()> state,
    std::function<std::uint64_t()> changes)
    : m_time(time), m_links(links), m_relay_address(settings.m_relay_address),
      m_availability_zone(settings.m_availability_zone),
      m_relay_client(io, time, settings.m_name, settings.m_availability_zone),
      m_relay_server(io, time,
                     {[&links](const std::string& member) {
                          return links.reachable_directly(member);
                      },
                      [&links](std::string member, std::uint64_t epoch,
                               frame_body body, instant deadline) {
                          return links.request_directly(std::move(member),
                                                        epoch, std::move(body),
                                                        deadline);
                      },
                      std::move(state), std::move(changes)})
{}

bool edge_connectivity::start(std::string& reason)
{
    if (!enabled())
        return true;
    error_code ec;
    const auto at = parse_endpoint(m_relay_address, ec);
    if (ec)
    {
        reason = "[listen] relay: " + ec.message();
        return false;
    }
    if (!m_relay_server.listen(at, reason))
        return false;
    m_links.advertise_relay(m_relay_address, m_availability_zone);
    m_links.use_relay_client(m_relay_client);
    return true;
}

void edge_connectivity::set_members(const std::vector<member>& members)
{
    m_members.clear();
    for (const auto& row : members)
        m_members.push_back(row.m_name);
}

void edge_connectivity::tick()
{
    if (!enabled())
        return;
    m_links.tick();
    m_relay_client.set_subscribed(is_partitioned());
    if (m_time.now() >= m_next_request)
        request_relay_peers();
}

bool edge_connectivity::is_partitioned() const
{
    return !m_members.empty() &&
           std::none_of(m_members.begin(), m_members.end(),
                        [this](const std::string& name) {
                            return m_links.reachable_directly(name);
                        });
}

void edge_connectivity::request_relay_peers()
{
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        const auto& name = m_members[m_next_member++ % m_members.size()];
        if (!m_links.reachable_directly(name))
            continue;
        m_next_request = m_time.now() + first_interval;
        m_links.call(name, 0, relay_peers_request_message{},
                     [this](const std::optional<frame>& reply) {
                         const auto* peers =
                             reply ? std::get_if<relay_peers_message>(
                                         &reply->m_body)
                                   : nullptr;
                         if (peers == nullptr || peers->m_relay_peers.empty())
                             return;
                         m_next_request = m_time.now() + peers_interval;
                         m_relay_client.set_peers(peers->m_relay_peers);
                     });
        return;
    }
}

void edge_connectivity::stop_relaying()
{
    m_relay_server.stop();
}

void edge_connectivity::write_metrics(std::string& out) const
{
    if (!enabled())
        return;
    write_metric(out, "neighbours_known", m_relay_client.peer_count());
    write_metric(out, "asks_direct", m_links.direct_requests());
    write_metric(out, "asks_relayed", m_relay_client.counts().m_requests);
    write_metric(out, "asks_unanswered", m_relay_client.counts().m_failed);
    write_metric(out, "relayed_asks", m_relay_server.counts().m_requests);
    write_metric(out, "relayed_refused", m_relay_server.counts().m_refused);
    write_metric(out, "relayed_bytes", m_relay_server.counts().m_bytes);
    write_metric(out, "relayed_violations",
                 m_relay_server.counts().m_violations);
}

} // namespace pepperturn
