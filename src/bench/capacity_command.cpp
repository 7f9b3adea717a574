// SPDX-License-Identifier: BSL-1.0
// `pepperturn-bench capacity`: what the decision core's parts cost as their
// tables grow, with a straight line through the figures.
#include "pepperturn/bench/commands.hpp"

#include "pepperturn/codec/wire.hpp"
#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/core/systems.hpp"

#include <cmath>
#include <cxxopts.hpp>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace pepperturn::bench {

namespace {

constexpr std::uint32_t partitions = 16;
constexpr std::size_t turn_bytes = 800;
constexpr std::uint32_t turns_each = 4;

struct point
{
    double m_size = 0;
    double m_value = 0;
};

struct measurement
{
    std::string m_name;
    std::string m_unit;
    std::string m_size_of;
    std::vector<point> m_points;
};

struct line
{
    double m_fixed = 0;
    double m_slope = 0;
    /// Largest distance of a point from the line, as a share of the line.
    double m_residual = 0;
};

line fit(const std::vector<point>& points)
{
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (const auto& p : points)
    {
        n += 1;
        sx += p.m_size;
        sy += p.m_value;
        sxx += p.m_size * p.m_size;
        sxy += p.m_size * p.m_value;
    }
    line out;
    out.m_slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    out.m_fixed = (sy - out.m_slope * sx) / n;
    for (const auto& p : points)
    {
        const double expected = out.m_fixed + out.m_slope * p.m_size;
        if (expected != 0)
            out.m_residual =
                std::max(out.m_residual,
                         std::abs(p.m_value - expected) / std::abs(expected));
    }
    return out;
}

double resident_bytes()
{
    malloc_trim(0);
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Microseconds of one of \p count runs.
double time_us(int count, const std::function<void()>& work)
{
    const system_clock clock;
    const auto begin = clock.now();
    for (int i = 0; i < count; ++i)
        work();
    return to_seconds(clock.now() - begin) * 1e6 / count;
}

/// A core that owns every partition and whose store answers at once.
class rig
{
public:
    rig(std::uint32_t runners, std::uint32_t vms,
        std::uint32_t partition_count = partitions)
        : m_core("vm0", 1, partition_count, m_clock, 1)
    {
        deployment config;
        config.m_revision = 1;
        config.m_limits.m_snapshot_entries = UINT64_MAX;
        config.m_limits.m_program_idle = milliseconds{1000000000};
        config.m_limits.m_writes_per_second = 1e9;
        config.m_limits.m_write_burst = 1e9;
        config.m_upstreams["llm"] = {"llm", call_kind::chat, true,
                                     milliseconds{60000}};
        for (std::uint32_t i = 0; i < runners; ++i)
        {
            runner_info info;
            info.m_name = "r" + std::to_string(i);
            info.m_upstream = "llm";
            config.m_runners[info.m_name] = info;
        }
        workspace_info workspace;
        workspace.m_name = "w";
        workspace.m_budget_tokens = UINT64_MAX / 4;
        workspace.m_max_active = 1000000;
        config.m_workspaces["w"] = workspace;
        m_core.handle(deployment_changed{config});
        vms_listed listed;
        for (std::uint32_t i = 0; i < vms; ++i)
            listed.m_vms.push_back(
                {"vm" + std::to_string(i), "127.0.0.1:1", "z", i != 0});
        m_core.handle(listed);
        // In steps, or the core takes it for a pause.
        for (int i = 0; i < 30; ++i)
        {
            m_clock.advance(milliseconds(100));
            drain();
        }
    }

    scheduler& core()
    {
        return m_core;
    }
    manual_clock& time()
    {
        return m_clock;
    }

    void drain()
    {
        for (auto out = m_core.tick(); !out.empty(); out = m_core.tick())
        {
            for (const auto& order : out)
                answer_order(order);
        }
    }

    /// One whole call: arrival, grant, report, commit, answer.
    void turn(const std::string& program)
    {
        call_request request;
        request.m_id = make_call_id("vm0", 1, m_next++);
        request.m_entry_vm = "vm0";
        request.m_session = {{"w", program, program}, "main"};
        request.m_upstream = "llm";
        request.m_messages = {{"user", std::string(turn_bytes, 'x')}};
        request.m_max_tokens = 200;
        request.m_queue_timeout = milliseconds{1000000};
        m_core.handle(call_submitted{request, {}});
        drain();
    }

private:
    void answer_order(const command& order)
    {
        if (const auto* create = std::get_if<create_entries>(&order))
        {
            for (const auto& entry : create->m_entries)
                m_core.handle(entry_write_completed{entry.m_partition,
                                                    entry.m_seq,
                                                    create_status::created,
                                                    {}});
        }
        else if (const auto* read = std::get_if<read_log>(&order))
            m_core.handle(log_read_completed{read->m_partition, log_image{}});
        else if (const auto* decided = std::get_if<send_decision>(&order))
        {
            const auto* permit = std::get_if<grant>(&decided->m_decision);
            if (permit == nullptr)
                return;
            auto report = report_for(*permit);
            report.m_end = attempt_end::complete;
            report.m_status = 200;
            report.m_body = std::string(turn_bytes, 'y');
            report.m_usage = {200, 0, 200};
            m_core.handle(call_reported{report});
        }
    }

    manual_clock m_clock;
    scheduler m_core;
    std::uint64_t m_next = 1;
};

std::string program_name(std::size_t index)
{
    return "p" + std::to_string(index);
}

/// Memory and time as programs grow in one process.
void measure_programs(const std::vector<std::size_t>& sizes,
                      std::vector<measurement>& out)
{
    measurement memory{
        "memory of programs with 4 turns of 1.6 kB", "bytes", "programs", {}};
    measurement call{"one whole call", "us", "programs", {}};
    measurement idle{"one tick with nothing to do", "us", "programs", {}};
    measurement snapshot{"records of a snapshot", "us", "programs", {}};
    rig around(20, 8);
    const double base = resident_bytes();
    std::size_t made = 0;
    for (const auto size : sizes)
    {
        for (; made < size; ++made)
        {
            for (std::uint32_t turn = 0; turn < turns_each; ++turn)
                around.turn(program_name(made));
            // Slowly enough for the runners to keep up.
            around.time().advance(milliseconds(10));
        }
        const auto at = static_cast<double>(size);
        memory.m_points.push_back({at, resident_bytes() - base});
        constexpr int calls = 2000;
        int next = 0;
        const auto ran = around.core().state().m_counters.m_ran;
        call.m_points.push_back({at, time_us(calls, [&] {
                                     around.turn(program_name(next++ % size));
                                 })});
        if (around.core().state().m_counters.m_ran != ran + calls)
            std::cout << "note: only "
                      << around.core().state().m_counters.m_ran - ran << " of "
                      << calls << " calls ran at " << size << "\n";
        idle.m_points.push_back({at, time_us(20000, [&] {
                                     around.time().advance(milliseconds(20));
                                     static_cast<void>(around.core().tick());
                                 })});
        snapshot.m_points.push_back(
            {at, time_us(1, [&] {
                 for (const auto& partition :
                      around.core().state().m_partitions)
                     static_cast<void>(detail::snapshot_records(partition));
             })});
    }
    out.insert(out.end(), {memory, call, idle, snapshot});
}

void measure_runners(std::vector<measurement>& out)
{
    measurement route{
        "one whole call by candidate runners", "us", "runners", {}};
    measurement report{"one load report", "us", "runners", {}};
    for (const std::uint32_t size : {21U, 100U, 300U, 600U})
    {
        rig around(size, 8);
        int next = 0;
        route.m_points.push_back({static_cast<double>(size), time_us(2000, [&] {
                                      around.turn(program_name(next++ % 100));
                                  })});
        report.m_points.push_back(
            {static_cast<double>(size), time_us(20000, [&] {
                 load_reported load;
                 load.m_runner = "r" + std::to_string(next++ % size);
                 around.core().handle(load);
             })});
    }
    out.insert(out.end(), {route, report});
}

void measure_vms(std::vector<measurement>& out)
{
    measurement tick{"one ownership scan, 16 partitions", "us", "VM rows", {}};
    measurement beat{"one heartbeat taken", "us", "VM rows", {}};
    for (const std::uint32_t size : {8U, 50U, 200U, 400U})
    {
        rig around(20, size);
        int next = 0;
        beat.m_points.push_back(
            {static_cast<double>(size), time_us(20000, [&] {
                 heartbeat mine;
                 mine.m_vm = "vm" + std::to_string(1 + next++ % (size - 1));
                 mine.m_owned = {{1, 0}, {2, 0}};
                 around.core().handle(mine);
             })});
        tick.m_points.push_back({static_cast<double>(size), time_us(2000, [&] {
                                     around.time().advance(milliseconds(60));
                                     static_cast<void>(around.core().tick());
                                 })});
    }
    out.insert(out.end(), {beat, tick});
}

void measure_log(std::vector<measurement>& out)
{
    measurement encode{"encoding an entry", "us", "records", {}};
    measurement bytes{"size of an entry", "bytes", "records", {}};
    for (const std::size_t size : {1U, 10U, 100U, 400U})
    {
        batch entry;
        for (std::size_t i = 0; i < size; ++i)
        {
            ended_record ended;
            ended.m_call = make_call_id("vm0", 1, i);
            ended.m_session = {{"w", "p", "p"}, "main"};
            ended.m_messages = {{"user", std::string(turn_bytes, 'x')}};
            ended.m_answer.m_body = std::string(turn_bytes, 'y');
            entry.m_records.emplace_back(ended);
        }
        const auto at = static_cast<double>(size);
        encode.m_points.push_back({at, time_us(500, [&] {
                                       static_cast<void>(
                                           codec::encode_batch(entry));
                                   })});
        bytes.m_points.push_back(
            {at, static_cast<double>(codec::encode_batch(entry).size())});
    }
    out.insert(out.end(), {encode, bytes});
}

void print(const std::vector<measurement>& all)
{
    std::cout << std::setprecision(5);
    for (const auto& one : all)
    {
        const auto through = fit(one.m_points);
        std::cout << one.m_name << " [" << one.m_unit << "]\n ";
        for (const auto& p : one.m_points)
            std::cout << "  " << p.m_size << ": " << p.m_value;
        std::cout << "\n   " << through.m_fixed << " + " << through.m_slope
                  << " x " << one.m_size_of << ", off by at most "
                  << std::lround(through.m_residual * 100) << "%\n";
    }
}

void write_json(const std::vector<measurement>& all, const std::string& file)
{
    std::ofstream out(file);
    for (const auto& one : all)
    {
        const auto through = fit(one.m_points);
        nlohmann::json points = nlohmann::json::array();
        for (const auto& p : one.m_points)
            points.push_back({p.m_size, p.m_value});
        out << nlohmann::json{{"name", one.m_name},
                              {"unit", one.m_unit},
                              {"size_of", one.m_size_of},
                              {"points", points},
                              {"fixed", through.m_fixed},
                              {"slope", through.m_slope},
                              {"residual", through.m_residual}}
                   .dump()
            << "\n";
    }
}

} // namespace

int capacity_command(int argc, char** argv)
{
    cxxopts::Options options("pepperturn-bench capacity",
                             "Costs at growing sizes, with fits.");
    options.add_options()(
        "programs", "sizes",
        cxxopts::value<std::vector<std::size_t>>()->default_value(
            "1000,10000,30000,100000"))(
        "json", "one object a measurement, to this file",
        cxxopts::value<std::string>())("h,help", "this text");
    constexpr int exit_usage = 2;
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        std::vector<measurement> all;
        measure_programs(parsed["programs"].as<std::vector<std::size_t>>(),
                         all);
        measure_runners(all);
        measure_vms(all);
        measure_log(all);
        print(all);
        if (parsed.count("json") > 0)
            write_json(all, parsed["json"].as<std::string>());
        return 0;
    }
    catch (const std::exception& error)
    {
        std::cerr << "pepperturn-bench: " << error.what() << "\n";
        return exit_usage;
    }
}

} // namespace pepperturn::bench
