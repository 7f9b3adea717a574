// SPDX-License-Identifier: BSL-1.0
#include "clients/process_meter.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

namespace pepperturn::clients {

namespace {

std::string proc_file(pid_t process, const char* name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

} // namespace

std::uint64_t private_bytes(pid_t process)
{
    constexpr std::uint64_t kilobyte = 1024;
    std::ifstream status(proc_file(process, "status"));
    std::string name;
    while (status >> name)
    {
        std::uint64_t kilobytes = 0;
        if (name == "RssAnon:" && status >> kilobytes)
            return kilobytes * kilobyte;
        std::getline(status, name);
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code ec;
    std::filesystem::directory_iterator entries(proc_file(process, "fd"), ec);
    std::size_t count = 0;
    while (!ec && entries != std::filesystem::directory_iterator())
    {
        ++count;
        entries.increment(ec);
    }
    return count;
}

void measure(process_peak& peak, pid_t process)
{
    peak.m_private_bytes =
        std::max(peak.m_private_bytes, private_bytes(process));
    peak.m_descriptors =
        std::max(peak.m_descriptors, open_descriptors(process));
}

} // namespace pepperturn::clients
