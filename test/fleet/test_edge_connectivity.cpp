// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/connectivity_fixture.hpp"

#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/cluster/relay_limits.hpp"
#include "pepperturn/forward/quota_client.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::size_t length_bytes = 4;

void await_relay_peers(connectivity_fixture& fleet,
                       const partitionable_edge& edge, std::uint64_t count)
{
    REQUIRE(
        fleet.wait([&] { return edge.metric("neighbours_known") == count; }));
}

/// Makes storage VMs list \p who as a relay peer.
struct announced_peer
{
    announced_peer(connectivity_fixture& fleet, const relay_peer& who)
        : m_links(fleet.m_io, fleet.m_time, who.m_name)
    {
        m_links.advertise_relay(who.m_address, who.m_availability_zone);
        m_links.set_members(members_of(fleet.m_state.m_views));
        REQUIRE(fleet.wait([&] {
            return m_links.connected("vm-0") && m_links.connected("vm-1") &&
                   m_links.connected("vm-2");
        }));
    }
    ~announced_peer()
    {
        m_links.stop();
    }
    announced_peer(const announced_peer&) = delete;
    announced_peer& operator=(const announced_peer&) = delete;

    member_links m_links;
};

/// Stores two turns, and begins a third that continues both.
void check_turns(partitionable_edge& edge)
{
    REQUIRE(edge.keep("a", ""));
    REQUIRE(edge.keep("b", "a"));
    const auto result = edge.begin(storage_fixture::request("c", "b"));
    CHECK(result.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(result) == "in-a;out-a;in-b;out-b;");
    // Each turn is counted once, however often it was sent.
    CHECK(result.m_reason == "committed=60 budget=1000");
}

} // namespace

TEST_CASE("an edge VM that reaches no storage VM serves turns through a peer",
          "[reach]")
{
    struct row
    {
        const char* m_what;
        std::function<void(partitionable_edge&)> m_partition;
    };
    const auto each = GENERATE(values<row>({
        {"nothing passes", [](partitionable_edge& edge) { edge.partition(); }},
        {"requests are lost, heartbeats arrive",
         [](partitionable_edge& edge) { edge.partition(true, false); }},
        {"requests arrive, replies are lost",
         [](partitionable_edge& edge) { edge.partition(false, true); }},
        {"connections break and none can be made",
         [](partitionable_edge& edge) {
             for (const auto& [name, wire] : edge.m_wires)
                 wire->close();
         }},
    }));
    INFO(each.m_what);
    connectivity_fixture fleet;
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 1);
    each.m_partition(edge);
    check_turns(edge);
    CHECK(edge.metric("asks_relayed") > 0);
    CHECK(helper.metric("relayed_asks") > 0);
    CHECK(helper.metric("relayed_bytes") > 0);
    CHECK(edge.m_client.connected());
}

TEST_CASE("a VM that reaches no storage VM receives state from a relay peer",
          "[reach]")
{
    // With its old views, the VM would be refused as stale until it is
    // connected again.
    connectivity_fixture fleet;
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 1);
    CHECK(edge.m_received_state.m_views.empty());
    edge.partition();
    check_turns(edge);
    REQUIRE(fleet.wait([&] {
        return edge.m_received_state.m_views == fleet.m_state.m_views;
    }));
    cluster_state update;
    update.m_config_revision = 77;
    update.m_config = "{}";
    helper.m_connectivity.send_updates(update);
    CHECK(fleet.wait(
        [&] { return edge.m_received_state.m_config_revision == 77; }));
    // Once reconnected, it receives updates from storage VMs only.
    edge.heal();
    REQUIRE(fleet.wait([&] { return edge.all_direct(); }));
    const auto settled = fleet.m_time.now() + milliseconds(300);
    fleet.wait([&] { return fleet.m_time.now() >= settled; });
    update.m_config_revision = 78;
    helper.m_connectivity.send_updates(update);
    const auto later = fleet.m_time.now() + milliseconds(200);
    fleet.wait([&] { return fleet.m_time.now() >= later; });
    CHECK(edge.m_received_state.m_config_revision == 77);
}

TEST_CASE("a VM that serves through a relay peer stays ready without callers",
          "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 1);
    edge.partition();
    // Longer than an unresponsive member is treated as connected.
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

TEST_CASE("without a relay address no relay peer is used", "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z", false);
    edge.partition();
    const auto refused =
        edge.begin(storage_fixture::request("a", ""), milliseconds(1000));
    CHECK(refused.m_outcome == begin_outcome::unavailable);
    CHECK(helper.metric("relayed_asks") == 0);
}

TEST_CASE("after a partition heals, requests go to members directly again",
          "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 1);
    edge.partition();
    REQUIRE(edge.keep("a", ""));
    edge.heal();
    REQUIRE(fleet.wait([&] { return edge.all_direct(); }));
    const auto relayed = edge.metric("asks_relayed");
    const auto direct = edge.metric("asks_direct");
    CHECK(edge.begin(storage_fixture::request("b", "a")).m_outcome ==
          begin_outcome::granted);
    CHECK(edge.metric("asks_direct") > direct);
    CHECK(edge.metric("asks_relayed") == relayed);
}

TEST_CASE("a relay peer that fails between request and reply", "[reach]")
{
    using handler = fake_relay_peer::handler;
    struct row
    {
        const char* m_what;
        std::function<handler(connectivity_fixture&)> m_make;
    };
    const auto pass_on = [](connectivity_fixture& fleet, const frame& value,
                            reply_handler done) {
        const auto& relayed = std::get<relayed_message>(value.m_body);
        std::string reason;
        auto request = decode_frame(relayed.m_frame, reason);
        REQUIRE(request.has_value());
        fleet.m_links.call(relayed.m_member, request->m_epoch, request->m_body,
                           std::move(done));
    };
    const auto each = GENERATE_COPY(values<row>({
        {"it does not reply",
         [](connectivity_fixture&) -> handler {
             return [](const auto&, const frame&) {};
         }},
        {"it disconnects before it relays",
         [](connectivity_fixture&) -> handler {
             return
                 [](const auto& link, const frame&) { link->close("killed"); };
         }},
        {"it disconnects once the member has replied",
         [pass_on](connectivity_fixture& fleet) -> handler {
             return [pass_on, &fleet](const auto& link, const frame& value) {
                 pass_on(fleet, value, [link](const std::optional<frame>&) {
                     link->close("killed");
                 });
             };
         }},
        {"it relays requests and never replies",
         [pass_on](connectivity_fixture& fleet) -> handler {
             return [pass_on, &fleet](const auto&, const frame& value) {
                 pass_on(fleet, value, [](const std::optional<frame>&) {});
             };
         }},
        {"it rejects some requests and ignores others",
         [](connectivity_fixture&) -> handler {
             return [](const auto& link, const frame& value) {
                 const auto& relayed = std::get<relayed_message>(value.m_body);
                 if (relayed.m_member == "vm-1")
                     link->send({value.m_call, 0, frame_status::failed,
                                 relayed_message{relayed.m_member, ""}});
             };
         }},
        {"it replies with a malformed frame",
         [](connectivity_fixture&) -> handler {
             return [](const auto& link, const frame& value) {
                 const auto& relayed = std::get<relayed_message>(value.m_body);
                 link->send({value.m_call, 0, frame_status::ok,
                             relayed_message{relayed.m_member, "nonsense"}});
             };
         }},
    }));
    INFO(each.m_what);
    connectivity_fixture fleet;
    fake_relay_peer fake(fleet.m_io, each.m_make(fleet));
    // In the requester's zone, so that it is tried first.
    const announced_peer presence(fleet, fake.who("edge-2", "z"));
    partitionable_edge helper(fleet, "edge-1", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 2);
    edge.partition();
    check_turns(edge);
    CHECK(fake.m_request_count > 0);
    CHECK(helper.metric("relayed_asks") > 0);
}

TEST_CASE("two partitioned VMs refuse at once and do not relay in circles",
          "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge first(fleet, "edge-0", "z");
    partitionable_edge second(fleet, "edge-1", "z");
    await_relay_peers(fleet, first, 1);
    await_relay_peers(fleet, second, 1);
    first.partition();
    second.partition();
    // Until each has found that no member is reachable.
    REQUIRE(fleet.wait([&] {
        return !first.m_links.reachable_directly("vm-0") &&
               !second.m_links.reachable_directly("vm-0");
    }));
    const auto relayed =
        first.metric("relayed_asks") + second.metric("relayed_asks");
    const auto begun = fleet.m_time.now();
    const auto result = first.begin(storage_fixture::request("a", ""));
    CHECK(result.m_outcome == begin_outcome::unavailable);
    // Far below a caller's timeout.
    CHECK(fleet.m_time.now() - begun < default_timeout / 4);
    CHECK(first.metric("relayed_asks") + second.metric("relayed_asks") ==
          relayed);
    // An unreachable owner grants nothing.
    quota_client quota(fleet.m_io, fleet.m_time, first.m_links);
    quota.set_members(members_of(fleet.m_state.m_views));
    quota_request request;
    request.m_workspace = 7;
    request.m_limit = {1000, 1000};
    const auto grant = run_task(fleet.m_io, quota.acquire(request));
    REQUIRE(grant.has_value());
    CHECK(grant->m_outcome != quota_outcome::granted);
}

TEST_CASE("a completely partitioned zone is served through another", "[reach]")
{
    connectivity_fixture fleet;
    partitionable_edge near(fleet, "edge-1", "z");
    partitionable_edge far(fleet, "edge-2", "y");
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 2);
    near.partition();
    edge.partition();
    check_turns(edge);
    CHECK(far.metric("relayed_asks") > 0);
}

TEST_CASE("a relay peer closes the connection of a forbidden request",
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
        {"a state update", passed(cluster_state{}), 1},
        {"a request to be relayed again", passed(relayed_message{"vm-1", ""}),
         1},
        {"a request for the relay itself",
         encode_frame({5, 0, frame_status::ok, begin_message{}}), 1},
        {"a malformed frame",
         encode_frame(
             {5, 0, frame_status::ok, relayed_message{"vm-0", "nonsense"}}),
         1},
        {"a frame that is too large", large, 1},
        {"half a frame", usual.substr(0, usual.size() / 2), 0},
    }));
    INFO(each.m_what);
    asio::io_context io(1);
    const system_clock time;
    int request_count = 0;
    relay_server server(io, time,
                        {[](const std::string&) { return true; },
                         [&](std::string, std::uint64_t, frame_body,
                             instant) -> task<std::optional<frame>> {
                             ++request_count;
                             co_return std::nullopt;
                         },
                         {},
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
    CHECK(request_count == 0);
    CHECK(server.counts().m_violations == each.m_violations);
    server.stop();
    io.restart();
    io.poll();
}

TEST_CASE("a relay peer without capacity rejects at once", "[reach]")
{
    struct row
    {
        const char* m_what;
        relay_limits m_limits;
        bool m_reachable;
        int m_request_count;
    };
    const auto each = GENERATE(values<row>({
        {"the member is unreachable", {}, false, 0},
        {"the maximum is in flight", {500, 250, 1e6, 1e6, 2}, true, 2},
        {"its budget is spent", {0.001, 3, 1e6, 1e6, 256}, true, 3},
    }));
    INFO(each.m_what);
    asio::io_context io(1);
    const system_clock time;
    int request_count = 0;
    relay_server server(io, time,
                        {[&](const std::string&) { return each.m_reachable; },
                         [&](std::string, std::uint64_t, frame_body,
                             instant deadline) -> task<std::optional<frame>> {
                             ++request_count;
                             async_event never(io);
                             co_await never.wait_until(deadline);
                             co_return std::nullopt;
                         },
                         {},
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
    const auto request =
        encode_frame({0, 0, frame_status::ok, freshness_request_message{}});
    constexpr int sent = 5;
    for (std::uint64_t call = 1; call <= sent; ++call)
        (*link)->send({call, 0, frame_status::ok,
                       relayed_message{"vm-0", request.substr(length_bytes)}});
    REQUIRE(
        run_until(io, [&] { return refused == sent - each.m_request_count; }));
    CHECK(request_count == each.m_request_count);
    CHECK(server.counts().m_refused ==
          static_cast<std::uint64_t>(sent - each.m_request_count));
    server.stop();
    io.restart();
    io.poll();
}

TEST_CASE("relayed freshness ages from the time of the request", "[reach]")
{
    // The relay peer delays its reply; the age counts from the time of the
    // original request.
    static constexpr milliseconds reply_delay{60};
    connectivity_fixture fleet;
    fleet.m_store.put("op/config", R"({"version":4})");
    fake_relay_peer fake(fleet.m_io, [&](const auto& link, const frame& value) {
        const auto& relayed = std::get<relayed_message>(value.m_body);
        freshness_message message;
        message.m_config_revision = 4;
        message.m_config_age_ms = 10;
        const auto inner = encode_frame({0, 0, frame_status::ok, message});
        spawn(fleet.m_io, "test.answer",
              [](auto& io, auto to, frame reply)
                  -> task<> {
                  co_await sleep_for(io, reply_delay);
                  to->send(reply);
              }(fleet.m_io, link,
                  frame{value.m_call, 0, frame_status::ok,
                        relayed_message{relayed.m_member,
                                        inner.substr(length_bytes)}}));
    });
    const announced_peer presence(fleet, fake.who("edge-2", "z"));
    partitionable_edge edge(fleet, "edge-0", "z");
    await_relay_peers(fleet, edge, 1);
    edge.partition();
    freshness_poller poller(fleet.m_io, fleet.m_time, edge.m_links,
                            {[] { return std::vector<std::string>{"vm-0"}; },
                             [] { return std::uint64_t{4}; },
                             [](const std::string&, std::uint64_t) {},
                             milliseconds(1500)});
    const auto begun = fleet.m_time.now();
    poller.set_enabled(true);
    instant earliest{};
    REQUIRE(fleet.wait([&] {
        earliest = poller.freshness().m_config_confirmed_at;
        return earliest > begun;
    }));
    const auto age = age_of(earliest, fleet.m_time.now());
    CHECK(age >= reply_delay + milliseconds(10));
    poller.set_enabled(false);
}

TEST_CASE("an invalid relay address is rejected at the start", "[reach]")
{
    asio::io_context io(1);
    const system_clock time;
    member_links links(io, time, "edge");
    fleet_settings settings;
    settings.m_name = "edge";
    settings.m_relay_address = "here";
    const cluster_state state;
    edge_connectivity connectivity(
        io, time, settings, links,
        [&state]() -> const cluster_state& { return state; }, [] { return 0; });
    std::string reason;
    CHECK_FALSE(connectivity.start(reason));
    CHECK(reason.find("[listen] relay: ") == 0);
}

namespace {

/// A VM that relays, knows some runners and reaches no member.
class listing_peer
{
public:
    listing_peer(asio::io_context& io, std::size_t runners)
        : m_server(io, m_time,
                   {[](const std::string&) { return false; },
                    {},
                    [this]() -> const cluster_state& { return m_state; },
                    [] { return 0; }}),
          m_at(asio::ip::make_address("127.0.0.1"), free_port(io))
    {
        m_state.m_runners_revision = m_revision;
        for (std::size_t i = 0; i < runners; ++i)
            m_state.m_runners.push_back(
                {std::to_string(1000000 + i), std::string(150, 'x'), 1});
        std::string reason;
        REQUIRE(m_server.listen(m_at, reason));
    }
    [[nodiscard]] relay_peer who(const std::string& name) const
    {
        return {name, to_text(m_at), "z"};
    }

    static constexpr std::uint64_t m_revision = 10;
    system_clock m_time;
    cluster_state m_state;
    relay_server m_server;
    tcp::endpoint m_at;
};

} // namespace

// A list of all runners in one frame holds up the replies behind it, and a VM
// that lost its storage VMs for a second has it already.
TEST_CASE(
    "a relay peer sends the list of runners in parts, or what has changed",
    "[reach]")
{
    constexpr std::size_t runners = 3000;
    const bool knows_all = GENERATE(false, true);
    asio::io_context io(1);
    listing_peer peer(io, runners);
    std::string reason;
    const auto link =
        run_task(io, connect_frame_link(io, peer.who("p").m_address,
                                        default_timeout, reason));
    REQUIRE((link && *link));
    std::size_t largest = 0;
    cluster_state received;
    (*link)->start(
        [&](const frame& value) {
            const auto& update = std::get<cluster_state>(value.m_body);
            largest = std::max(largest, update.m_runners.size());
            merge_state(received, update);
        },
        [](const std::string&) {});
    hello_message hello;
    hello.m_name = "edge";
    hello.m_subscribes = true;
    hello.m_accepts_parts = true;
    hello.m_known_runners = knows_all ? listing_peer::m_revision : 0;
    received.m_runners_revision = hello.m_known_runners;
    (*link)->send({0, 0, frame_status::ok, hello});
    const auto wanted = knows_all ? 0 : runners;
    CHECK(run_until(io, [&] { return received.m_runners.size() == wanted; }));
    const auto settled = peer.m_time.now() + milliseconds(200);
    run_until(io, [&] { return peer.m_time.now() >= settled; });
    CHECK(received.m_runners_revision == listing_peer::m_revision);
    CHECK(received.m_runners.size() == wanted);
    constexpr std::size_t parts_at_least = 10;
    CHECK(largest <= runners / parts_at_least);
    (*link)->close("test ends");
    peer.m_server.stop();
    io.restart();
    io.poll();
}

// Each peer would send a VM that has just started the whole list.
TEST_CASE("a VM that reaches no storage VM subscribes to few peers", "[reach]")
{
    constexpr std::size_t peer_count = 5;
    constexpr std::ptrdiff_t subscribed = 2;
    asio::io_context io(1);
    const system_clock time;
    std::vector<std::unique_ptr<listing_peer>> peers;
    std::vector<relay_peer> names;
    for (std::size_t i = 0; i < peer_count; ++i)
    {
        peers.push_back(std::make_unique<listing_peer>(io, 1));
        names.push_back(peers.back()->who("p" + std::to_string(i)));
    }
    const auto subscribers = [&] {
        return std::count_if(peers.begin(), peers.end(), [](const auto& row) {
            return row->m_server.has_subscribers();
        });
    };
    relay_client client(io, time, "edge", "z");
    client.set_peers(names);
    client.set_subscribed(true);
    // Each peer refuses, so that all are connected to.
    bool refused = false;
    client.send_request(
        "vm-0", "test", {0, 0, frame_status::ok, freshness_request_message{}},
        [&](const std::optional<frame>&) { refused = true; },
        milliseconds(1000));
    REQUIRE(run_until(io, [&] { return refused; }));
    REQUIRE(run_until(io, [&] { return subscribers() == subscribed; }));
    const auto settled = time.now() + milliseconds(100);
    run_until(io, [&] { return time.now() >= settled; });
    CHECK(subscribers() == subscribed);
    // Another one takes the place of one that stops.
    const auto first =
        std::find_if(peers.begin(), peers.end(), [](const auto& row) {
            return row->m_server.has_subscribers();
        });
    REQUIRE(first != peers.end());
    (*first)->m_server.stop();
    peers.push_back(std::move(*first));
    peers.erase(first);
    CHECK(run_until(io, [&] { return subscribers() == subscribed; }));
    client.stop();
    for (const auto& row : peers)
        row->m_server.stop();
    io.restart();
    io.poll();
}
