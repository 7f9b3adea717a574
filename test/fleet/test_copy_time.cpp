// SPDX-License-Identifier: BSL-1.0
// How long a storage VM takes to get its copies back, on this machine. Hidden:
// it has no verdict on times.
#include "support/fleet/storage_fixture.hpp"

#include <iostream>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// The segments of a storage VM.
constexpr std::uint32_t segment_bytes = 16U << 20U;

/// Writes turns to a disk before its VM starts.
void write_turns(const storage_fixture& fleet, const std::string& folder,
                 int count, std::size_t input_bytes)
{
    turn_log log(folder, segment_bytes);
    turn_store store(log);
    std::string reason;
    bool damaged = false;
    std::filesystem::create_directories(folder);
    REQUIRE(store.load(fleet.m_time.now(), damaged, reason));
    for (int i = 0; i < count; ++i)
    {
        const auto id = "t" + std::to_string(i);
        const auto program = key_of("p" + std::to_string(i / 10));
        store.append(
            {600000, turn_record{id, "", std::string(input_bytes, 'a'), "out",
                                 "run", program, key_of(id), 1}},
            fleet.m_time.now());
    }
    const auto batches = log.take_pending();
    REQUIRE(log.write_batches(batches, reason));
}

} // namespace

TEST_CASE("time to copy a disk", "[.][copy_time]")
{
    const int turns = GENERATE(5000, 20000);
    constexpr std::size_t turn_bytes = 6000;
    storage_fixture fleet;
    for (const char* name : {"vm-0", "vm-1"})
        write_turns(fleet, fleet.m_folder + '/' + name, turns, turn_bytes);
    fleet.start_three();
    fleet.lose("vm-2");
    fleet.m_stopped.push_back(std::move(fleet.m_vms["vm-2"]));
    std::filesystem::remove_all(fleet.m_folder + "/vm-2");
    fleet.add("vm-2", false);
    REQUIRE(fleet.wait_for("vm-0Fvm-1Fvm-2J"));
    const auto begun = fleet.m_time.now();
    REQUIRE(run_until(
        fleet.m_io, [&] { return fleet.states() == "vm-0Fvm-1Fvm-2F"; },
        milliseconds(120000)));
    const auto ms = (fleet.m_time.now() - begun) / milliseconds(1);
    std::cout << "turns=" << turns << " ms=" << ms
              << " turns_per_s=" << turns * 1000L / ms << " bytes_per_s="
              << turns * static_cast<long>(turn_bytes) * 1000L / ms << '\n';
}
