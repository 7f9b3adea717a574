// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/link_health.hpp"
#include "pepperturn/cluster/relay_limits.hpp"
#include "pepperturn/cluster/relay_peers.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace pepperturn;

constexpr instant at(int ms)
{
    return instant{} + milliseconds(1000000 + ms);
}

std::vector<relay_peer> make_fleet(int zones, int vms)
{
    std::vector<relay_peer> out;
    for (int i = 0; i < vms; ++i)
    {
        const auto zone = std::string(1, static_cast<char>('a' + i % zones));
        out.push_back({"edge-" + std::to_string(i), "1.2.3.4:1", zone});
    }
    return out;
}

quota_request returned_grant()
{
    quota_request out;
    out.m_is_return = true;
    return out;
}

} // namespace

TEST_CASE("relay peers are chosen in the own zone and in others", "[reach]")
{
    struct row
    {
        const char* m_what;
        std::vector<relay_peer> m_candidates;
        std::size_t m_near;
        std::size_t m_far;
    };
    const auto each = GENERATE(values<row>({
        {"nobody", {}, 0, 0},
        {"itself", {{"edge-0", "1.2.3.4:1", "a"}}, 0, 0},
        {"one that does not relay", {{"edge-1", "", "a"}}, 0, 0},
        {"one with two connections",
         {{"edge-1", "1.2.3.4:1", "a"}, {"edge-1", "1.2.3.4:1", "a"}},
         1,
         0},
        {"its zone only", make_fleet(1, 9), 2, 0},
        {"many in four zones", make_fleet(4, 76), 2, 4},
        {"two in each of two zones", make_fleet(2, 4), 1, 2},
    }));
    INFO(each.m_what);
    const auto chosen = choose_relay_peers(each.m_candidates, "edge-0", "a");
    const auto near =
        std::count_if(chosen.begin(), chosen.end(), [](const relay_peer& peer) {
            return peer.m_availability_zone == "a";
        });
    CHECK(static_cast<std::size_t>(near) == each.m_near);
    CHECK(chosen.size() == each.m_near + each.m_far);
    CHECK(
        std::none_of(chosen.begin(), chosen.end(), [](const relay_peer& peer) {
            return peer.m_name == "edge-0" || peer.m_address.empty();
        }));
}

TEST_CASE("no VM is chosen by a large part of the fleet", "[reach]")
{
    const auto fleet = make_fleet(4, 76);
    std::map<std::string, int> chosen;
    for (const auto& requester : fleet)
    {
        for (const auto& peer : choose_relay_peers(
                 fleet, requester.m_name, requester.m_availability_zone))
            ++chosen[peer.m_name];
    }
    for (const auto& [name, count] : chosen)
    {
        INFO(name);
        // Six on average; a fifth of the fleet is far from that.
        CHECK(count <= 15);
    }
}

TEST_CASE("the loss of a relay peer leaves the other choices unchanged",
          "[reach]")
{
    auto fleet = make_fleet(4, 76);
    const auto before = choose_relay_peers(fleet, "edge-0", "a");
    std::erase_if(fleet, [&](const relay_peer& peer) {
        return peer.m_name == before.front().m_name;
    });
    const auto after = choose_relay_peers(fleet, "edge-0", "a");
    const auto kept = std::count_if(
        before.begin(), before.end(), [&](const relay_peer& peer) {
            return std::find(after.begin(), after.end(), peer) != after.end();
        });
    CHECK(static_cast<std::size_t>(kept) == before.size() - 1);
}

TEST_CASE("which relay peer is tried next", "[reach]")
{
    struct row
    {
        const char* m_what;
        std::vector<relay_peer_facts> m_peers;
        std::string m_zone_of_next;
    };
    const auto each = GENERATE(values<row>({
        {"no peer is known", {}, ""},
        {"the own zone first", {{"x", "b"}, {"y", "a"}}, "a"},
        {"then another zone, though its own has more",
         {{"x", "a", true}, {"y", "a"}, {"z", "b"}},
         "b"},
        {"its own again if no other is left",
         {{"x", "a", true}, {"y", "a"}, {"z", "b", true}},
         "a"},
        {"one that failed is skipped",
         {{"x", "a", false, 0, at(1)}, {"y", "b"}},
         "b"},
        {"one that does not reach the member as well",
         {{"x", "a", false, 0, {}, at(1)}, {"y", "b"}},
         "b"},
        {"both for a limited time",
         {{"x", "a", false, 0, at(0), at(-5)}, {"y", "b"}},
         "a"},
        {"one with a few more pending requests is as good",
         {{"x", "a", false, requests_per_load_step - 1}, {"y", "b"}},
         "a"},
        {"a farther one is preferred to a busy one",
         {{"x", "a", false, requests_per_load_step}, {"y", "b"}},
         "b"},
        {"the less busy one of two that are busy",
         {{"x", "a", false, 9 * requests_per_load_step},
          {"y", "b", false, requests_per_load_step}},
         "b"},
        {"none is left", {{"x", "a", true}, {"y", "b", false, 0, at(9)}}, ""},
    }));
    INFO(each.m_what);
    const auto next = next_relay_peer(each.m_peers, "member", "a", at(0));
    CHECK((next ? each.m_peers[*next].m_availability_zone : "") ==
          each.m_zone_of_next);
}

TEST_CASE("members are spread over the relay peers of a zone", "[reach]")
{
    const std::vector<relay_peer_facts> rows{{"x", "a"}, {"y", "a"}};
    std::size_t first = 0;
    for (int i = 0; i < 100; ++i)
        first += next_relay_peer(rows, "member-" + std::to_string(i), "a",
                                 at(0)) == std::size_t{0}
                     ? 1
                     : 0;
    CHECK(first > 25);
    CHECK(first < 75);
}

TEST_CASE("when a member is reached on its direct link", "[reach]")
{
    struct row
    {
        const char* m_what;
        link_facts m_facts;
        bool m_reachable;
        bool m_probed;
    };
    const auto each = GENERATE(values<row>({
        {"recently received", {true, false, at(-700)}, true, false},
        {"a heartbeat is late", {true, false, at(-900)}, true, true},
        {"no connection", {false, false, at(-10)}, false, true},
        {"a request timed out", {true, true, at(-300)}, false, true},
        {"two heartbeats missed", {true, false, at(-1200)}, false, true},
    }));
    INFO(each.m_what);
    CHECK(is_reachable(each.m_facts, at(0)) == each.m_reachable);
    CHECK(needs_probe(each.m_facts, at(0)) == each.m_probed);
}

TEST_CASE("when a request on an unresponsive link is relayed", "[reach]")
{
    struct row
    {
        const char* m_what;
        instant m_replied;
        milliseconds m_timeout;
        bool m_silent;
    };
    // Each request was sent 100 ms ago, and a heartbeat arrived 10 ms ago.
    const auto each = GENERATE(values<row>({
        {"a long timeout", at(-200), milliseconds(3000), false},
        {"a short timeout", at(-200), milliseconds(50), true},
        {"another request was answered since", at(-50), milliseconds(50),
         false},
        {"just long enough", at(-200), milliseconds(200), true},
    }));
    INFO(each.m_what);
    const link_facts facts{true, false, at(-10), each.m_replied};
    CHECK(is_unresponsive(facts, at(-100), direct_timeout_for(each.m_timeout),
                          at(0)) == each.m_silent);
}

TEST_CASE("only messages that a caller's request needs are relayed", "[reach]")
{
    struct row
    {
        frame_body m_body;
        bool m_allowed;
    };
    const auto each = GENERATE(values<row>({
        {begin_message{}, true},
        {append_message{}, true},
        {fetch_message{}, true},
        {freshness_request_message{}, true},
        {config_request_message{}, true},
        {quota_request{}, true},
        {returned_grant(), false},
        {placement_request{}, true},
        {placement_report{}, true},
        {hello_message{}, false},
        {cluster_state{}, false},
        {heartbeat_message{}, false},
        {list_message{}, false},
        {read_message{}, false},
        {copied_message{}, false},
        {relay_peers_request_message{}, false},
        {relayed_message{}, false},
        {quota_reply{}, false},
    }));
    INFO(each.m_body.index());
    CHECK(may_be_relayed(each.m_body) == each.m_allowed);
}

TEST_CASE("a VM relays up to its budget", "[reach]")
{
    struct row
    {
        const char* m_what;
        std::size_t m_bytes;
        std::size_t m_reply;
        int m_between_ms;
        int m_admitted;
    };
    // Ten requests per second and bursts of four; 1,000 bytes each.
    const relay_limits limits{10, 4, 1000, 1000, 8};
    const auto each = GENERATE(values<row>({
        {"a burst", 1, 0, 0, 4},
        {"at the sustained rate", 1, 0, 100, 20},
        {"at twice the sustained rate", 1, 0, 50, 13},
        {"a large request", 1001, 0, 1000, 0},
        {"all bytes of the burst", 500, 0, 0, 2},
        {"a large reply is paid off first", 1, 3000, 100, 1},
    }));
    INFO(each.m_what);
    relay_budget budget;
    int admitted = 0;
    for (int i = 0; i < 20; ++i)
    {
        if (!admit_relayed_request(budget, limits, each.m_bytes,
                                   at(0) + i * milliseconds(each.m_between_ms)))
            continue;
        ++admitted;
        charge_reply(budget, each.m_reply);
    }
    CHECK(admitted == each.m_admitted);
}
