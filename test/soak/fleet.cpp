// SPDX-License-Identifier: BSL-1.0
#include "soak/fleet.hpp"

#include "support/fleet/listener_port.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace pepperturn::soak {

namespace {

/// In the new process: becomes the daemon, which the kernel kills when the
/// soak ends, and which holds none of the soak's sockets open.
[[noreturn]] void become(const char* log, char* const* arguments, pid_t soak)
{
    constexpr int cannot_run = 127;
    const int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (out < 0 || getppid() != soak)
        _exit(cannot_run);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments);
    _exit(cannot_run);
}

} // namespace

std::uint16_t port_claims::draw()
{
    auto claim = test::claim_listener_port(m_io, m_random);
    if (!claim)
        return 0;
    const auto port = claim->local_endpoint().port();
    // Bound alone; from here on a daemon may listen there beside it.
    claim->set_option(tcp::socket::reuse_address(true));
    m_claims.push_back(std::move(*claim));
    return port;
}

daemon_process::~daemon_process()
{
    kill_and_wait(*this);
}

bool start(daemon_process& process)
{
    if (process.m_pid > 0)
        return false;
    std::string option = "--settings";
    const std::array<char*, 4> arguments{process.m_program.data(),
                                         option.data(),
                                         process.m_settings.data(), nullptr};
    const pid_t soak = getpid();
    process.m_pid = fork();
    if (process.m_pid == 0)
        become(process.m_log.c_str(), arguments.data(), soak);
    return process.m_pid > 0;
}

void send_signal(const daemon_process& process, int signal)
{
    if (process.m_pid > 0)
        kill(process.m_pid, signal);
}

void kill_and_wait(daemon_process& process)
{
    if (process.m_pid <= 0)
        return;
    kill(process.m_pid, SIGKILL);
    waitpid(process.m_pid, nullptr, 0);
    process.m_pid = -1;
}

bool wait_for_end(daemon_process& process, unsigned patience_ms)
{
    constexpr unsigned step_ms = 10;
    for (unsigned waited = 0; waited < patience_ms; waited += step_ms)
    {
        if (has_ended(process))
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(step_ms));
    }
    kill_and_wait(process);
    return false;
}

bool has_ended(daemon_process& process)
{
    if (process.m_pid <= 0)
        return true;
    if (waitpid(process.m_pid, nullptr, WNOHANG) != process.m_pid)
        return false;
    process.m_pid = -1;
    return true;
}

} // namespace pepperturn::soak
