// SPDX-License-Identifier: BSL-1.0
/// \file
/// A small system around the VM that a crowd meets: real daemons on loopback,
/// with stand-ins for the platform's store and a runner.
#pragma once

#include "clients/forms.hpp"

#include "soak/fleet.hpp"
#include "support/fleet/platform_store.hpp"

#include <filesystem>

namespace pepperturn::clients {

class edge_system
{
public:
    /// \param limits those of the VM that the crowd meets
    edge_system(asio::io_context& io, const std::string& bin,
                const crowd_case& limits);
    ~edge_system();
    edge_system(const edge_system&) = delete;
    edge_system& operator=(const edge_system&) = delete;

    /// Starts the daemons. \returns false if one cannot be started
    [[nodiscard]] bool start();
    /// Where the crowd goes.
    [[nodiscard]] tcp::endpoint target() const;
    /// Where ordinary callers go.
    [[nodiscard]] tcp::endpoint callers() const;
    /// The process that the crowd meets.
    [[nodiscard]] soak::daemon_process& met()
    {
        return m_limits.m_listener == listener::frames ? m_storage : m_edge;
    }
    [[nodiscard]] bool ended()
    {
        return has_ended(m_edge) || has_ended(m_storage);
    }
    /// The ends of the daemons' logs.
    [[nodiscard]] std::string logs() const;

private:
    /// The runner: answers every request.
    task<> serve_runner(std::shared_ptr<tcp::socket> socket);
    void write_settings(soak::daemon_process& process, bool storage);
    void put_config();
    std::string draw_address();

    asio::io_context& m_io;
    crowd_case m_limits;
    std::filesystem::path m_folder;
    test::platform_store m_store;
    tcp::acceptor m_runner;
    soak::port_claims m_ports;
    std::string m_callers;
    std::string m_ready;
    std::string m_relay;
    std::string m_frames;
    soak::daemon_process m_edge;
    soak::daemon_process m_storage;
};

/// Body of the runner's answer to an ordinary request.
inline constexpr const char* answer_body = "the runner's answer";

} // namespace pepperturn::clients
