// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM's ways to storage VMs beside its own links: it learns neighbours
/// while it hears storage VMs, turns to them while it does not, and passes on
/// what they ask. Nothing of it runs without `[listen] relay`.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/cluster/relay_server.hpp"
#include "pepperturn/config/fleet_settings.hpp"

namespace pepperturn {

class edge_connectivity
{
public:
    /// \param world what this VM knows, for neighbours that ask
    edge_connectivity(asio::io_context& io, const clock& time,
                      const fleet_settings& settings, member_links& links,
                      std::function<cluster_state()> world);
    /// Called for what a neighbour tells while no storage VM is heard.
    void on_state(std::function<void(const cluster_state&)> handler)
    {
        m_relay_client.on_state(std::move(handler));
    }
    /// Tells neighbours that hear no storage VM what has changed.
    void send_updates(const cluster_state& news)
    {
        m_relay_server.send_updates(news);
    }

    /// Before the links connect, as their greeting says where this VM relays.
    [[nodiscard]] bool start(std::string& reason);
    /// Storage VMs that tell neighbours.
    void set_members(const std::vector<member>& members);
    /// Periodic work, a few times a second.
    void tick();
    /// Relays for nobody any more; askers turn to others at once.
    void stop_relaying();
    void write_metrics(std::string& out) const;

private:
    [[nodiscard]] bool enabled() const
    {
        return !m_relay_address.empty();
    }
    void request_relay_peers();
    /// No storage VM is heard on its own link.
    [[nodiscard]] bool is_partitioned() const;

    const clock& m_time;
    member_links& m_links;
    std::string m_relay_address;
    std::string m_availability_zone;
    relay_client m_relay_client;
    relay_server m_relay_server;
    std::vector<std::string> m_members;
    /// Takes turns at whom to ask.
    std::size_t m_next_member = 0;
    instant m_next_request{};
};

} // namespace pepperturn
