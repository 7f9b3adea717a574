// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/reach_world.hpp"

#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/relay_limits.hpp"
#include "pepperturn/forward/quota_client.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::size_t length_bytes = 4;

void await_neighbours(reach_world& fleet, const reach_edge& edge,
                      std::uint64_t count)
{
    REQUIRE(
        fleet.wait([&] { return edge.metric("neighbours_known") == count; }));
}

/// Makes storage VMs name \p who as a neighbour.
struct announced
{
    announced(reach_world& fleet, const relay_peer& who)
        : m_links(fleet.m_io, fleet.m_time, who.m_name)
    {
        m_links.advertise_relay(who.m_address, who.m_availability_zone);
        m_links.set_members(members_of(fleet.m_state.m_views));
        REQUIRE(fleet.wait([&] {
            return m_links.connected("vm-0") && m_links.connected("vm-1") &&
                   m_links.connected("vm-2");
        }));
    }
    ~announced()
    {
        m_links.stop();
    }
    announced(const announced&) = delete;
    announced& operator=(const announced&) = delete;

    member_links m_links;
};

/// Two turns are kept, and a third goes on from both.
void check_turns(reach_edge& edge)
{
    REQUIRE(edge.keep("a", ""));
    REQUIRE(edge.keep("b", "a"));
    const auto result = edge.begin(storage_world::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_world::text_of(result) == "in-a;out-a;in-b;out-b;");
    // Each of them counts once, however often it was sent.
    CHECK(result.m_reason == "committed=60 budget=1000");
}

} // namespace

TEST_CASE("an edge VM that hears no storage VM serves turns through another",
          "[reach]")
{
    struct row
    {
        const char* m_what;
        std::function<void(reach_edge&)> m_cut;
    };
    const auto each = GENERATE(values<row>({
        {"nothing passes", [](reach_edge& edge) { edge.cut(); }},
        {"questions are lost, beats come",
         [](reach_edge& edge) { edge.cut(true, false); }},
        {"questions arrive, answers are lost",
         [](reach_edge& edge) { edge.cut(false, true); }},
        {"connections break and none is made",
         [](reach_edge& edge) {
             for (const auto& [name, wire] : edge.m_wires)
                 wire->close();
         }},
    }));
    INFO(each.m_what);
    reach_world fleet;
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 1);
    each.m_cut(edge);
    check_turns(edge);
    CHECK(edge.metric("asks_relayed") > 0);
    CHECK(helper.metric("relayed_asks") > 0);
    CHECK(helper.metric("relayed_bytes") > 0);
    CHECK(edge.m_client.connected());
}

TEST_CASE("a VM that hears no storage VM hears of the world from a neighbour",
          "[reach]")
{
    // With the views of before it would be refused as stale until it is heard
    // again.
    reach_world fleet;
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 1);
    CHECK(edge.m_told.m_views.empty());
    edge.cut();
    check_turns(edge);
    REQUIRE(fleet.wait(
        [&] { return edge.m_told.m_views == fleet.m_state.m_views; }));
    cluster_state news;
    news.m_config_revision = 77;
    news.m_config = "{}";
    helper.m_reach.tell_news(news);
    CHECK(fleet.wait([&] { return edge.m_told.m_config_revision == 77; }));
    // Heard again, it is told by storage VMs alone.
    edge.heal();
    REQUIRE(fleet.wait([&] { return edge.all_direct(); }));
    const auto settled = fleet.m_time.now() + milliseconds(300);
    fleet.wait([&] { return fleet.m_time.now() >= settled; });
    news.m_config_revision = 78;
    helper.m_reach.tell_news(news);
    const auto later = fleet.m_time.now() + milliseconds(200);
    fleet.wait([&] { return fleet.m_time.now() >= later; });
    CHECK(edge.m_told.m_config_revision == 77);
}

TEST_CASE("a VM that serves through a neighbour stays ready without callers",
          "[reach]")
{
    reach_world fleet;
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 1);
    edge.cut();
    // Longer than a silent member counts as heard.
    const auto end = fleet.m_time.now() + 2 * liveness_timeout;
    while (fleet.m_time.now() < end)
    {
        fleet.m_io.run_one_for(milliseconds(20));
        if (!edge.m_client.connected())
            break;
    }
    CHECK(edge.m_client.connected());
    CHECK(edge.metric("asks_relayed") > 0);
}

TEST_CASE("without a relay address no neighbour is asked", "[reach]")
{
    reach_world fleet;
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z", false);
    edge.cut();
    const auto refused =
        edge.begin(storage_world::request("a", ""), milliseconds(1000));
    CHECK(refused.m_outcome == begin_outcome::unavailable);
    CHECK(helper.metric("relayed_asks") == 0);
}

TEST_CASE("a cut that heals: members are asked directly again", "[reach]")
{
    reach_world fleet;
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 1);
    edge.cut();
    REQUIRE(edge.keep("a", ""));
    edge.heal();
    REQUIRE(fleet.wait([&] { return edge.all_direct(); }));
    const auto relayed = edge.metric("asks_relayed");
    const auto direct = edge.metric("asks_direct");
    CHECK(edge.begin(storage_world::request("b", "a")).m_outcome ==
          begin_outcome::granted);
    CHECK(edge.metric("asks_direct") > direct);
    CHECK(edge.metric("asks_relayed") == relayed);
}

TEST_CASE("a neighbour that fails between question and answer", "[reach]")
{
    using handler = fake_neighbour::handler;
    struct row
    {
        const char* m_what;
        std::function<handler(reach_world&)> m_make;
    };
    const auto pass_on = [](reach_world& fleet, const frame& value,
                            reply_handler done) {
        const auto& asked = std::get<relayed_message>(value.m_body);
        std::string reason;
        auto question = decode_frame(asked.m_frame, reason);
        REQUIRE(question.has_value());
        fleet.m_links.call(asked.m_member, question->m_epoch, question->m_body,
                           std::move(done));
    };
    const auto each = GENERATE_COPY(values<row>({
        {"it is silent",
         [](reach_world&) -> handler {
             return [](const auto&, const frame&) {};
         }},
        {"it breaks off before it asks",
         [](reach_world&) -> handler {
             return
                 [](const auto& link, const frame&) { link->close("killed"); };
         }},
        {"it breaks off once the member has done it",
         [pass_on](reach_world& fleet) -> handler {
             return [pass_on, &fleet](const auto& link, const frame& value) {
                 pass_on(fleet, value, [link](const std::optional<frame>&) {
                     link->close("killed");
                 });
             };
         }},
        {"it passes questions on and answers nothing",
         [pass_on](reach_world& fleet) -> handler {
             return [pass_on, &fleet](const auto&, const frame& value) {
                 pass_on(fleet, value, [](const std::optional<frame>&) {});
             };
         }},
        {"it refuses some and says nothing to others",
         [](reach_world&) -> handler {
             return [](const auto& link, const frame& value) {
                 const auto& asked = std::get<relayed_message>(value.m_body);
                 if (asked.m_member == "vm-1")
                     link->send({value.m_call, 0, frame_status::failed,
                                 relayed_message{asked.m_member, ""}});
             };
         }},
        {"it answers with what is no frame",
         [](reach_world&) -> handler {
             return [](const auto& link, const frame& value) {
                 const auto& asked = std::get<relayed_message>(value.m_body);
                 link->send({value.m_call, 0, frame_status::ok,
                             relayed_message{asked.m_member, "nonsense"}});
             };
         }},
    }));
    INFO(each.m_what);
    reach_world fleet;
    fake_neighbour fake(fleet.m_io, each.m_make(fleet));
    // In the asker's zone, so that it is asked first.
    const announced presence(fleet, fake.who("edge-2", "z"));
    reach_edge helper(fleet, "edge-1", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 2);
    edge.cut();
    check_turns(edge);
    CHECK(fake.m_asked > 0);
    CHECK(helper.metric("relayed_asks") > 0);
}

TEST_CASE("two VMs that are both cut refuse at once and ask nobody in circles",
          "[reach]")
{
    reach_world fleet;
    reach_edge first(fleet, "edge-0", "z");
    reach_edge second(fleet, "edge-1", "z");
    await_neighbours(fleet, first, 1);
    await_neighbours(fleet, second, 1);
    first.cut();
    second.cut();
    // Until each knows that it hears no member itself.
    REQUIRE(fleet.wait([&] {
        return !first.m_links.reachable_directly("vm-0") &&
               !second.m_links.reachable_directly("vm-0");
    }));
    const auto relayed =
        first.metric("relayed_asks") + second.metric("relayed_asks");
    const auto asked = fleet.m_time.now();
    const auto result = first.begin(storage_world::request("a", ""));
    CHECK(result.m_outcome == begin_outcome::unavailable);
    // Far below the patience of a caller.
    CHECK(fleet.m_time.now() - asked < usual_patience / 4);
    CHECK(first.metric("relayed_asks") + second.metric("relayed_asks") ==
          relayed);
    // An owner that nobody reaches grants nothing.
    quota_client quota(fleet.m_io, fleet.m_time, first.m_links);
    quota.set_members(members_of(fleet.m_state.m_views));
    quota_request question;
    question.m_workspace = 7;
    question.m_limit = {1000, 1000};
    const auto grant = run_task(fleet.m_io, quota.acquire(question));
    REQUIRE(grant.has_value());
    CHECK(grant->m_outcome != quota_outcome::granted);
}

TEST_CASE("a zone that is cut as a whole goes through another", "[reach]")
{
    reach_world fleet;
    reach_edge near(fleet, "edge-1", "z");
    reach_edge far(fleet, "edge-2", "y");
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 2);
    near.cut();
    edge.cut();
    check_turns(edge);
    CHECK(far.metric("relayed_asks") > 0);
}

TEST_CASE("a neighbour ends the connection of who asks what it may not",
          "[reach]")
{
    struct row
    {
        const char* m_what;
        std::string m_bytes;
        std::uint64_t m_violations;
    };
    const auto passed = [](const frame_body& body) {
        const auto inner = encode_frame({1, 1, frame_status::ok, body});
        return encode_frame(
            {5, 0, frame_status::ok,
             relayed_message{"vm-0", inner.substr(length_bytes)}});
    };
    const auto usual = passed(freshness_request_message{});
    const auto large = passed(append_message{
        {retention_ms,
         turn_record{
             "a", "", std::string(2U << 20U, 'x'), "", "run", {}, {}, 1}}});
    const auto each = GENERATE_COPY(values<row>({
        {"a listing", passed(list_message{}), 1},
        {"news", passed(cluster_state{}), 1},
        {"a question to be relayed again", passed(relayed_message{"vm-1", ""}),
         1},
        {"a question for itself",
         encode_frame({5, 0, frame_status::ok, begin_message{}}), 1},
        {"what is no frame",
         encode_frame(
             {5, 0, frame_status::ok, relayed_message{"vm-0", "nonsense"}}),
         1},
        {"a frame that is too large", large, 1},
        {"half a frame", usual.substr(0, usual.size() / 2), 0},
    }));
    INFO(each.m_what);
    asio::io_context io(1);
    const system_clock time;
    int asked = 0;
    relay_server server(io, time,
                        {[](const std::string&) { return true; },
                         [&](std::string, std::uint64_t, frame_body,
                             instant) -> task<std::optional<frame>> {
                             ++asked;
                             co_return std::nullopt;
                         },
                         {}});
    const tcp::endpoint at(asio::ip::make_address("127.0.0.1"), free_port(io));
    std::string reason;
    REQUIRE(server.listen(at, reason));
    tcp::socket peer(io);
    peer.connect(at);
    bool ended = false;
    bool sent = false;
    spawn(
        io, "test.send", [](auto& to, std::string bytes, bool& done) -> task<> {
            error_code ignored;
            co_await asio::async_write(to, asio::buffer(bytes), into(ignored));
            done = true;
        }(peer, each.m_bytes, sent));
    REQUIRE(run_until(io, [&] { return sent; }));
    if (each.m_violations == 0)
    {
        error_code ignored;
        peer.shutdown(tcp::socket::shutdown_send, ignored);
    }
    std::array<char, 16> chunk{};
    peer.async_read_some(
        asio::buffer(chunk),
        [&](const error_code& ec, std::size_t) { ended = ec.failed(); });
    REQUIRE(run_until(io, [&] { return ended; }));
    CHECK(asked == 0);
    CHECK(server.counts().m_violations == each.m_violations);
    server.stop();
    io.restart();
    io.poll();
}

TEST_CASE("a neighbour without room says so at once", "[reach]")
{
    struct row
    {
        const char* m_what;
        relay_limits m_limits;
        bool m_reaches;
        int m_asked;
    };
    const auto each = GENERATE(values<row>({
        {"it does not hear the member", {}, false, 0},
        {"as many as may be are under way", {500, 250, 1e6, 1e6, 2}, true, 2},
        {"its budget is spent", {0.001, 3, 1e6, 1e6, 256}, true, 3},
    }));
    INFO(each.m_what);
    asio::io_context io(1);
    const system_clock time;
    int asked = 0;
    relay_server server(io, time,
                        {[&](const std::string&) { return each.m_reaches; },
                         [&](std::string, std::uint64_t, frame_body,
                             instant until) -> task<std::optional<frame>> {
                             ++asked;
                             async_event never(io);
                             co_await never.wait_until(until);
                             co_return std::nullopt;
                         },
                         {}},
                        each.m_limits);
    const auto port = free_port(io);
    std::string reason;
    REQUIRE(server.listen({asio::ip::make_address("127.0.0.1"), port}, reason));
    const auto link =
        run_task(io, connect_frame_link(io, "127.0.0.1:" + std::to_string(port),
                                        milliseconds(2000), reason));
    REQUIRE((link && *link));
    int refused = 0;
    (*link)->start(
        [&](const frame& value) {
            refused += value.m_status == frame_status::failed ? 1 : 0;
        },
        [](const std::string&) {});
    const auto question =
        encode_frame({0, 0, frame_status::ok, freshness_request_message{}});
    constexpr int sent = 5;
    for (std::uint64_t call = 1; call <= sent; ++call)
        (*link)->send({call, 0, frame_status::ok,
                       relayed_message{"vm-0", question.substr(length_bytes)}});
    REQUIRE(run_until(io, [&] { return refused == sent - each.m_asked; }));
    CHECK(asked == each.m_asked);
    CHECK(server.counts().m_refused ==
          static_cast<std::uint64_t>(sent - each.m_asked));
    server.stop();
    io.restart();
    io.poll();
}

TEST_CASE("what a neighbour tells is as old as its question", "[reach]")
{
    // The neighbour holds the answer back; the age counts from when the first
    // asker asked.
    static constexpr milliseconds held{60};
    reach_world fleet;
    fleet.m_store.put("op/config", R"({"version":4})");
    fake_neighbour fake(fleet.m_io, [&](const auto& link, const frame& value) {
        const auto& asked = std::get<relayed_message>(value.m_body);
        freshness_message told;
        told.m_config_revision = 4;
        told.m_config_age_ms = 10;
        const auto inner = encode_frame({0, 0, frame_status::ok, told});
        spawn(fleet.m_io, "test.answer",
              [](auto& io, auto to, frame answer)
                  -> task<> {
                  co_await sleep_for(io, held);
                  to->send(answer);
              }(fleet.m_io, link,
                  frame{value.m_call, 0, frame_status::ok,
                        relayed_message{asked.m_member,
                                        inner.substr(length_bytes)}}));
    });
    const announced presence(fleet, fake.who("edge-2", "z"));
    reach_edge edge(fleet, "edge-0", "z");
    await_neighbours(fleet, edge, 1);
    edge.cut();
    freshness_poller keeper(fleet.m_io, fleet.m_time, edge.m_links,
                            {[] { return std::vector<std::string>{"vm-0"}; },
                             [] { return std::uint64_t{4}; },
                             [](const std::string&, std::uint64_t) {}});
    const auto begun = fleet.m_time.now();
    keeper.set_enabled(true);
    instant earliest{};
    REQUIRE(fleet.wait([&] {
        earliest = keeper.freshness().m_config_confirmed_at;
        return earliest > begun;
    }));
    const auto age = age_of(earliest, fleet.m_time.now());
    CHECK(age >= held + milliseconds(10));
    keeper.set_enabled(false);
}

TEST_CASE("a relay address that is none is refused at the start", "[reach]")
{
    asio::io_context io(1);
    const system_clock time;
    member_links links(io, time, "edge");
    fleet_settings settings;
    settings.m_name = "edge";
    settings.m_relay_address = "here";
    edge_reach reach(io, time, settings, links, [] { return cluster_state{}; });
    std::string reason;
    CHECK_FALSE(reach.start(reason));
    CHECK(reason.find("[listen] relay: ") == 0);
}
