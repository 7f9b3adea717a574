// SPDX-License-Identifier: BSL-1.0
// The daemon: every role of one VM.
#include "pepperturn/daemon/front.hpp"
#include "pepperturn/net/http_client.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <thread>

namespace {

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

void start_logging(const pepperturn::log_settings& settings)
{
    FLAGS_minloglevel = static_cast<int>(settings.m_level);
    if (settings.m_directory.empty())
        FLAGS_logtostderr = true;
    else
        FLAGS_log_dir = settings.m_directory;
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging("pepperturnd");
}

/// Written under another name first, so that a reader sees all or nothing.
void write_ports(const std::string& file, std::uint32_t http, std::uint32_t rpc)
{
    if (file.empty())
        return;
    const auto temporary = file + ".new";
    std::ofstream(temporary) << "http=" << http << " rpc=" << rpc << "\n";
    std::rename(temporary.c_str(), file.c_str());
}

/// Signals are taken by one thread that waits for them.
sigset_t block_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

int serve(const pepperturn::daemon_settings& settings)
{
    const sigset_t signals = block_signals();
    start_logging(settings.m_log);
    pepperturn::start_http_threads(settings.m_vm.m_http_threads);
    std::string reason;
    auto loop = pepperturn::make_peer_loop(settings.m_tls, reason);
    if (loop == nullptr)
    {
        std::cerr << "pepperturnd: " << reason << "\n";
        return exit_failed;
    }
    pepperturn::node vm(settings, std::move(loop));
    pepperturn::front face(settings, vm);
    const auto rpc = vm.listen(reason);
    const auto http = rpc == 0 ? 0 : face.open(reason);
    if (http == 0)
    {
        std::cerr << "pepperturnd: " << reason << "\n";
        return exit_failed;
    }
    LOG(INFO) << "event=listening vm=" << settings.m_vm.m_id << " http=" << http
              << " rpc=" << rpc;
    write_ports(settings.m_vm.m_ports_file, http, rpc);
    std::thread([signals, &vm] {
        int which = 0;
        sigwait(&signals, &which);
        vm.request_stop();
    }).detach();
    vm.run();
    face.close();
    google::FlushLogFiles(google::INFO);
    // Threads of the HTTP library may still hold callbacks into the VM; the
    // process is over, so nothing is torn down under them.
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("pepperturnd",
                             "Scheduler for agent programs: one VM.");
    options.add_options()("c,config", "INI file",
                          cxxopts::value<std::string>())(
        "s,set", "section.key=value over the file; may be repeated",
        cxxopts::value<std::vector<std::string>>())(
        "check", "check the settings and exit")("h,help", "this text");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("config") == 0)
        {
            std::cerr << "pepperturnd: --config FILE is needed\n";
            return exit_usage;
        }
        std::vector<std::string> overrides;
        if (parsed.count("set") > 0)
            overrides = parsed["set"].as<std::vector<std::string>>();
        std::vector<std::string> errors;
        const auto settings = pepperturn::load_settings(
            parsed["config"].as<std::string>(), overrides, errors);
        for (const auto& error : errors)
            std::cerr << "pepperturnd: " << error << "\n";
        if (!settings)
            return exit_usage;
        if (parsed.count("check") > 0)
        {
            std::cout << "settings are valid\n";
            return 0;
        }
        return serve(*settings);
    }
    catch (const std::exception& error)
    {
        std::cerr << "pepperturnd: " << error.what() << "\n";
        return exit_usage;
    }
}
