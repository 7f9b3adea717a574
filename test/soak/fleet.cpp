// SPDX-License-Identifier: BSL-1.0
#include "soak/fleet.hpp"

#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace pepperturn::soak {

bool start(daemon_process& process)
{
    if (process.m_pid > 0)
        return false;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                     process.m_log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string option = "--settings";
    std::array<char*, 4> arguments{process.m_program.data(), option.data(),
                                   process.m_settings.data(), nullptr};
    const int fault = posix_spawn(&process.m_pid, process.m_program.c_str(),
                                  &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return fault == 0;
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
