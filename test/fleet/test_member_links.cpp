// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/storage_fixture.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A storage VM that is in no set, and a VM that subscribes to it.
struct update_fixture
{
    update_fixture()
        : m_log(m_fleet.m_folder + "/told", 1U << 20U), m_store(m_log),
          m_server(m_fleet.m_io, m_fleet.m_time, "vm-9", m_log, m_store),
          m_links(m_fleet.m_io, m_fleet.m_time, "edge")
    {
        const auto port = free_port(m_fleet.m_io);
        std::string reason;
        REQUIRE(m_log.identity(7, reason).has_value());
        REQUIRE(m_server.listen({asio::ip::make_address("127.0.0.1"), port},
                                reason));
        m_members = {{"vm-9", "127.0.0.1:" + std::to_string(port), "z", 7,
                      member_state::full}};
        m_links.on_state(
            [this](const std::string&, const cluster_state& update) {
                ++m_update_count;
                m_entries += update.m_runners.size();
                merge_state(m_state, update);
            });
    }
    ~update_fixture()
    {
        m_server.stop();
        m_links.stop();
    }
    update_fixture(const update_fixture&) = delete;
    update_fixture& operator=(const update_fixture&) = delete;

    void send_update(std::uint64_t revision)
    {
        cluster_state update;
        update.m_config_revision = revision;
        update.m_config = "configuration " + std::to_string(revision);
        m_server.apply_state(update);
    }
    bool wait_for(const std::function<bool()>& done)
    {
        return run_until(m_fleet.m_io, done, milliseconds(3000));
    }
    /// Everything sent before by either side has arrived: frames keep order.
    void sync()
    {
        const auto reply =
            run_task(m_fleet.m_io,
                     m_links.request("vm-9", 0, fetch_message{"none"},
                                     m_fleet.m_time.now() + default_timeout));
        REQUIRE(reply.has_value());
        REQUIRE(reply->has_value());
    }

    storage_fixture m_fleet;
    turn_log m_log;
    turn_store m_store;
    turn_server m_server;
    member_links m_links;
    std::vector<member> m_members;
    cluster_state m_state;
    int m_update_count = 0;
    /// Runner entries in all updates received.
    std::size_t m_entries = 0;
};

} // namespace

TEST_CASE("updates come from the subscribed members", "[member_links]")
{
    update_fixture fixture;
    fixture.send_update(1);
    fixture.m_links.subscribe({});
    fixture.m_links.set_members(fixture.m_members);
    REQUIRE(
        fixture.wait_for([&] { return fixture.m_links.connected("vm-9"); }));
    fixture.send_update(2);
    fixture.sync();
    CHECK(fixture.m_update_count == 0);
    // A subscriber receives the full state, then each change once.
    fixture.m_links.subscribe({"vm-9"});
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_config_revision == 2; }));
    fixture.send_update(3);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_config_revision == 3; }));
    CHECK(fixture.m_update_count == 2);
    fixture.m_links.subscribe({});
    fixture.sync();
    fixture.send_update(4);
    fixture.sync();
    CHECK(fixture.m_update_count == 2);
}

TEST_CASE("heartbeats tell which VMs watch the store", "[member_links]")
{
    struct row
    {
        const char* m_what;
        milliseconds m_age;
        bool m_watches;
        bool m_heard;
        bool m_is_watcher;
    };
    const auto each = GENERATE(values<row>({
        {"it watches", milliseconds(100), true, true, true},
        {"it passes on what a watcher said", milliseconds(100), false, true,
         false},
        {"it watches and the store does not answer", milliseconds(9000), true,
         false, false},
    }));
    INFO(each.m_what);
    update_fixture fixture;
    auto& links = fixture.m_links;
    links.set_members(fixture.m_members);
    REQUIRE(fixture.wait_for([&] { return links.connected("vm-9"); }));
    fixture.sync();
    fixture.m_server.send_heartbeat(each.m_age, each.m_watches);
    fixture.sync();
    CHECK((links.store_last_seen() != instant{}) == each.m_heard);
    CHECK(links.watches_store("vm-9") == each.m_is_watcher);
    CHECK((links.store_last_watched() != instant{}) == each.m_is_watcher);
}

TEST_CASE("a member's timeout counts from when it is followed",
          "[member_links]")
{
    // A VM that has just joined a view must not be treated as unresponsive
    // since the start of the others' processes, and removed at once.
    asio::io_context io(1);
    const system_clock time;
    member_links links(io, time, "edge");
    CHECK(links.last_seen("a") == instant{});
    const auto before = time.now();
    links.set_members({{"a", "127.0.0.1:1", "z", 1, member_state::joining}});
    CHECK(links.last_seen("a") >= before);
    CHECK_FALSE(links.connected("a"));
    CHECK(links.may_send_updates("a"));
    REQUIRE(run_until(io, [&] { return !links.may_send_updates("a"); }));
    links.stop();
}

TEST_CASE("a seed's connection is kept under the member's name",
          "[member_links]")
{
    // Otherwise all edge VMs that start at once connect to the seeds twice, and
    // receive the full state twice.
    update_fixture fixture;
    fixture.send_update(1);
    fixture.m_links.connect_seeds({fixture.m_members.front().m_address});
    REQUIRE(fixture.wait_for([&] { return fixture.m_update_count == 1; }));
    fixture.m_links.subscribe({"vm-9"});
    fixture.m_links.set_members(fixture.m_members);
    CHECK(fixture.m_links.connected("vm-9"));
    fixture.sync();
    CHECK(fixture.m_update_count == 1);
    std::string figures;
    fixture.m_server.write_metrics(figures);
    CHECK(figures.find("connected_vms 1\n") != std::string::npos);
    fixture.send_update(2);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_config_revision == 2; }));
}

TEST_CASE("a seed without subscription stops sending updates", "[member_links]")
{
    update_fixture fixture;
    fixture.send_update(1);
    fixture.m_links.connect_seeds({fixture.m_members.front().m_address});
    REQUIRE(fixture.wait_for([&] { return fixture.m_update_count == 1; }));
    fixture.m_links.subscribe({});
    fixture.m_links.set_members(fixture.m_members);
    fixture.sync();
    fixture.send_update(2);
    fixture.sync();
    CHECK(fixture.m_update_count == 1);
}

namespace {

/// Members at one server's address, and the number of its connections.
struct many_members : update_fixture
{
    explicit many_members(int count)
    {
        const auto address = m_members.front().m_address;
        m_members.clear();
        for (int i = 0; i < count; ++i)
            m_members.push_back({"vm-" + std::to_string(i), address, "z", 1,
                                 member_state::full});
    }
    std::size_t connections()
    {
        std::string figures;
        m_server.write_metrics(figures);
        const auto at = figures.find("connected_vms ");
        return std::stoul(figures.substr(at + 14));
    }
};

} // namespace

TEST_CASE("connections are made on demand, however many members there are",
          "[member_links]")
{
    const auto count = GENERATE(20, 80);
    many_members fixture(count);
    fixture.m_links.set_max_persistent(10);
    fixture.m_links.subscribe({"vm-0", "vm-1"});
    fixture.m_links.set_members(fixture.m_members);
    REQUIRE(fixture.wait_for([&] { return fixture.connections() == 2; }));
    CHECK(fixture.connections() == 2);
    CHECK(fixture.m_links.connected("vm-7"));
    CHECK(fixture.m_links.reachable("vm-7"));
    CHECK_FALSE(fixture.m_links.reachable_directly("vm-7"));
    // A request makes its connection, and waits for it.
    int replies = 0;
    for (const char* name : {"vm-7", "vm-7", "vm-8"})
        fixture.m_links.call(name, 0, relay_peers_request_message{},
                             [&](const std::optional<frame>& reply) {
                                 replies += reply ? 1 : 0;
                             });
    CHECK(fixture.wait_for([&] { return replies == 3; }));
    CHECK(fixture.connections() == 4);
}

TEST_CASE("an unreachable member is not retried for a while", "[member_links]")
{
    many_members fixture(20);
    fixture.m_members[7].m_address = "127.0.0.1:1";
    fixture.m_links.set_max_persistent(10);
    fixture.m_links.subscribe({"vm-0"});
    fixture.m_links.set_members(fixture.m_members);
    bool ended = false;
    const auto ask = [&] {
        ended = false;
        fixture.m_links.call("vm-7", 0, relay_peers_request_message{},
                             [&](const std::optional<frame>& reply) {
                                 ended = true;
                                 CHECK_FALSE(reply);
                             });
    };
    ask();
    CHECK_FALSE(ended);
    CHECK(fixture.wait_for([&] { return ended; }));
    CHECK_FALSE(fixture.m_links.reachable("vm-7"));
    // Requests fail at once meanwhile.
    ask();
    CHECK(ended);
}

TEST_CASE("a returning subscriber receives the updates it missed",
          "[member_links]")
{
    update_fixture fixture;
    cluster_state all;
    all.m_runners_revision = 10;
    for (int i = 0; i < 500; ++i)
        all.m_runners.push_back({"r" + std::to_string(i), "text", 5});
    fixture.m_server.apply_state(all);
    const std::uint64_t known = GENERATE(0, 10);
    if (known > 0)
        merge_state(fixture.m_state, all);
    fixture.m_links.on_hello([&] { return known; });
    cluster_state update;
    update.m_runners_since = 10;
    update.m_runners_revision = 12;
    update.m_runners = {{"r1", "new", 11}, {"r2", "", 12, true}};
    fixture.m_server.apply_state(update);
    fixture.m_links.set_members(fixture.m_members);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_runners_revision == 12; }));
    CHECK(count_runners(fixture.m_state) == 499);
    CHECK(fixture.m_entries == (known == 0 ? 499U : 2U));
}

TEST_CASE("a VM that looks for members receives no long list of runners",
          "[member_links]")
{
    const auto runners = GENERATE(800, 3200);
    update_fixture fixture;
    cluster_state all;
    all.m_runners_revision = 10;
    for (int i = 0; i < runners; ++i)
        all.m_runners.push_back({"r" + std::to_string(i), "text", 5});
    all.m_views = {{.m_epoch = 3, .m_members = fixture.m_members}};
    fixture.m_server.apply_state(all);
    fixture.m_links.connect_seeds({fixture.m_members.front().m_address});
    REQUIRE(fixture.wait_for([&] { return !fixture.m_state.m_views.empty(); }));
    CHECK(fixture.m_entries <= 1000);
    // Its update sources send the rest.
    fixture.m_links.set_members(fixture.m_members);
    CHECK(fixture.wait_for([&] {
        return count_runners(fixture.m_state) ==
               static_cast<std::size_t>(runners);
    }));
    CHECK(fixture.m_entries == static_cast<std::size_t>(runners));
}

// A storage VM that reads the store anew misses runners that came and went; its
// subscribers may have them from others.
TEST_CASE("a runner that a source never knew does not stay listed",
          "[member_links]")
{
    update_fixture fixture;
    cluster_state first;
    first.m_runners_revision = 10;
    first.m_runners = {{"a", "text", 5}};
    fixture.m_server.apply_state(first);
    fixture.m_links.set_members(fixture.m_members);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_runners_revision == 10; }));
    cluster_state news;
    news.m_runners = {{"b", "text", 15}};
    news.m_runners_since = 10;
    news.m_runners_revision = 15;
    merge_state(fixture.m_state, news);
    REQUIRE(count_runners(fixture.m_state) == 2);
    cluster_state later;
    later.m_runners_revision = 20;
    later.m_runners = {{"a", "text", 5}, {"c", "text", 18}};
    fixture.m_server.apply_state(later);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_runners_revision == 20; }));
    const auto* gone = find_runner(fixture.m_state.m_runners, "b");
    REQUIRE(gone != nullptr);
    CHECK(gone->m_removed);
    CHECK(count_runners(fixture.m_state) == 2);
    // What was written later is not touched.
    cluster_state newer;
    newer.m_runners = {{"d", "text", 25}};
    merge_state(fixture.m_state, newer);
    cluster_state change;
    change.m_runners = {{"e", "text", 22}};
    change.m_runners_since = 20;
    change.m_runners_revision = 22;
    fixture.m_server.apply_state(change);
    REQUIRE(fixture.wait_for(
        [&] { return fixture.m_state.m_runners_revision == 22; }));
    CHECK(count_runners(fixture.m_state) == 4);
}

// A proxy in front of a VM that is down accepts for it.
TEST_CASE("a member that accepts and closes at once is dialled with pauses",
          "[member_links]")
{
    storage_fixture fleet;
    tcp::acceptor acceptor(fleet.m_io,
                           {asio::ip::make_address("127.0.0.1"), 0});
    std::size_t accepted = 0;
    spawn(fleet.m_io, "test.accept",
          accept_all(acceptor, [&accepted](tcp::socket socket) {
              ++accepted;
              error_code ignored;
              socket.close(ignored);
          }));
    member_links links(fleet.m_io, fleet.m_time, "edge");
    links.set_members({{"vm-9", to_text(acceptor.local_endpoint()), "z", 7}});
    constexpr milliseconds span{1000};
    // The shortest pause, while all VMs may be starting.
    constexpr milliseconds pause{25};
    const auto end = fleet.m_time.now() + span;
    run_until(fleet.m_io, [&] { return fleet.m_time.now() >= end; });
    links.stop();
    error_code ignored;
    acceptor.close(ignored);
    CHECK(accepted > 1);
    CHECK(accepted <= static_cast<std::size_t>(span / pause) + 1);
}
