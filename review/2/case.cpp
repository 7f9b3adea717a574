// SPDX-License-Identifier: BSL-1.0
// A session whose first turn is older than retention_s, and whose latest turn
// is not, after one storage VM has lost its disk.
#include "../harness/scene.hpp"

#include <cstdio>

using namespace review;

namespace {

constexpr unsigned session_count = 6;
/// A client's tries of one turn: its retries, and two more from the start.
constexpr unsigned tries = 6;
constexpr double retention_s = 60;
/// Seconds after the first turns.
constexpr double second_turn_at = 50;
constexpr double disk_lost_at = 66;
/// More than contact_ms (3 s) and catch_up_s (4.3 s) after the VM is back.
constexpr double third_turn_at = 80;
constexpr double program_ends_at = 110;

struct session
{
    std::string m_program = fresh_id();
    std::string m_line = fresh_id();
    std::string m_last;
    double m_last_ended = 0;
    std::vector<std::string> m_tried;
    bool m_served = false;
    bool m_denied = false;
};

class clients
{
public:
    clients(scene& world, const machine& edge, double start)
        : m_world(world), m_edge(edge), m_start(start)
    {}

    client_answer take_turn(session& who, const std::string& input)
    {
        const double left = m_start + program_ends_at - m_world.m_record.now();
        client_request request;
        request.m_target = "/turn/a";
        request.m_id = fresh_id();
        request.m_headers = {{"X-Model", "m"},
                             {"X-Program-Id", who.m_program},
                             {"X-Session-Id", who.m_line},
                             {"X-Program-Deadline-Ms",
                              std::to_string(static_cast<int>(left * 1000))},
                             {"X-Token-Budget", "2000"},
                             {"X-Token-Count", "400,30"}};
        if (!who.m_last.empty())
            request.m_headers["X-Previous-Turn"] = who.m_last;
        request.m_body = input;
        who.m_tried.push_back(request.m_id);
        auto answer =
            send_request(m_world.m_record, m_world.m_fleet, m_edge, request);
        who.m_denied = answer.m_status == 404 || answer.m_status == 410;
        who.m_served = answer.m_status == 200 && answer.m_whole;
        if (who.m_served)
        {
            who.m_last = request.m_id;
            who.m_last_ended = m_world.m_record.now();
        }
        return answer;
    }

private:
    scene& m_world;
    const machine& m_edge;
    double m_start;
};

bool all_served(const std::vector<session>& sessions)
{
    for (const auto& who : sessions)
    {
        if (!who.m_served)
            return false;
    }
    return true;
}

bool reached_runner(scene& world, const session& who)
{
    const std::lock_guard lock(world.m_runs_mutex);
    for (const auto& id : who.m_tried)
    {
        if (world.m_runs.contains(id))
            return true;
    }
    return false;
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
    auto& storage = world.m_fleet.find("storage-brno-a-1");
    const double start = record.now();
    clients from(world, world.m_fleet.find("edge-brno-a-1"), start);
    std::vector<session> sessions(session_count);
    for (auto& who : sessions)
        from.take_turn(who, "first input\n");
    if (!all_served(sessions))
        return exit_unusable;
    // The clients come back within retention_s of the first turn.
    wait_until(world, start, second_turn_at);
    for (auto& who : sessions)
        from.take_turn(who, "second input\n");
    if (!all_served(sessions))
        return exit_unusable;
    // The disruption: one storage VM loses its disk and starts again at the
    // address that it had.
    wait_until(world, start, disk_lost_at);
    if (with_trouble())
    {
        world.m_fleet.kill_process(storage, SIGKILL);
        world.m_fleet.empty_disk(storage);
        constexpr int down_ms = 2000;
        pause_ms(down_ms);
        world.m_fleet.start_process(storage, false);
    }
    wait_until(world, start, third_turn_at);
    for (auto& who : sessions)
    {
        who.m_tried.clear();
        who.m_served = false;
    }
    const auto last_turns = sessions;
    unsigned first_turns = 0;
    unsigned first_served = 0;
    unsigned denied = 0;
    for (unsigned attempt = 0; attempt < tries; ++attempt)
    {
        for (auto& who : sessions)
        {
            if (who.m_served)
                continue;
            from.take_turn(who, "third input\n");
            denied += who.m_denied;
        }
        // Others begin their programs meanwhile.
        session other;
        ++first_turns;
        from.take_turn(other, "other input\n");
        first_served += other.m_served;
        constexpr int between_tries_ms = 300;
        pause_ms(between_tries_ms);
    }
    unsigned lost = 0;
    for (std::size_t i = 0; i < sessions.size(); ++i)
    {
        const double age = record.now() - last_turns[i].m_last_ended;
        const bool reached = reached_runner(world, sessions[i]);
        record.line("session program=" + sessions[i].m_program +
                    " previous=" + last_turns[i].m_last +
                    " age_of_previous_s=" + std::to_string(age) +
                    " tries=" + std::to_string(sessions[i].m_tried.size()) +
                    " reached_runner=" + (reached ? "1" : "0"));
        lost += !reached && age < retention_s;
    }
    record.line("result lost=" + std::to_string(lost) +
                " of=" + std::to_string(sessions.size()) +
                " denied=" + std::to_string(denied) +
                " first_turns_served=" + std::to_string(first_served) + '/' +
                std::to_string(first_turns));
    std::printf("sessions lost: %u of %zu; first turns served: %u of %u\n",
                lost, sessions.size(), first_served, first_turns);
    // The rule counts only while nine tenths of first turns reach a runner.
    if (first_served * 10 < first_turns * 9)
        return exit_unusable;
    return lost + denied > 0 ? exit_broken : exit_held;
}
