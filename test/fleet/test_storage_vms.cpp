// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/storage_fixture.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

} // namespace

TEST_CASE("three VMs that start at once all become full", "[fleet]")
{
    // Two that join at the same time must not wait for each other forever.
    storage_fixture fleet;
    fleet.start_three();
}

TEST_CASE("a VM to be emptied hands over all data first", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    REQUIRE(fleet.keep("b", "a"));
    fleet.m_store.put("op/retire/vm-1", R"({"duration_s":10})");
    REQUIRE(run_until(fleet.m_io, [&] {
        return fleet.m_store.value_of("status/retire/vm-1").find("completed") !=
               std::string::npos;
    }));
    REQUIRE(fleet.wait_for("vm-0Fvm-2F"));
    const auto result = fleet.begin(storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
}

TEST_CASE("a storage VM reports its metrics", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    tcp::socket reader(fleet.m_io);
    error_code ec;
    reader.connect({asio::ip::make_address("127.0.0.1"),
                    fleet.m_vms["vm-0"]->m_metrics_port},
                   ec);
    REQUIRE_FALSE(ec);
    const std::string question =
        "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    asio::write(reader, asio::buffer(question), ec);
    REQUIRE_FALSE(ec);
    reader.non_blocking(true);
    std::string text;
    REQUIRE(run_until(fleet.m_io, [&] {
        std::array<char, 4096> chunk{};
        error_code read;
        const auto count = reader.read_some(asio::buffer(chunk), read);
        text.append(chunk.data(), count);
        return read && read != asio::error::would_block;
    }));
    for (const char* name : {"turns 1", "programs 1", "view_members 3",
                             "questions_ok ", "sync_ms{le=\"30000\"} "})
    {
        INFO(name);
        CHECK(text.find(std::string("\n") + name) != std::string::npos);
    }
}

TEST_CASE("frames take precedence over metrics on the same port", "[fleet]")
{
    storage_fixture fleet;
    storage_vm vm(fleet.m_io, fleet.m_time, fleet.m_store.address(), "vm-0",
                  fleet.m_folder + "/vm-0", true, false);
    REQUIRE(fleet.wait_for("vm-0F"));
    CHECK(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-0"); }));
    vm.m_node->stop();
    fleet.m_io.run_for(milliseconds(400));
}

TEST_CASE("of three VMs one is emptied and one is lost: turns go on", "[fleet]")
{
    // The view must be able to leave this state when another VM is added.
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    fleet.m_store.put("op/retire/vm-1", R"({"duration_s":10})");
    REQUIRE(fleet.wait_for("vm-0Fvm-2F"));
    fleet.lose("vm-2");
    fleet.add("vm-3", false);
    // The new VM has its copies, then the unresponsive one is marked lost, and
    // removed once no data can be on it alone.
    REQUIRE(fleet.wait_for("vm-0Fvm-2Fvm-3F"));
    REQUIRE(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-3"); }));
    CHECK(fleet.keep("b", "a"));
    REQUIRE(fleet.wait_for("vm-0Fvm-3F"));
    const auto result = fleet.begin(storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
}

TEST_CASE("the last VM acknowledges nothing alone, and resumes with another",
          "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    fleet.m_store.put("op/retire/vm-1", R"({"duration_s":10})");
    REQUIRE(fleet.wait_for("vm-0Fvm-2F"));
    // Not emptied: one VM alone could lose everything.
    fleet.m_store.put("op/retire/vm-0", R"({"duration_s":10})");
    REQUIRE(fleet.keep("a", ""));
    fleet.lose("vm-2");
    REQUIRE(fleet.wait_for("vm-0Fvm-2X"));
    // One copy would be lost with one disk.
    const auto refused =
        fleet.begin(storage_fixture::request("b", "a"), milliseconds(300));
    CHECK(refused.m_outcome == begin_outcome::unavailable);
    fleet.m_stopped.push_back(std::move(fleet.m_vms["vm-2"]));
    fleet.add("vm-2", false);
    REQUIRE(fleet.wait_for("vm-0Fvm-2F"));
    REQUIRE(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-2"); }));
    REQUIRE(fleet.keep("b", "a"));
    const auto result = fleet.begin(storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
    CHECK(fleet.m_store.value_of("status/retire/vm-0").find("completed") ==
          std::string::npos);
}

TEST_CASE("a set that lost the disks of two of three members serves again",
          "[fleet]")
{
    // Guards against a set that refuses every turn for good: one member joined
    // with an empty disk, another one was lost, and both waited.
    storage_fixture fleet;
    fleet.start_three();
    REQUIRE(fleet.keep("a", ""));
    for (const char* name : {"vm-0", "vm-1"})
    {
        fleet.lose(name);
        fleet.m_stopped.push_back(std::move(fleet.m_vms[name]));
        std::filesystem::remove_all(fleet.m_folder + '/' + name);
    }
    fleet.add("vm-0", false);
    fleet.add("vm-1", false);
    REQUIRE(run_until(fleet.m_io, [&] {
        return fleet.m_state.m_views.front().m_gap_epoch != 0 &&
               fleet.states() == "vm-0Fvm-1Fvm-2F" &&
               fleet.m_links.connected("vm-0") &&
               fleet.m_links.connected("vm-1");
    }));
    const auto first = fleet.begin(storage_fixture::request("b", ""));
    CHECK(first.m_outcome == begin_outcome::granted);
    CHECK(fleet.keep("b", ""));
    // It may have been on the lost disks alone.
    const auto unknown =
        fleet.begin(storage_fixture::request("c", "none"), milliseconds(500));
    CHECK(unknown.m_outcome == begin_outcome::unavailable);
}

TEST_CASE("an added VM copies what was stored before it joined", "[fleet]")
{
    storage_fixture fleet;
    fleet.start_three();
    for (int i = 0; i < 40; ++i)
        REQUIRE(fleet.keep("t" + std::to_string(i),
                           i == 0 ? "" : "t" + std::to_string(i - 1)));
    fleet.add("vm-3", false);
    REQUIRE(fleet.wait_for("vm-0Fvm-1Fvm-2Fvm-3F"));
    REQUIRE(
        run_until(fleet.m_io, [&] { return fleet.m_links.connected("vm-3"); }));
    bool done = false;
    std::size_t turns = 0;
    fleet.m_links.call(
        "vm-3", fleet.m_state.m_views.front().m_epoch, fetch_message{"t39"},
        [&](const std::optional<frame>& answer) {
            done = true;
            if (!answer)
                return;
            if (const auto* fetched =
                    std::get_if<fetched_message>(&answer->m_body))
                turns = fetched->m_history.size();
        });
    REQUIRE(run_until(fleet.m_io, [&] { return done; }));
    CHECK(turns == 40);
}

TEST_CASE("the cluster state is kept over a restart", "[fleet]")
{
    storage_fixture fleet;
    fleet.m_store.put("op/config", R"({"version":4})");
    fleet.m_store.put("servers/i-1", R"({"service":"a","seq":1})");
    fleet.start_three();
    REQUIRE(run_until(fleet.m_io, [&] {
        return !fleet.m_state.m_config.empty() &&
               !fleet.m_state.m_runners.empty();
    }));
    REQUIRE(run_until(fleet.m_io, [&] {
        return !fleet.m_vms["vm-0"]->m_node->state().m_runners.empty();
    }));
    // A little longer than it takes until the last update is written.
    const auto saved = std::chrono::steady_clock::now() + milliseconds(300);
    run_until(fleet.m_io,
              [&] { return std::chrono::steady_clock::now() >= saved; });
    fleet.m_vms["vm-0"]->m_node->tick();
    fleet.m_store.set_down(true);
    fleet.restart("vm-0");
    member_links newcomer(fleet.m_io, fleet.m_time, "edge-2");
    cluster_state received;
    newcomer.on_state([&](const std::string&, const cluster_state& update) {
        merge_state(received, update);
    });
    newcomer.connect_seeds(
        {"127.0.0.1:" + std::to_string(fleet.m_vms["vm-0"]->m_port)});
    REQUIRE(run_until(fleet.m_io, [&] { return !received.m_views.empty(); }));
    CHECK(received.m_config == R"({"version":4})");
    CHECK(received.m_views.front().m_members.size() == 3);
    REQUIRE(received.m_runners.size() == 1);
    CHECK(received.m_runners.front().m_name == "i-1");
}

TEST_CASE("a VM sends its state before its disk is loaded", "[fleet]")
{
    storage_fixture fleet;
    turn_log log(fleet.m_folder + "/loading", 1U << 20U);
    turn_store store(log);
    std::string reason;
    REQUIRE(log.identity(7, reason).has_value());
    turn_server server(fleet.m_io, fleet.m_time, "vm-9", log, store);
    const auto port = free_port(fleet.m_io);
    REQUIRE(server.listen({asio::ip::make_address("127.0.0.1"), port}, reason));
    cluster_state known;
    known.m_config_revision = 3;
    known.m_config = "three";
    known.m_views = {{5,
                      {{"vm-9", "127.0.0.1:" + std::to_string(port), "z", 7,
                        member_state::full}}}};
    server.apply_state(known);
    member_links newcomer(fleet.m_io, fleet.m_time, "edge-2");
    cluster_state received;
    newcomer.on_state([&](const std::string&, const cluster_state& update) {
        if (!merge_state(received, update).m_views.empty())
            newcomer.set_members(members_of(received.m_views));
    });
    newcomer.connect_seeds({"127.0.0.1:" + std::to_string(port)});
    REQUIRE(run_until(fleet.m_io, [&] { return newcomer.connected("vm-9"); }));
    CHECK(received.m_config == "three");
    const auto ask = [&] {
        const auto answer = run_task(
            fleet.m_io, newcomer.request("vm-9", 5, fetch_message{"a"},
                                         fleet.m_time.now() + default_timeout));
        REQUIRE(answer.has_value());
        REQUIRE(answer->has_value());
        return (*answer)->m_status;
    };
    // Requests for data that may be on the disk fail.
    CHECK(ask() == frame_status::failed);
    server.open(7);
    CHECK(ask() == frame_status::ok);
    server.stop();
    newcomer.stop();
}
