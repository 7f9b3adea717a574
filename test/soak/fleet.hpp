// SPDX-License-Identifier: BSL-1.0
/// \file
/// The real daemons as processes on loopback, started and hurt by the soak.
#pragma once

#include "pepperturn/base/async.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <sys/types.h>

namespace pepperturn::soak {

/// Draws listeners' ports that the kernel gives to no outgoing connection, and
/// holds them: no other soak, and nobody else, binds them while it lives.
class port_claims
{
public:
    explicit port_claims(asio::io_context& io) : m_io(io) {}

    /// \returns 0 if none was found
    [[nodiscard]] std::uint16_t draw();

private:
    asio::io_context& m_io;
    /// Its own: where a run's faults fall depends on the seed alone.
    std::mt19937 m_random{std::random_device{}()};
    std::vector<tcp::socket> m_claims;
};

/// Ends with this object, and with the soak however that ends.
struct daemon_process
{
    daemon_process() = default;
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;
    ~daemon_process();

    std::string m_name;
    std::string m_program;
    std::string m_settings;
    std::string m_data_folder;
    std::string m_log;
    pid_t m_pid = -1;
};

/// Starts the process; it is only ever ended by its id.
/// \returns false if it runs already, or none could be made
[[nodiscard]] bool start(daemon_process& process);
void send_signal(const daemon_process& process, int signal);
/// Kills and waits.
void kill_and_wait(daemon_process& process);
/// Waits for a process that was told to end; kills it after \p patience_ms.
/// \returns false if it had to be killed
bool wait_for_end(daemon_process& process, unsigned patience_ms);
/// True if it has ended by itself.
[[nodiscard]] bool has_ended(daemon_process& process);

} // namespace pepperturn::soak
