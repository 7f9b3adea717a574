// SPDX-License-Identifier: BSL-1.0
// `pepperturn-bench path`: the same turns sent straight to an engine and
// through VMs, in one run.
#include "pepperturn/bench/commands.hpp"

#include "pepperturn/base/time.hpp"
#include "pepperturn/net/event_splitter.hpp"
#include "pepperturn/net/http_client.hpp"

#include <algorithm>
#include <condition_variable>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace pepperturn::bench {

namespace {

using nlohmann::json;

struct sample
{
    double m_first_token_ms = 0;
    double m_turn_ms = 0;
    bool m_whole = false;
};

struct target
{
    std::string m_url;
    std::string m_model;
    std::string m_key;
    std::uint32_t m_max_tokens = 16;
};

/// One streamed turn; waits for its end.
sample run_turn(const target& to, const std::string& program,
                const std::string& text)
{
    struct progress
    {
        std::mutex m_mutex;
        std::condition_variable m_wake;
        bool m_over = false;
        sample m_sample;
        event_splitter m_events;
        instant m_begun{};
    };
    const system_clock time;
    auto state = std::make_shared<progress>();
    http_fetch request;
    request.m_base_url = to.m_url;
    request.m_method = "POST";
    request.m_path = "/v1/chat/completions";
    request.m_body = json{{"model", to.m_model},
                          {"stream", true},
                          {"max_tokens", to.m_max_tokens},
                          {"messages", {{{"role", "user"}, {"content", text}}}}}
                         .dump();
    if (!to.m_key.empty())
        request.m_headers = {{"Authorization", "Bearer " + to.m_key},
                             {"Pepperturn-Program", program}};
    state->m_begun = time.now();
    const auto since = [state](const clock& now) {
        return to_seconds(now.now() - state->m_begun) * 1000;
    };
    const auto on_data = [state, since, time](const std::string& data) {
        if (data.find("\"content\"") != std::string::npos &&
            state->m_sample.m_first_token_ms == 0)
            state->m_sample.m_first_token_ms = since(time);
        if (data == "[DONE]")
            state->m_sample.m_whole = true;
    };
    fetch_stream(
        request,
        [state, on_data](std::string_view bytes) {
            const std::lock_guard lock(state->m_mutex);
            state->m_events.consume(bytes, on_data);
        },
        [state, since, time](const http_result&) {
            const std::lock_guard lock(state->m_mutex);
            state->m_sample.m_turn_ms = since(time);
            state->m_over = true;
            state->m_wake.notify_all();
        });
    std::unique_lock lock(state->m_mutex);
    state->m_wake.wait(lock, [&state] { return state->m_over; });
    return state->m_sample;
}

std::vector<sample> run_sessions(const std::vector<target>& targets,
                                 unsigned sessions, unsigned turns,
                                 const std::string& tag)
{
    std::mutex mutex;
    std::vector<sample> all;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < sessions; ++i)
    {
        workers.emplace_back([&, i] {
            std::vector<sample> mine;
            for (unsigned turn = 0; turn < turns; ++turn)
                mine.push_back(run_turn(targets[(i + turn) % targets.size()],
                                        tag + std::to_string(i),
                                        "turn " + std::to_string(turn)));
            const std::lock_guard lock(mutex);
            all.insert(all.end(), mine.begin(), mine.end());
        });
    }
    for (auto& worker : workers)
        worker.join();
    return all;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
}

struct summary
{
    double m_first_p50 = 0;
    double m_first_p99 = 0;
    double m_turn_p50 = 0;
    double m_turn_p99 = 0;
    std::size_t m_failed = 0;
};

summary summarise(const std::vector<sample>& all)
{
    summary out;
    std::vector<double> first;
    std::vector<double> whole;
    for (const auto& one : all)
    {
        out.m_failed += one.m_whole ? 0 : 1;
        first.push_back(one.m_first_token_ms);
        whole.push_back(one.m_turn_ms);
    }
    out.m_first_p50 = percentile(first, 0.50);
    out.m_first_p99 = percentile(first, 0.99);
    out.m_turn_p50 = percentile(whole, 0.50);
    out.m_turn_p99 = percentile(whole, 0.99);
    return out;
}

void print(const char* name, const summary& row)
{
    std::cout << std::fixed << std::setprecision(2) << std::left
              << std::setw(10) << name << " first token p50 " << row.m_first_p50
              << " ms p99 " << row.m_first_p99 << " ms, turn p50 "
              << row.m_turn_p50 << " ms p99 " << row.m_turn_p99
              << " ms, failed " << row.m_failed << "\n";
}

} // namespace

int path_command(int argc, char** argv)
{
    cxxopts::Options options("pepperturn-bench path",
                             "Time added over calling the engines directly.");
    options.add_options()("vms", "HTTP addresses of VMs",
                          cxxopts::value<std::vector<std::string>>())(
        "engines", "HTTP addresses of engines",
        cxxopts::value<std::vector<std::string>>())(
        "key", "workspace key", cxxopts::value<std::string>())(
        "model", "upstream",
        cxxopts::value<std::string>()->default_value("agent-llm"))(
        "sessions", "at a time",
        cxxopts::value<unsigned>()->default_value("50"))(
        "turns", "each",
        cxxopts::value<unsigned>()->default_value("20"))("h,help", "this text");
    constexpr int exit_usage = 2;
    constexpr int exit_failed = 1;
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        const auto model = parsed["model"].as<std::string>();
        std::vector<target> direct;
        for (const auto& url : parsed["engines"].as<std::vector<std::string>>())
            direct.push_back({url, model, {}});
        std::vector<target> through;
        for (const auto& url : parsed["vms"].as<std::vector<std::string>>())
            through.push_back({url, model, parsed["key"].as<std::string>()});
        const auto sessions = parsed["sessions"].as<unsigned>();
        const auto turns = parsed["turns"].as<unsigned>();
        start_http_threads(16);
        run_sessions(through, sessions, 2, "warm");
        run_sessions(direct, sessions, 2, "warm");
        const auto engine =
            summarise(run_sessions(direct, sessions, turns, "d"));
        const auto system =
            summarise(run_sessions(through, sessions, turns, "p"));
        print("direct", engine);
        print("through", system);
        std::cout << "added      first token p50 "
                  << system.m_first_p50 - engine.m_first_p50 << " ms p99 "
                  << system.m_first_p99 - engine.m_first_p99 << " ms, turn p50 "
                  << system.m_turn_p50 - engine.m_turn_p50 << " ms p99 "
                  << system.m_turn_p99 - engine.m_turn_p99 << " ms\n";
        return system.m_failed == 0 ? 0 : exit_failed;
    }
    catch (const std::exception& error)
    {
        std::cerr << "pepperturn-bench: " << error.what() << "\n";
        return exit_usage;
    }
}

} // namespace pepperturn::bench
