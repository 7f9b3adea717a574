// SPDX-License-Identifier: BSL-1.0
/// \file
/// Edge VMs beside the storage VMs of a \ref storage_world: some relay, one
/// has links that may be cut, and some neighbours only pretend.
#pragma once

#include "pepperturn/fleet/edge_reach.hpp"

#include "support/fleet/cut_wire.hpp"
#include "support/fleet/storage_world.hpp"

namespace pepperturn::test {

/// Three storage VMs that send beats.
struct reach_world : storage_world
{
    reach_world()
    {
        start_three();
        every(milliseconds(100), [this] {
            for (const auto& [name, vm] : m_vms)
                vm->m_node->tick();
        });
    }
    void every(milliseconds span, std::function<void()> work)
    {
        spawn(m_io, "reach_world.tick", repeat(m_io, span, std::move(work)));
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

/// An edge VM's links, relay and turn client; each link is a wire of its own.
class reach_edge
{
public:
    reach_edge(reach_world& fleet, const std::string& name,
               const std::string& availability_zone, bool relays = true)
        : m_fleet(fleet), m_settings(settings(fleet, name, availability_zone)),
          m_links(fleet.m_io, fleet.m_time, name),
          m_reach(fleet.m_io, fleet.m_time, m_settings, m_links,
                  [&fleet] { return fleet.m_state; }),
          m_client(fleet.m_io, fleet.m_time, m_links, "vm-0", 1)
    {
        if (!relays)
            m_settings.m_relay_address.clear();
        m_reach.on_state(
            [this](const cluster_state& news) { merge_state(m_told, news); });
        std::string reason;
        INFO(reason);
        REQUIRE(m_reach.start(reason));
        auto members = members_of(fleet.m_state.m_views);
        for (auto& row : members)
        {
            const auto port = fleet.m_vms.at(row.m_name)->m_port;
            m_wires[row.m_name] = std::make_unique<cut_wire>(fleet.m_io, port);
            row.m_address = m_wires[row.m_name]->address();
        }
        m_links.set_members(members);
        m_reach.follow(members);
        m_client.follow(fleet.m_state.m_views);
        REQUIRE(fleet.wait([&] { return all_direct(); }));
        fleet.every(milliseconds(50), [this] { m_reach.tick(); });
    }
    ~reach_edge()
    {
        m_reach.stop_relaying();
        m_links.stop();
    }
    reach_edge(const reach_edge&) = delete;
    reach_edge& operator=(const reach_edge&) = delete;

    [[nodiscard]] bool all_direct() const
    {
        return std::all_of(m_wires.begin(), m_wires.end(),
                           [&](const auto& row) {
                               return m_links.reachable_directly(row.first);
                           });
    }
    void cut(bool forth = true, bool back = true)
    {
        for (const auto& [name, wire] : m_wires)
            wire->set_cut(forth, back);
    }
    void heal()
    {
        cut(false, false);
    }
    [[nodiscard]] relay_peer who() const
    {
        return {m_settings.m_name, m_settings.m_relay_address,
                m_settings.m_availability_zone};
    }
    [[nodiscard]] std::uint64_t metric(const std::string& name) const
    {
        std::string text = "\n";
        m_reach.write_metrics(text);
        const auto found = text.find('\n' + name + ' ');
        REQUIRE(found != std::string::npos);
        return std::stoull(text.substr(found + name.size() + 2));
    }
    begin_result begin(const begin_request& what,
                       milliseconds patience = usual_patience)
    {
        auto result =
            run_task(m_fleet.m_io,
                     m_client.begin(what, m_fleet.m_time.now() + patience));
        REQUIRE(result.has_value());
        return *result;
    }
    bool keep(const std::string& id, const std::string& parent)
    {
        const log_entry entry{retention_ms,
                              turn_record{id, parent, "in-" + id + ';',
                                          "out-" + id + ';', "run",
                                          key_of("program"), key_of(id), 30}};
        return run_task(
                   m_fleet.m_io,
                   m_client.store(entry, m_fleet.m_time.now() + usual_patience))
            .value_or(false);
    }

    reach_world& m_fleet;
    fleet_settings m_settings;
    std::map<std::string, std::unique_ptr<cut_wire>> m_wires;
    member_links m_links;
    edge_reach m_reach;
    turn_client m_client;
    /// What neighbours have told of the world.
    cluster_state m_told;

private:
    static fleet_settings settings(reach_world& fleet, const std::string& name,
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

/// A neighbour that takes questions and does with them what a test says.
class fake_neighbour
{
public:
    using handler =
        std::function<void(const std::shared_ptr<frame_link>&, const frame&)>;

    fake_neighbour(asio::io_context& io, handler handle)
        : m_take(std::move(handle)), m_acceptor(io), m_port(free_port(io))
    {
        std::string reason;
        REQUIRE(open_listener(
            m_acceptor, {asio::ip::make_address("127.0.0.1"), m_port}, reason));
        spawn(io, "fake_neighbour.accept",
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
    ~fake_neighbour()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& link : m_links)
            link->close("test ends");
    }
    fake_neighbour(const fake_neighbour&) = delete;
    fake_neighbour& operator=(const fake_neighbour&) = delete;

    [[nodiscard]] relay_peer who(const std::string& name,
                                 const std::string& zone) const
    {
        return {name, "127.0.0.1:" + std::to_string(m_port), zone};
    }
    int m_asked = 0;

private:
    void take(const std::shared_ptr<frame_link>& link, const frame& value)
    {
        ++m_asked;
        m_take(link, value);
    }

    handler m_take;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::vector<std::shared_ptr<frame_link>> m_links;
};

} // namespace pepperturn::test
