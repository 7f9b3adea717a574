// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM's access to storage VMs through other edge VMs (relay peers). It
/// learns its peers while it can reach storage VMs itself, sends requests
/// through them while it cannot, and relays theirs in turn. Disabled unless
/// `[listen] relay` is set.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/cluster/relay_server.hpp"
#include "pepperturn/config/fleet_settings.hpp"

namespace pepperturn {

class edge_connectivity
{
public:
    /// \param state the cluster state of this VM, sent to peers that subscribe
    edge_connectivity(asio::io_context& io, const clock& time,
                      const fleet_settings& settings, member_links& links,
                      std::function<const cluster_state&()> state,
                      std::function<std::uint64_t()> changes);
    /// Called with state received from a peer while no storage VM is reachable.
    void on_state(std::function<void(const cluster_state&)> handler)
    {
        m_relay_client.on_state(std::move(handler));
    }
    /// Provides the revision up to which this VM has all runners.
    void on_hello(std::function<std::uint64_t()> known_runners)
    {
        m_relay_client.on_hello(std::move(known_runners));
    }
    /// False: \ref send_updates would reach nobody.
    [[nodiscard]] bool has_subscribers() const
    {
        return m_relay_server.has_subscribers();
    }
    /// Sends changes to peers that cannot reach a storage VM.
    void send_updates(const cluster_state& update)
    {
        m_relay_server.send_updates(update);
    }

    /// Called before the links connect: their greeting carries this VM's relay
    /// address.
    [[nodiscard]] bool start(std::string& reason);
    /// Storage VMs to request relay peers from.
    void set_members(const std::vector<member>& members);
    /// Periodic work, a few times a second.
    void tick();
    /// Stops relaying; peers switch to others at once.
    void stop_relaying();
    void write_metrics(std::string& out) const;

private:
    [[nodiscard]] bool enabled() const
    {
        return !m_relay_address.empty();
    }
    void request_relay_peers();
    /// No storage VM is reachable directly.
    [[nodiscard]] bool is_partitioned() const;

    const clock& m_time;
    member_links& m_links;
    std::string m_relay_address;
    std::string m_availability_zone;
    relay_client m_relay_client;
    relay_server m_relay_server;
    std::vector<std::string> m_members;
    /// Next of \ref m_members to request peers from, round robin.
    std::size_t m_next_member = 0;
    instant m_next_request{};
};

} // namespace pepperturn
