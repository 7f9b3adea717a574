// SPDX-License-Identifier: BSL-1.0
// Two storage VMs lose their disks, the second one well after the first has
// come back. The sessions' inputs are long, but well inside max_body_bytes.
#include "../harness/scene.hpp"

#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr unsigned session_count = 80;
/// An eighth of max_body_bytes.
constexpr std::size_t long_input_bytes = 512U << 10U;
constexpr int down_ms = 2000;
/// From the return of the first VM to the second loss: several times catch_up_s
/// (4.3 s) and contact_ms (3 s), for which the first one still counts as lost.
constexpr double between_losses_s = 18;
constexpr double recovery_s = 12;
/// Requests are sent from recovery_s after the VM is back for this long.
constexpr double judged_s = 8;
constexpr unsigned clients_after = 6;

struct session
{
    std::string m_program = fresh_id();
    std::string m_line = fresh_id();
    std::string m_last;
};

bool take_turn(scene& world, session& who, const machine& edge,
               const std::string& input)
{
    client_request request;
    request.m_target = "/turn/a";
    request.m_id = fresh_id();
    request.m_headers = {{"X-Model", "m"},
                         {"X-Program-Id", who.m_program},
                         {"X-Session-Id", who.m_line},
                         {"X-Program-Deadline-Ms", "60000"},
                         {"X-Token-Budget", "2000"},
                         {"X-Token-Count", "400,30"}};
    if (!who.m_last.empty())
        request.m_headers["X-Previous-Turn"] = who.m_last;
    request.m_body = input;
    const auto answer =
        send_request(world.m_record, world.m_fleet, edge, request);
    const bool served = answer.m_status == 200 && answer.m_whole;
    if (served)
        who.m_last = request.m_id;
    return served;
}

void lose_disk(scene& world, const std::string& name)
{
    auto& storage = world.m_fleet.find(name);
    world.m_fleet.kill_process(storage, SIGKILL);
    world.m_fleet.empty_disk(storage);
    pause_ms(down_ms);
    world.m_fleet.start_process(storage, false);
}

std::size_t input_bytes()
{
    // INPUT_BYTES: other lengths, to try variants by hand.
    const char* told = std::getenv("INPUT_BYTES");
    return told == nullptr ? long_input_bytes : std::strtoul(told, nullptr, 10);
}

struct tally
{
    std::atomic<unsigned> m_sent{0};
    std::atomic<unsigned> m_served{0};
};

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
    const std::vector<const machine*> edges{
        &world.m_fleet.find("edge-brno-a-1"),
        &world.m_fleet.find("edge-brno-b-1"),
        &world.m_fleet.find("edge-olomouc-1")};
    // ENFORCE_MEMORY, ONE_LOSS: variants, by hand.
    if (std::getenv("ENFORCE_MEMORY") != nullptr)
        world.m_fleet.enforce_memory();
    const std::string input(input_bytes(), 'a');
    std::vector<session> sessions(session_count);
    unsigned sent_before = 0;
    unsigned served_before = 0;
    for (std::size_t i = 0; i < sessions.size(); ++i)
    {
        ++sent_before;
        served_before +=
            take_turn(world, sessions[i], *edges[i % edges.size()], input);
    }
    if (served_before < sent_before)
        return exit_unusable;
    if (with_trouble())
        lose_disk(world, "storage-brno-a-1");
    wait_until(world, record.now(), between_losses_s);
    // With one VM long back, all is served.
    for (std::size_t i = 0; i < sessions.size(); ++i)
    {
        ++sent_before;
        served_before += take_turn(world, sessions[i], *edges[i % edges.size()],
                                   "short input\n");
    }
    record.line(
        "served before the final fault: " + std::to_string(served_before) +
        " of " + std::to_string(sent_before));
    // The final fault: as many machines as fault_tolerance allows, one, lose
    // their disks, right after the last turn was answered.
    if (with_trouble() && std::getenv("ONE_LOSS") == nullptr)
        lose_disk(world, "storage-brno-b-1");
    const double back = record.now();
    wait_until(world, back, recovery_s);
    tally continued;
    tally first;
    std::vector<std::thread> clients;
    for (unsigned number = 0; number < clients_after; ++number)
    {
        clients.emplace_back([&, number] {
            const auto& edge = *edges[number % edges.size()];
            for (std::size_t i = number;
                 record.now() < back + recovery_s + judged_s;
                 i += clients_after)
            {
                auto& who = sessions[i % sessions.size()];
                ++continued.m_sent;
                continued.m_served +=
                    take_turn(world, who, edge, "short input\n");
                session other;
                ++first.m_sent;
                first.m_served +=
                    take_turn(world, other, edge, "short input\n");
                pause_ms(100);
            }
        });
    }
    for (auto& client : clients)
        client.join();
    const unsigned sent = continued.m_sent + first.m_sent;
    const unsigned served = continued.m_served + first.m_served;
    record.line("result continued=" + std::to_string(continued.m_served) + '/' +
                std::to_string(continued.m_sent) +
                " first_turns=" + std::to_string(first.m_served) + '/' +
                std::to_string(first.m_sent) + " killed_for_memory=" +
                std::to_string(world.m_fleet.memory_kills()));
    std::printf("served after recovery_s: %u of %u turns of earlier sessions, "
                "%u of %u first turns; processes killed for memory: %u\n",
                continued.m_served.load(), continued.m_sent.load(),
                first.m_served.load(), first.m_sent.load(),
                world.m_fleet.memory_kills());
    if (4 * served_before < sent_before)
        return exit_unusable;
    return 4 * served < sent ? exit_broken : exit_held;
}
