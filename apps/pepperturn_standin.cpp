// SPDX-License-Identifier: BSL-1.0
// Stand-ins of what the system meets outside, for tests and experiments.
#include "pepperturn/net/http_client.hpp"
#include "pepperturn/net/http_server.hpp"
#include "pepperturn/standin/servers.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace {

using pepperturn::standin::stand_in;

std::unique_ptr<stand_in> open_kind(const std::string& kind,
                                    const cxxopts::ParseResult& options,
                                    std::string& reason)
{
    const auto port = options["port"].as<std::uint32_t>();
    if (kind == "engine")
    {
        pepperturn::standin::engine_limits limits;
        limits.m_slots = options["slots"].as<std::uint32_t>();
        limits.m_prefill_rate = options["prefill-rate"].as<double>();
        limits.m_decode_rate = options["decode-rate"].as<double>();
        limits.m_cache_tokens = options["cache-tokens"].as<std::uint64_t>();
        return pepperturn::standin::open_engine(port, limits, reason);
    }
    if (kind == "store")
        return pepperturn::standin::open_store(port, reason);
    if (kind == "platform")
        return pepperturn::standin::open_platform(port, reason);
    if (kind == "service")
        return pepperturn::standin::open_service(port, reason);
    reason = "no such stand-in: " + kind;
    return nullptr;
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    cxxopts::Options options("pepperturn-standin",
                             "Stand-in: engine, store, platform or service.");
    options.positional_help("KIND");
    options.add_options()("kind", "engine, store, platform or service",
                          cxxopts::value<std::string>())(
        "port", "0: a free one",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "ports-file", "written once the port is open: http=PORT",
        cxxopts::value<std::string>()->default_value(""))(
        "threads", "HTTP threads",
        cxxopts::value<unsigned>()->default_value("8"))(
        "slots", "engine: calls decoded together",
        cxxopts::value<std::uint32_t>()->default_value("8"))(
        "prefill-rate", "engine: tokens a second",
        cxxopts::value<double>()->default_value("8000"))(
        "decode-rate", "engine: tokens a second for each call",
        cxxopts::value<double>()->default_value("40"))(
        "cache-tokens", "engine: prefix cache",
        cxxopts::value<std::uint64_t>()->default_value("400000"))("h,help",
                                                                  "this text");
    options.parse_positional({"kind"});
    constexpr int exit_usage = 2;
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        if (parsed.count("kind") == 0)
        {
            std::cerr << "pepperturn-standin: KIND is needed\n";
            return exit_usage;
        }
        pepperturn::start_http_threads(parsed["threads"].as<unsigned>());
        std::string reason;
        const auto server =
            open_kind(parsed["kind"].as<std::string>(), parsed, reason);
        if (server == nullptr)
        {
            std::cerr << "pepperturn-standin: " << reason << "\n";
            return exit_usage;
        }
        const auto file = parsed["ports-file"].as<std::string>();
        if (!file.empty())
        {
            const auto temporary = file + ".new";
            std::ofstream(temporary) << "http=" << server->port() << "\n";
            std::rename(temporary.c_str(), file.c_str());
        }
        std::cout << "http=" << server->port() << std::endl;
        int which = 0;
        sigwait(&signals, &which);
        // Connections may be open; the process is over.
        std::_Exit(0);
    }
    catch (const std::exception& error)
    {
        std::cerr << "pepperturn-standin: " << error.what() << "\n";
        return exit_usage;
    }
}
