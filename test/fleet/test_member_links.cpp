// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/storage_world.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A storage VM that is in no set, and one that listens to it.
struct told_world
{
    told_world()
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
        m_links.on_state([this](const std::string&, const cluster_state& news) {
            ++m_told;
            m_entries += news.m_runners.size();
            merge_state(m_state, news);
        });
    }
    ~told_world()
    {
        m_server.stop();
        m_links.stop();
    }
    told_world(const told_world&) = delete;
    told_world& operator=(const told_world&) = delete;

    void tell(std::uint64_t revision)
    {
        cluster_state news;
        news.m_config_revision = revision;
        news.m_config = "configuration " + std::to_string(revision);
        m_server.apply_state(news);
    }
    bool wait_for(const std::function<bool()>& done)
    {
        return run_until(m_fleet.m_io, done, milliseconds(3000));
    }
    /// Whatever either side sent before has come: frames keep their order.
    void sync()
    {
        const auto answer =
            run_task(m_fleet.m_io,
                     m_links.request("vm-9", 0, fetch_message{"none"},
                                     m_fleet.m_time.now() + usual_patience));
        REQUIRE(answer.has_value());
        REQUIRE(answer->has_value());
    }

    storage_world m_fleet;
    turn_log m_log;
    turn_store m_store;
    turn_server m_server;
    member_links m_links;
    std::vector<member> m_members;
    cluster_state m_state;
    int m_told = 0;
    /// Of runners, in all that was told.
    std::size_t m_entries = 0;
};

} // namespace

TEST_CASE("news come from where they are subscribed to", "[member_links]")
{
    told_world world;
    world.tell(1);
    world.m_links.subscribe({});
    world.m_links.set_members(world.m_members);
    REQUIRE(world.wait_for([&] { return world.m_links.connected("vm-9"); }));
    world.tell(2);
    world.sync();
    CHECK(world.m_told == 0);
    // Whoever subscribes is told all that is known, then each change once.
    world.m_links.subscribe({"vm-9"});
    REQUIRE(
        world.wait_for([&] { return world.m_state.m_config_revision == 2; }));
    world.tell(3);
    REQUIRE(
        world.wait_for([&] { return world.m_state.m_config_revision == 3; }));
    CHECK(world.m_told == 2);
    world.m_links.subscribe({});
    world.sync();
    world.tell(4);
    world.sync();
    CHECK(world.m_told == 2);
}

TEST_CASE("who watches the store is told by beats", "[member_links]")
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
        {"it watches and hears nothing", milliseconds(9000), true, false,
         false},
    }));
    INFO(each.m_what);
    told_world world;
    auto& links = world.m_links;
    links.set_members(world.m_members);
    REQUIRE(world.wait_for([&] { return links.connected("vm-9"); }));
    world.sync();
    world.m_server.send_heartbeat(each.m_age, each.m_watches);
    world.sync();
    CHECK((links.store_last_seen() != instant{}) == each.m_heard);
    CHECK(links.watches_store("vm-9") == each.m_is_watcher);
    CHECK((links.store_last_watched() != instant{}) == each.m_is_watcher);
}

TEST_CASE("silence counts from when a member is followed", "[member_links]")
{
    // A VM that had just come into a view counted as silent since the start of
    // the others' processes, and was put out at once.
    asio::io_context io(1);
    const system_clock time;
    member_links links(io, time, "edge");
    CHECK(links.last_seen("a") == instant{});
    const auto before = time.now();
    links.set_members({{"a", "127.0.0.1:1", "z", 1, member_state::joining}});
    CHECK(links.last_seen("a") >= before);
    CHECK_FALSE(links.connected("a"));
    CHECK(links.may_reach("a"));
    REQUIRE(run_until(io, [&] { return !links.may_reach("a"); }));
    links.stop();
}

TEST_CASE("a seed's connection goes on under its name", "[member_links]")
{
    // All edge VMs that start at once would otherwise connect to the seeds
    // twice, and be told all that is known twice.
    told_world world;
    world.tell(1);
    world.m_links.connect_seeds({world.m_members.front().m_address});
    REQUIRE(world.wait_for([&] { return world.m_told == 1; }));
    world.m_links.subscribe({"vm-9"});
    world.m_links.set_members(world.m_members);
    CHECK(world.m_links.connected("vm-9"));
    world.sync();
    CHECK(world.m_told == 1);
    std::string figures;
    world.m_server.write_metrics(figures);
    CHECK(figures.find("connected_vms 1\n") != std::string::npos);
    world.tell(2);
    REQUIRE(
        world.wait_for([&] { return world.m_state.m_config_revision == 2; }));
}

TEST_CASE("a seed that is not subscribed to is told so", "[member_links]")
{
    told_world world;
    world.tell(1);
    world.m_links.connect_seeds({world.m_members.front().m_address});
    REQUIRE(world.wait_for([&] { return world.m_told == 1; }));
    world.m_links.subscribe({});
    world.m_links.set_members(world.m_members);
    world.sync();
    world.tell(2);
    world.sync();
    CHECK(world.m_told == 1);
}

namespace {

/// Members that all listen at one server, and how many connections it has.
struct many_members : told_world
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

TEST_CASE("connections go with what is asked, however many members there are",
          "[member_links]")
{
    const auto count = GENERATE(20, 80);
    many_members world(count);
    world.m_links.set_max_persistent(10);
    world.m_links.subscribe({"vm-0", "vm-1"});
    world.m_links.set_members(world.m_members);
    REQUIRE(world.wait_for([&] { return world.connections() == 2; }));
    CHECK(world.connections() == 2);
    CHECK(world.m_links.connected("vm-7"));
    CHECK(world.m_links.reachable("vm-7"));
    CHECK_FALSE(world.m_links.reachable_directly("vm-7"));
    // A question brings its connection, and waits for it.
    int answers = 0;
    for (const char* name : {"vm-7", "vm-7", "vm-8"})
        world.m_links.call(name, 0, relay_peers_request_message{},
                           [&](const std::optional<frame>& answer) {
                               answers += answer ? 1 : 0;
                           });
    CHECK(world.wait_for([&] { return answers == 3; }));
    CHECK(world.connections() == 4);
}

TEST_CASE("a member that is not there is left alone for a while",
          "[member_links]")
{
    many_members world(20);
    world.m_members[7].m_address = "127.0.0.1:1";
    world.m_links.set_max_persistent(10);
    world.m_links.subscribe({"vm-0"});
    world.m_links.set_members(world.m_members);
    bool ended = false;
    const auto ask = [&] {
        ended = false;
        world.m_links.call("vm-7", 0, relay_peers_request_message{},
                           [&](const std::optional<frame>& answer) {
                               ended = true;
                               CHECK_FALSE(answer);
                           });
    };
    ask();
    CHECK_FALSE(ended);
    CHECK(world.wait_for([&] { return ended; }));
    CHECK_FALSE(world.m_links.reachable("vm-7"));
    // Whoever asks meanwhile is told at once.
    ask();
    CHECK(ended);
}

TEST_CASE("a listener that comes back is told what it missed", "[member_links]")
{
    told_world world;
    cluster_state all;
    all.m_runners_revision = 10;
    for (int i = 0; i < 500; ++i)
        all.m_runners.push_back({"r" + std::to_string(i), "text", 5});
    world.m_server.apply_state(all);
    const std::uint64_t known = GENERATE(0, 10);
    if (known > 0)
        merge_state(world.m_state, all);
    world.m_links.on_hello([&] { return known; });
    cluster_state news;
    news.m_runners_since = 10;
    news.m_runners_revision = 12;
    news.m_runners = {{"r1", "new", 11}, {"r2", "", 12, true}};
    world.m_server.apply_state(news);
    world.m_links.set_members(world.m_members);
    REQUIRE(
        world.wait_for([&] { return world.m_state.m_runners_revision == 12; }));
    CHECK(count_runners(world.m_state) == 499);
    CHECK(world.m_entries == (known == 0 ? 499U : 2U));
}

TEST_CASE("who looks for members is told no long list of runners",
          "[member_links]")
{
    const auto runners = GENERATE(800, 3200);
    told_world world;
    cluster_state all;
    all.m_runners_revision = 10;
    for (int i = 0; i < runners; ++i)
        all.m_runners.push_back({"r" + std::to_string(i), "text", 5});
    all.m_views = {{.m_epoch = 3, .m_members = world.m_members}};
    world.m_server.apply_state(all);
    world.m_links.connect_seeds({world.m_members.front().m_address});
    REQUIRE(world.wait_for([&] { return !world.m_state.m_views.empty(); }));
    CHECK(world.m_entries <= 1000);
    // Its sources tell it all.
    world.m_links.set_members(world.m_members);
    CHECK(world.wait_for([&] {
        return count_runners(world.m_state) ==
               static_cast<std::size_t>(runners);
    }));
    CHECK(world.m_entries == static_cast<std::size_t>(runners));
}
