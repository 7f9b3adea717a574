// SPDX-License-Identifier: BSL-1.0
/// \file
/// An edge VM whose loop, clock and store are its own, so that the storage VMs
/// that it follows can be frozen, killed or cut off from the store alone.
#pragma once

#include "pepperturn/fleet/edge_node.hpp"

#include "support/fleet/edge_vm.hpp"
#include "support/fleet/stoppable_clock.hpp"

#include <algorithm>

namespace pepperturn::test {

class separate_edge
{
public:
    /// Starts three storage VMs and an edge VM that serves by configuration 4,
    /// which it has received from them.
    /// \param storage_has_store the storage VMs still reach the store when the
    /// edge VM starts
    explicit separate_edge(bool storage_has_store = true)
    {
        // A change in this store is newer than all that the other one holds.
        for (int i = 0; i < 1000; ++i)
            m_store.put("other", std::to_string(i));
        m_fleet.start_three();
        m_fleet.m_store.put("op/config", config(4));
        write_runner("ready");
        REQUIRE(run_until(m_fleet.m_io, [this] { return storage_knows(); }));
        m_fleet.m_store.set_down(!storage_has_store);
        m_time.stop_now();
        start_edge();
        REQUIRE(
            run([this] { return figure("config_version") == 4; }, start_limit));
        if (storage_has_store)
            run_for(milliseconds(1500));
    }
    ~separate_edge() = default;
    separate_edge(const separate_edge&) = delete;
    separate_edge& operator=(const separate_edge&) = delete;

    /// The operator's change: acknowledged by the store, and told by the
    /// storage VMs if they are well.
    void change_config(int version)
    {
        m_fleet.m_store.put("op/config", config(version));
        m_store.put("op/config", config(version));
    }
    /// The runner's own change, as \ref change_config.
    void write_runner(const std::string& state)
    {
        const auto text =
            R"({"service":"a","address":"127.0.0.1:5","zone":"vm-0",)"
            R"("slots":4,"state":")" +
            state + R"(","seq":)" + std::to_string(++m_sequence) + "}";
        m_fleet.m_store.put("servers/i-0", text);
        m_store.put("servers/i-0", text);
    }
    /// The runner is to receive nothing from now on.
    void drain_runner()
    {
        m_beats = false;
        write_runner("draining");
    }
    /// The operator wants no request sent to the runner's zone.
    void evacuate_zone()
    {
        m_fleet.m_store.put("op/evacuate/vm-0", "{}");
        m_store.put("op/evacuate/vm-0", "{}");
    }
    void kill_storage()
    {
        for (const auto* name : {"vm-0", "vm-1", "vm-2"})
            m_fleet.lose(name);
        m_storage_runs = false;
    }
    void freeze_storage()
    {
        m_storage_runs = false;
    }

    /// Runs all VMs that are not frozen.
    /// \returns false if \p done was not true within \p limit
    bool run(const std::function<bool()>& done, milliseconds limit)
    {
        const auto end = m_time.now() + limit;
        while (!done())
        {
            if (m_time.now() >= end)
                return false;
            step();
        }
        return true;
    }
    void run_for(milliseconds span)
    {
        run([] { return false; }, span);
    }
    /// Value of a metric; 0 if it is not reported.
    [[nodiscard]] std::uint64_t figure(const std::string& name) const
    {
        return metric_value(m_node->metrics_text(), name);
    }

    storage_fixture m_fleet;
    asio::io_context m_io{1};
    stoppable_clock m_time;
    /// The platform's store, as this VM reaches it.
    platform_store m_store{m_io};

private:
    static constexpr milliseconds step_span{10};
    static constexpr int steps_a_tick = 25;
    static constexpr milliseconds start_limit{10000};

    static std::string config(int version)
    {
        return R"({"version":)" + std::to_string(version) +
               R"(,"routes":[],"services":[]})";
    }
    [[nodiscard]] bool storage_knows() const
    {
        return std::all_of(
            m_fleet.m_vms.begin(), m_fleet.m_vms.end(), [](const auto& row) {
                const auto& state = row.second->m_node->state();
                return !state.m_config.empty() && !state.m_runners.empty();
            });
    }
    void start_edge()
    {
        fleet_settings settings;
        settings.m_name = "edge-9";
        settings.m_host = "127.0.0.1";
        settings.m_availability_zone = "vm-0";
        settings.m_callers_address = edge_vm::free_address(m_io);
        settings.m_ready_address = edge_vm::free_address(m_io);
        for (const auto& [name, vm] : m_fleet.m_vms)
            settings.m_seeds.push_back("127.0.0.1:" +
                                       std::to_string(vm->m_port));
        settings.m_store_address = m_store.address();
        settings.m_apply_ms = 2000;
        m_source = std::make_unique<platform::cluster_source>(
            m_io, m_time, m_store.address(), platform::edge_backoff);
        m_node = std::make_unique<edge_node>(
            m_io, m_time, settings, wire_names{},
            state_decoders{platform::decode_config, platform::decode_runner},
            *m_source);
        std::string reason;
        REQUIRE(m_node->start(reason));
    }
    void step()
    {
        const auto end = std::chrono::steady_clock::now() + step_span;
        if (++m_steps % steps_a_tick == 0)
            tick();
        while (std::chrono::steady_clock::now() < end)
        {
            if (m_storage_runs)
            {
                m_fleet.m_io.restart();
                m_fleet.m_io.poll();
            }
            m_io.restart();
            m_io.run_one_for(milliseconds(1));
        }
        m_time.advance(step_span);
    }
    void tick()
    {
        m_node->tick();
        if (!m_storage_runs)
            return;
        // A runner's heartbeat, so that watches return soon, as in service.
        if (m_beats)
            write_runner("ready");
        for (const auto& [name, vm] : m_fleet.m_vms)
            vm->m_node->tick();
    }

    std::unique_ptr<platform::cluster_source> m_source;
    std::unique_ptr<edge_node> m_node;
    bool m_storage_runs = true;
    bool m_beats = true;
    int m_steps = 0;
    int m_sequence = 0;
};

} // namespace pepperturn::test
