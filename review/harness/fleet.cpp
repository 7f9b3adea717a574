// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using steady = std::chrono::steady_clock;

/// As on the sheet of a small deployment.
long memory_mb(const machine& vm)
{
    return vm.m_storage ? 120 : 110;
}

} // namespace

fleet::fleet(record_file& record, std::string root)
    : m_record(record), m_root(std::move(root))
{
    const char* base = std::getenv("TMPDIR");
    std::string pattern =
        std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    m_folder = mkdtemp(pattern.data());
}

fleet::~fleet()
{
    m_ending = true;
    if (m_memory_watch.joinable())
        m_memory_watch.join();
    for (const auto& vm : m_machines)
    {
        if (vm.m_peak_kib > 0)
            m_record.line("memory vm=" + vm.m_name +
                          " peak_kib=" + std::to_string(vm.m_peak_kib));
    }
    for (auto& vm : m_machines)
        kill_process(vm, SIGKILL);
    m_store.reset();
    if (std::getenv("KEEP_LOGS") != nullptr)
    {
        m_record.line("logs kept");
        std::fprintf(stderr, "logs: %s\n", m_folder.c_str());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

bool fleet::bindable(const std::string& ip, int port) const
{
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = address_of(ip, port);
    const bool good =
        bind(handle, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    close(handle);
    return good;
}

std::string fleet::free_ip()
{
    return m_net + std::to_string(m_next_host++);
}

bool fleet::start(unsigned edges_per_zone)
{
    // A net of loopback addresses on which all ports are free.
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        constexpr unsigned first = 20;
        constexpr unsigned count = 200;
        const auto octet = [] { return std::to_string(first + draw(count)); };
        m_net = "127." + octet();
        m_net += '.' + octet();
        m_net += '.';
        bool good = true;
        for (int host = 10; host < 60 && good; ++host)
        {
            for (const int port :
                 {m_front_port, m_ready_port, m_control_port, m_metrics_port,
                  m_relay_port, m_store_port, m_runner_port})
                good = good && bindable(m_net + std::to_string(host), port);
        }
        if (good)
            break;
        m_net.clear();
    }
    if (m_net.empty())
        return false;
    m_store_ip = free_ip();
    m_store = std::make_unique<metadata_store>(m_store_ip, m_store_port);
    m_store->on_write([this](const std::string& key, const std::string& value) {
        m_record.line("store_written key=" + key +
                      " value=" + value.substr(0, 700));
    });
    for (const auto& zone : m_zones)
    {
        m_machines.push_back(
            {"storage-" + zone + "-1", zone, free_ip(), true, {}, -1});
        for (unsigned i = 1; i <= edges_per_zone; ++i)
            m_machines.push_back({"edge-" + zone + '-' + std::to_string(i),
                                  zone,
                                  free_ip(),
                                  false,
                                  {},
                                  -1});
    }
    for (auto& vm : m_machines)
    {
        vm.m_folder = m_folder + '/' + vm.m_name;
        std::filesystem::create_directories(vm.m_folder + "/data");
    }
    for (auto& vm : m_machines)
        start_process(vm, true);
    return true;
}

std::string fleet::settings_of(const machine& vm, bool bootstrap) const
{
    std::string seeds;
    for (const auto& row : m_machines)
    {
        if (row.m_storage)
            seeds += (seeds.empty() ? "" : ",") + row.m_ip + ':' +
                     std::to_string(m_control_port);
    }
    const auto at = [&](int port) {
        return vm.m_ip + ':' + std::to_string(port);
    };
    // platform/node.ini, filled in as DEPLOY.md tells.
    std::ostringstream out;
    out << "[vm]\nname = " << vm.m_name << "\nhost = " << vm.m_ip
        << "\navailability_zone = " << vm.m_zone
        << "\nzones = brno-a=morava,brno-b=morava,olomouc=morava"
        << "\nbootstrap = " << (bootstrap ? "true" : "false")
        << "\ngrace_s = 8\nmemory_mb = " << memory_mb(vm)
        << "\n[listen]\ncallers = " << (vm.m_storage ? "" : at(m_front_port))
        << "\nready = " << (vm.m_storage ? "" : at(m_ready_port))
        << "\nframes = " << (vm.m_storage ? at(m_control_port) : "")
        << "\nmetrics = " << at(m_metrics_port)
        << "\nrelay = " << at(m_relay_port) << "\nseeds = " << seeds
        << "\n[storage]\nfolder = "
        << (vm.m_storage ? vm.m_folder + "/data" : "")
        << "\ndisk_losses = 1\n[placement]\nfrom_shared_tokens = 8192"
        << "\n[store]\naddress = " << m_store_ip << ':' << m_store_port
        << "\n[bounds]\nconfig_apply_ms = 2000\n";
    return out.str();
}

void fleet::enforce_memory()
{
    m_memory_watch = std::thread([this] { watch_memory(); });
}

long fleet::private_kib(const machine& vm)
{
    const std::lock_guard lock(m_process_mutex);
    if (vm.m_pid <= 0)
        return 0;
    std::ifstream status("/proc/" + std::to_string(vm.m_pid) + "/statm");
    long total = 0;
    long resident = 0;
    long shared = 0;
    if (!(status >> total >> resident >> shared))
        return 0;
    // The pages of programs and libraries are not counted.
    return (resident - shared) * (sysconf(_SC_PAGESIZE) / 1024);
}

void fleet::watch_memory()
{
    constexpr int interval_ms = 10;
    constexpr long kib_per_mib = 1024;
    constexpr int restart_ms = 1000;
    std::map<machine*, steady::time_point> restarts;
    while (!m_ending)
    {
        pause_ms(interval_ms);
        for (auto& vm : m_machines)
        {
            const auto due = restarts.find(&vm);
            if (due != restarts.end() && steady::now() >= due->second)
            {
                restarts.erase(due);
                start_process(vm, false);
            }
            const long kib = private_kib(vm);
            vm.m_peak_kib = std::max(vm.m_peak_kib, kib);
            if (kib <= memory_mb(vm) * kib_per_mib)
                continue;
            m_record.line("over_memory vm=" + vm.m_name +
                          " private_kib=" + std::to_string(kib) +
                          " memory_mb=" + std::to_string(memory_mb(vm)));
            ++m_memory_kills;
            kill_process(vm, SIGKILL);
            restarts[&vm] =
                steady::now() + std::chrono::milliseconds(restart_ms);
        }
    }
}

void fleet::start_process(machine& vm, bool bootstrap)
{
    const std::lock_guard lock(m_process_mutex);
    if (vm.m_pid > 0)
        return;
    const auto settings = vm.m_folder + "/settings.ini";
    std::ofstream(settings) << settings_of(vm, bootstrap);
    const auto log = vm.m_folder + "/log.txt";
    const std::string program = std::string("target/bin/pepperturn-") +
                                (vm.m_storage ? "storage" : "edge");
    const pid_t parent = getpid();
    const pid_t pid = fork();
    if (pid == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent || chdir(m_root.c_str()) != 0)
            _exit(127);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        std::vector<std::string> variables{"PEPPERTURN_NODE_FILE=" + settings};
        for (const char* name : {"PATH", "HOME", "LANG"})
        {
            if (const char* value = std::getenv(name))
                variables.push_back(std::string(name) + '=' + value);
        }
        std::vector<char*> environment;
        environment.reserve(variables.size() + 1);
        for (auto& row : variables)
            environment.push_back(row.data());
        environment.push_back(nullptr);
        std::string path = program;
        char* arguments[] = {path.data(), nullptr};
        execve(path.c_str(), arguments, environment.data());
        _exit(127);
    }
    vm.m_pid = pid;
    m_record.line("process_started vm=" + vm.m_name +
                  " bootstrap=" + (bootstrap ? "true" : "false"));
}

void fleet::kill_process(machine& vm, int signal)
{
    const std::lock_guard lock(m_process_mutex);
    if (vm.m_pid <= 0)
        return;
    kill(vm.m_pid, signal);
    waitpid(vm.m_pid, nullptr, 0);
    vm.m_pid = -1;
    m_record.line("process_ended vm=" + vm.m_name +
                  " signal=" + std::to_string(signal));
}

void fleet::empty_disk(machine& vm)
{
    std::filesystem::remove_all(vm.m_folder + "/data");
    std::filesystem::create_directories(vm.m_folder + "/data");
    m_record.line("disk_emptied vm=" + vm.m_name);
}

machine& fleet::find(const std::string& name)
{
    return *std::find_if(m_machines.begin(), m_machines.end(),
                         [&](const machine& vm) { return vm.m_name == name; });
}

bool fleet::ready(const machine& vm) const
{
    auto peer = connection::open(vm.m_ip, m_ready_port, 500);
    if (!peer || !peer->write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    const auto answer = peer->read(false, 1000);
    return answer && answer->m_status == 200;
}

bool fleet::wait_until_ready(int timeout_ms)
{
    const auto until = steady::now() + std::chrono::milliseconds(timeout_ms);
    while (steady::now() < until)
    {
        const bool good = std::all_of(
            m_machines.begin(), m_machines.end(),
            [&](const machine& vm) { return vm.m_storage || ready(vm); });
        if (good)
            return true;
        pause_ms(100);
    }
    return false;
}

} // namespace review
