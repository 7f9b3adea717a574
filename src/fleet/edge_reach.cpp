// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/edge_reach.hpp"

#include "pepperturn/base/latency_histogram.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Between questions for neighbours: those that are lost in between are passed
/// over for others.
constexpr milliseconds neighbours_interval{5000};
/// While none is known: the fleet is just starting.
constexpr milliseconds first_interval{1000};

} // namespace

edge_reach::edge_reach(asio::io_context& io, const clock& time,
                       const fleet_settings& settings, member_links& links,
                       std::function<cluster_state()> world)
    : m_time(time), m_links(links), m_relay_address(settings.m_relay_address),
      m_availability_zone(settings.m_availability_zone),
      m_detours(io, time, settings.m_name, settings.m_availability_zone),
      m_server(io, time,
               {[&links](const std::string& member) {
                    return links.reachable_directly(member);
                },
                [&links](std::string member, std::uint64_t epoch,
                         frame_body body, instant until) {
                    return links.request_directly(std::move(member), epoch,
                                                  std::move(body), until);
                },
                std::move(world)})
{}

bool edge_reach::start(std::string& reason)
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
    if (!m_server.listen(at, reason))
        return false;
    m_links.advertise_relay(m_relay_address, m_availability_zone);
    m_links.use_relay_client(m_detours);
    return true;
}

void edge_reach::follow(const std::vector<member>& members)
{
    m_members.clear();
    for (const auto& row : members)
        m_members.push_back(row.m_name);
}

void edge_reach::tick()
{
    if (!enabled())
        return;
    m_links.tick();
    m_detours.set_subscribed(cut_off());
    if (m_time.now() >= m_next_ask)
        ask_neighbours();
}

bool edge_reach::cut_off() const
{
    return !m_members.empty() &&
           std::none_of(m_members.begin(), m_members.end(),
                        [this](const std::string& name) {
                            return m_links.reachable_directly(name);
                        });
}

void edge_reach::ask_neighbours()
{
    for (std::size_t i = 0; i < m_members.size(); ++i)
    {
        const auto& name = m_members[m_next_member++ % m_members.size()];
        if (!m_links.reachable_directly(name))
            continue;
        m_next_ask = m_time.now() + first_interval;
        m_links.call(name, 0, relay_peers_request_message{},
                     [this](const std::optional<frame>& answer) {
                         const auto* told =
                             answer ? std::get_if<relay_peers_message>(
                                          &answer->m_body)
                                    : nullptr;
                         if (told == nullptr || told->m_relay_peers.empty())
                             return;
                         m_next_ask = m_time.now() + neighbours_interval;
                         m_detours.set_peers(told->m_relay_peers);
                     });
        return;
    }
}

void edge_reach::stop_relaying()
{
    m_server.stop();
}

void edge_reach::write_metrics(std::string& out) const
{
    if (!enabled())
        return;
    write_metric(out, "neighbours_known", m_detours.peer_count());
    write_metric(out, "asks_direct", m_links.direct_requests());
    write_metric(out, "asks_relayed", m_detours.counts().m_requests);
    write_metric(out, "asks_unanswered", m_detours.counts().m_failed);
    write_metric(out, "relayed_asks", m_server.counts().m_requests);
    write_metric(out, "relayed_refused", m_server.counts().m_refused);
    write_metric(out, "relayed_bytes", m_server.counts().m_bytes);
    write_metric(out, "relayed_violations", m_server.counts().m_violations);
}

} // namespace pepperturn
