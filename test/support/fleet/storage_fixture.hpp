// SPDX-License-Identifier: BSL-1.0
/// \file
/// Storage VMs with separate disks, the platform's store and an edge VM's
/// client, in one process.
#pragma once

#include "pepperturn/fleet/storage_node.hpp"
#include "pepperturn/turns/turn_client.hpp"

#include "platform/cluster_source.hpp"
#include "platform/decode.hpp"
#include "support/fleet/loop.hpp"
#include "support/fleet/member_letters.hpp"
#include "support/fleet/platform_store.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace pepperturn::test {

inline constexpr std::uint32_t retention_ms = 60000;
/// A sync of a busy machine's disk may take seconds.
inline constexpr milliseconds default_timeout{8000};

/// A fleet's set-up, which is no promise: a machine that leaves the process no
/// processor or disk for seconds delays it.
inline constexpr milliseconds setup_limit{40000};

/// A storage VM with a disk that may outlive it.
struct storage_vm
{
    storage_vm(asio::io_context& io, const pepperturn::clock& time,
               const std::string& store, const std::string& name,
               const std::string& folder, bool bootstrap,
               bool own_metrics_port = true, std::uint32_t revoke_ms = 5000,
               std::uint16_t port = 0,
               std::uint32_t kept_links = fleet_settings{}.m_kept_links)
        : m_port(port != 0 ? port : free_port(io)), m_source(io, time, store)
    {
        fleet_settings settings;
        settings.m_name = name;
        settings.m_host = "127.0.0.1";
        settings.m_availability_zone = name;
        settings.m_bootstrap = bootstrap;
        settings.m_frames_address = "127.0.0.1:" + std::to_string(m_port);
        m_metrics_port = own_metrics_port ? free_port(io) : m_port;
        settings.m_metrics_address =
            "127.0.0.1:" + std::to_string(m_metrics_port);
        settings.m_data_folder = folder;
        settings.m_store_address = store;
        settings.m_revoke_ms = revoke_ms;
        settings.m_kept_links = kept_links;
        m_node = std::make_unique<storage_node>(
            io, time, settings,
            state_decoders{platform::decode_config, platform::decode_runner},
            m_source);
        std::string reason;
        INFO(reason);
        REQUIRE(m_node->start(reason));
    }

    std::uint16_t m_port;
    std::uint16_t m_metrics_port = 0;
    platform::cluster_source m_source;
    std::unique_ptr<storage_node> m_node;
};

/// Removes a folder at its end.
struct folder_remover
{
    explicit folder_remover(const std::string& folder) : m_folder(folder) {}
    ~folder_remover()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    folder_remover(const folder_remover&) = delete;
    folder_remover& operator=(const folder_remover&) = delete;

    const std::string& m_folder;
};

/// Storage VMs, a store, and an edge VM's client.
class storage_fixture
{
public:
    storage_fixture()
        : m_store(m_io), m_edge_source(m_io, m_time, m_store.address()),
          m_links(m_io, m_time, "edge"),
          m_client(m_io, m_time, m_links, "vm-0", 1)
    {
        m_folder = make_scratch_folder("fleet");
        REQUIRE_FALSE(m_folder.empty());
        m_edge_source.on_state([this](const cluster_state& update) {
            if (!merge_state(m_state, update).m_views.empty())
            {
                m_links.set_members(members_of(m_state.m_views));
                m_client.follow(m_state.m_views);
            }
        });
        m_edge_source.start();
    }
    ~storage_fixture() = default;
    storage_fixture(const storage_fixture&) = delete;
    storage_fixture& operator=(const storage_fixture&) = delete;

    void add(const std::string& name, bool bootstrap = true)
    {
        m_vms[name] = std::make_unique<storage_vm>(
            m_io, m_time, m_store.address(), name, m_folder + '/' + name,
            bootstrap, true, m_revoke_ms, 0, m_kept_links);
    }
    [[nodiscard]] std::string states() const
    {
        std::map<std::string, member_state> sorted;
        for (const auto& row : members_of(m_state.m_views))
            sorted[row.m_name] = row.m_state;
        std::string out;
        for (const auto& [name, state] : sorted)
        {
            out += name;
            out += letter_of(state);
        }
        return out;
    }
    bool wait_for(const std::string& expected)
    {
        return run_until(m_io, [&] { return states() == expected; });
    }
    /// Stops a VM for good.
    void lose(const std::string& name)
    {
        m_vms[name]->m_node->stop();
        m_vms[name]->m_source.pause();
        run_until(m_io, [&] { return !m_links.connected(name); });
        m_io.restart();
    }
    void start_three()
    {
        add("vm-0");
        add("vm-1");
        add("vm-2");
        REQUIRE(run_until(
            m_io, [&] { return states() == "vm-0Fvm-1Fvm-2F"; }, setup_limit));
        REQUIRE(run_until(
            m_io,
            [&] {
                return m_links.connected("vm-0") && m_links.connected("vm-1") &&
                       m_links.connected("vm-2");
            },
            setup_limit));
    }

    /// Restarts all VMs with their disks, at the same addresses.
    void restart_all()
    {
        stop_all();
        start_stopped();
    }
    void stop_all()
    {
        std::vector<std::string> names;
        names.reserve(m_vms.size());
        for (const auto& [name, vm] : m_vms)
            names.push_back(name);
        stop(names);
    }
    /// Stops VMs at the same moment.
    void stop(const std::vector<std::string>& names)
    {
        for (const auto& name : names)
        {
            // Its end shows by the end of the link.
            run_until(m_io, [&] { return m_links.connected(name); });
            m_vms[name]->m_node->stop();
            m_vms[name]->m_source.pause();
        }
        for (const auto& name : names)
        {
            run_until(m_io, [&] { return !m_links.connected(name); });
            m_ports[name] = m_vms[name]->m_port;
            m_stopped.push_back(std::move(m_vms[name]));
            m_vms.erase(name);
        }
        m_io.restart();
    }
    /// Starts all VMs that were stopped with their disks, at the same
    /// addresses.
    void start_stopped()
    {
        for (const auto& [name, port] : std::exchange(m_ports, {}))
            m_vms[name] = std::make_unique<storage_vm>(
                m_io, m_time, m_store.address(), name, m_folder + '/' + name,
                false, true, m_revoke_ms, port, m_kept_links);
    }

    /// Restarts a VM with its disk, at another address.
    void restart(const std::string& name)
    {
        stop({name});
        m_ports.erase(name);
        add(name, false);
    }

    static begin_request request(const std::string& id,
                                 const std::string& parent,
                                 std::uint64_t budget = 1000)
    {
        return {key_of("program"), key_of(id), 50, budget,
                retention_ms,      parent};
    }
    begin_result begin(const begin_request& what,
                       milliseconds timeout = default_timeout)
    {
        auto result =
            run_task(m_io, m_client.begin(what, m_time.now() + timeout));
        REQUIRE(result.has_value());
        return *result;
    }
    bool keep(const std::string& id, const std::string& parent)
    {
        const log_entry entry{retention_ms,
                              turn_record{id, parent, "in-" + id + ';',
                                          "out-" + id + ';', "run",
                                          key_of("program"), key_of(id), 30}};
        const auto stored = run_task(
            m_io, m_client.store(entry, m_time.now() + default_timeout));
        return stored.value_or(false);
    }
    static std::string text_of(const begin_result& result)
    {
        std::string out;
        for (const auto& turn : result.m_history)
            out += turn.m_input + turn.m_output;
        return out;
    }

    asio::io_context m_io{1};
    system_clock m_time;
    platform_store m_store;
    platform::cluster_source m_edge_source;
    member_links m_links;
    turn_client m_client;
    cluster_state m_state;
    /// Maximum time that a revoked key is accepted, for VMs added later.
    std::uint32_t m_revoke_ms = 5000;
    /// Number of storage VMs above which a fleet is large, for VMs added later.
    std::uint32_t m_kept_links = fleet_settings{}.m_kept_links;
    std::string m_folder;
    /// Destroyed after the VMs, whose writers may be running until then.
    folder_remover m_remover{m_folder};
    std::map<std::string, std::unique_ptr<storage_vm>> m_vms;
    std::vector<std::unique_ptr<storage_vm>> m_stopped;
    /// Of the VMs that are stopped.
    std::map<std::string, std::uint16_t> m_ports;
};

} // namespace pepperturn::test
