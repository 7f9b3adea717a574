// SPDX-License-Identifier: BSL-1.0
// A program that spends its budget over more than retention_s, while one
// storage VM is down for some seconds.
#include "../harness/scene.hpp"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr unsigned program_count = 6;
constexpr unsigned most_of_one_turn = 30;
constexpr unsigned budget = 10 * most_of_one_turn;
constexpr unsigned early_turns = 8;
constexpr unsigned late_turns = 6;

struct program
{
    std::string m_id = fresh_id();
    unsigned m_tokens = 0;
};

/// One turn of a sub-agent of the program, which begins a line of its own.
unsigned take_turn(scene& world, program& who, const machine& edge)
{
    client_request request;
    request.m_target = "/turn/a";
    request.m_id = fresh_id();
    request.m_headers = {
        {"X-Model", "m"},
        {"X-Program-Id", who.m_id},
        {"X-Session-Id", fresh_id()},
        {"X-Program-Deadline-Ms", "120000"},
        {"X-Token-Budget", std::to_string(budget)},
        {"X-Token-Count", "400," + std::to_string(most_of_one_turn)}};
    request.m_body = "input of a sub-agent\n";
    const auto answer =
        send_request(world.m_record, world.m_fleet, edge, request);
    who.m_tokens += answer.m_events * stride;
    return answer.m_status;
}

} // namespace

int main(int, char** arguments)
{
    scene world(arguments[1]);
    if (!world.start(2, 2))
    {
        std::puts("the fleet did not come up");
        return exit_unusable;
    }
    auto& record = world.m_record;
    // LATE_EDGE: another VM for the late turns, to try variants by hand.
    const char* late = std::getenv("LATE_EDGE");
    const auto& edge = world.m_fleet.find("edge-brno-a-1");
    const auto& late_edge =
        world.m_fleet.find(late == nullptr ? "edge-brno-a-1" : late);
    auto& storage = world.m_fleet.find("storage-brno-a-1");
    const double start = record.now();
    std::vector<program> programs(program_count);
    for (auto& who : programs)
    {
        for (unsigned i = 0; i < early_turns; ++i)
        {
            if (take_turn(world, who, edge) != 200)
                return exit_unusable;
        }
    }
    // The program comes back within retention_s, once.
    wait_until(world, start, 50);
    for (auto& who : programs)
    {
        if (take_turn(world, who, edge) != 200)
            return exit_unusable;
    }
    // The disruption: one storage VM's process is killed, and is started again
    // after 2.8 s.
    wait_until(world, start, 66);
    if (with_trouble())
        world.m_fleet.kill_process(storage, SIGKILL);
    for (unsigned i = 0; i < late_turns; ++i)
    {
        for (auto& who : programs)
            take_turn(world, who, late_edge);
    }
    if (with_trouble())
    {
        wait_until(world, start, 68.8);
        world.m_fleet.start_process(storage, false);
    }
    pause_ms(1000);
    unsigned broken = 0;
    for (const auto& who : programs)
    {
        const bool over = who.m_tokens > budget + most_of_one_turn;
        broken += over;
        record.line("program id=" + who.m_id +
                    " tokens=" + std::to_string(who.m_tokens) + " budget=" +
                    std::to_string(budget) + " over=" + (over ? "1" : "0"));
    }
    record.line("result over_budget=" + std::to_string(broken) +
                " of=" + std::to_string(programs.size()));
    std::printf("programs over their budget and one turn: %u of %zu\n", broken,
                programs.size());
    return broken > 0 ? exit_broken : exit_held;
}
