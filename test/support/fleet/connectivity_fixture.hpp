// SPDX-License-Identifier: BSL-1.0
/// \file
/// Edge VMs beside the storage VMs of a \ref storage_fixture: some relay, one
/// has links that may be partitioned, and some relay peers are scripted.
#pragma once

#include "pepperturn/fleet/edge_connectivity.hpp"

#include "support/fleet/partitionable_link.hpp"
#include "support/fleet/storage_fixture.hpp"

namespace pepperturn::test {

/// Three storage VMs that send heartbeats.
struct connectivity_fixture : storage_fixture
{
    connectivity_fixture()
    {
        start_three();
        every(milliseconds(100), [this] {
            for (const auto& [name, vm] : m_vms)
                vm->m_node->tick();
        });
    }
    void every(milliseconds span, std::function<void()> work)
    {
        spawn(m_io, "connectivity_fixture.tick",
              repeat(m_io, span, std::move(work)));
    }
    static task<> repeat(asio::io_context& io, milliseconds span,
                         std::function<void()> work)
    {
        while (true)
        {
            work();
            co_await sleep_for(io, span);
        }
    }
    bool wait(const std::function<bool()>& done)
    {
        return run_until(m_io, done);
    }
};

/// An edge VM's links, relay and turn client; each link can be partitioned.
class partitionable_edge
{
public:
    partitionable_edge(connectivity_fixture& fleet, const std::string& name,
                       const std::string& availability_zone, bool relays = true)
        : m_fleet(fleet), m_settings(settings(fleet, name, availability_zone)),
          m_links(fleet.m_io, fleet.m_time, name),
          m_connectivity(
              fleet.m_io, fleet.m_time, m_settings, m_links,
              [&fleet]() -> const cluster_state& { return fleet.m_state; },
              [&fleet] { return fleet.m_state.m_runners_revision; }),
          m_client(fleet.m_io, fleet.m_time, m_links, "vm-0", 1)
    {
        if (!relays)
            m_settings.m_relay_address.clear();
        m_connectivity.on_state([this](const cluster_state& update) {
            merge_state(m_received_state, update);
        });
        std::string reason;
        INFO(reason);
        REQUIRE(m_connectivity.start(reason));
        auto members = members_of(fleet.m_state.m_views);
        for (auto& row : members)
        {
            const auto port = fleet.m_vms.at(row.m_name)->m_port;
            m_wires[row.m_name] =
                std::make_unique<partitionable_link>(fleet.m_io, port);
            row.m_address = m_wires[row.m_name]->address();
        }
        m_links.set_members(members);
        m_connectivity.set_members(members);
        m_client.follow(fleet.m_state.m_views);
        REQUIRE(fleet.wait([&] { return all_direct(); }));
        fleet.every(milliseconds(50), [this] { m_connectivity.tick(); });
    }
    ~partitionable_edge()
    {
        m_connectivity.stop_relaying();
        m_links.stop();
    }
    partitionable_edge(const partitionable_edge&) = delete;
    partitionable_edge& operator=(const partitionable_edge&) = delete;

    [[nodiscard]] bool all_direct() const
    {
        return std::all_of(m_wires.begin(), m_wires.end(),
                           [&](const auto& row) {
                               return m_links.reachable_directly(row.first);
                           });
    }
    void partition(bool forth = true, bool back = true)
    {
        for (const auto& [name, wire] : m_wires)
            wire->set_partitioned(forth, back);
    }
    void heal()
    {
        partition(false, false);
    }
    [[nodiscard]] relay_peer who() const
    {
        return {m_settings.m_name, m_settings.m_relay_address,
                m_settings.m_availability_zone};
    }
    [[nodiscard]] std::uint64_t metric(const std::string& name) const
    {
        std::string text = "\n";
        m_connectivity.write_metrics(text);
        const auto found = text.find('\n' + name + ' ');
        REQUIRE(found != std::string::npos);
        return std::stoull(text.substr(found + name.size() + 2));
    }
    begin_result begin(const begin_request& what,
                       milliseconds timeout = default_timeout)
    {
        auto result = run_task(
            m_fleet.m_io, m_client.begin(what, m_fleet.m_time.now() + timeout));
        REQUIRE(result.has_value());
        return *result;
    }
    bool keep(const std::string& id, const std::string& parent)
    {
        const log_entry entry{retention_ms,
                              turn_record{id, parent, "in-" + id + ';',
                                          "out-" + id + ';', "run",
                                          key_of("program"), key_of(id), 30}};
        return run_task(m_fleet.m_io,
                        m_client.store(entry,
                                       m_fleet.m_time.now() + default_timeout))
            .value_or(false);
    }

    connectivity_fixture& m_fleet;
    fleet_settings m_settings;
    std::map<std::string, std::unique_ptr<partitionable_link>> m_wires;
    member_links m_links;
    edge_connectivity m_connectivity;
    turn_client m_client;
    /// Cluster state received from relay peers.
    cluster_state m_received_state;

private:
    static fleet_settings settings(connectivity_fixture& fleet,
                                   const std::string& name,
                                   const std::string& availability_zone)
    {
        fleet_settings out;
        out.m_name = name;
        out.m_availability_zone = availability_zone;
        out.m_relay_address =
            "127.0.0.1:" + std::to_string(free_port(fleet.m_io));
        return out;
    }
};

/// A relay peer that handles requests by a test's handler.
class fake_relay_peer
{
public:
    using handler =
        std::function<void(const std::shared_ptr<frame_link>&, const frame&)>;

    fake_relay_peer(asio::io_context& io, handler handle)
        : m_take(std::move(handle)), m_acceptor(io), m_port(free_port(io))
    {
        std::string reason;
        REQUIRE(open_listener(
            m_acceptor, {asio::ip::make_address("127.0.0.1"), m_port}, reason));
        spawn(io, "fake_relay_peer.accept",
              accept_all(m_acceptor, [this, &io](tcp::socket socket) {
                  auto link =
                      std::make_shared<frame_link>(io, std::move(socket));
                  m_links.push_back(link);
                  link->start(
                      [this, weak = std::weak_ptr(link)](const frame& value) {
                          if (value.m_call != 0)
                              take(weak.lock(), value);
                      },
                      [](const std::string&) {});
              }));
    }
    ~fake_relay_peer()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& link : m_links)
            link->close("test ends");
    }
    fake_relay_peer(const fake_relay_peer&) = delete;
    fake_relay_peer& operator=(const fake_relay_peer&) = delete;

    [[nodiscard]] relay_peer who(const std::string& name,
                                 const std::string& zone) const
    {
        return {name, "127.0.0.1:" + std::to_string(m_port), zone};
    }
    int m_request_count = 0;

private:
    void take(const std::shared_ptr<frame_link>& link, const frame& value)
    {
        ++m_request_count;
        m_take(link, value);
    }

    handler m_take;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::vector<std::shared_ptr<frame_link>> m_links;
};

} // namespace pepperturn::test
