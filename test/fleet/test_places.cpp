// SPDX-License-Identifier: BSL-1.0
// Places at engines over real connections: who hands them out, what comes back
// when an asker dies, and what an edge VM does while nobody answers.
#include "pepperturn/forward/placement_client.hpp"

#include "pepperturn/base/hash.hpp"

#include "support/fleet/storage_world.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::uint32_t from_tokens = 8192;

/// One engine of two slots, and the storage VMs that hand out its places.
class engine_fleet : public storage_world
{
public:
    engine_fleet() : m_places(m_io, m_time, m_links, from_tokens)
    {
        m_store.put("op/config",
                    R"({"version":1,"routes":[],"services":[{"name":"llm",
                "engine":{"slots":2,"kv_capacity":100000,"stride":1}}]})");
        m_store.put("servers/r1",
                    R"({"service":"llm","address":"127.0.0.1:1","zone":"vm-0",
                "slots":2,"state":"ready","seq":1})");
        start_three();
        m_places.set_members(members_of(m_state.m_views));
    }
    static placement_request question(const std::string& call)
    {
        placement_request out;
        out.m_service = hash64("llm");
        out.m_call = hash64(call);
        out.m_parts = {{1, 12600}, {hash64(call), 800}};
        out.m_prompt_tokens = 13400;
        out.m_rank = call_rank::first;
        return out;
    }
    placement_result take(placement_client& places,
                          const placement_request& what)
    {
        return run_task(m_io, places.acquire(what))
            .value_or(placement_result{});
    }
    /// Until the storage VMs know the engine.
    bool take_first(const std::string& call)
    {
        return run_until(m_io, [&] {
            return take(m_places, question(call)).m_reply.m_outcome ==
                   placement_outcome::placed;
        });
    }

    placement_client m_places;
};

} // namespace

TEST_CASE("which prompts are worth a place", "[places]")
{
    struct sample
    {
        std::vector<prompt_part> m_parts;
        std::uint32_t m_from;
        bool m_wanted;
    };
    const auto each = GENERATE(values<sample>({
        {{}, 100, false},
        // The only part is the conversation's own.
        {{{1, 5000}}, 100, false},
        {{{1, 5000}, {2, 10}}, 100, true},
        {{{1, 99}, {2, 5000}}, 100, false},
        {{{1, 5000}, {2, 10}}, 0, false},
    }));
    CHECK(has_large_shared_part(each.m_parts, each.m_from) == each.m_wanted);
}

TEST_CASE("those who know the same members ask the same VM", "[places]")
{
    const std::vector<std::string> members{"a", "b", "c", "d", "e"};
    const std::vector<std::string> shuffled{"d", "b", "e", "a", "c"};
    const auto givers = placement_vms(members, 7);
    CHECK(givers.size() == 3);
    CHECK(placement_vms(shuffled, 7) == givers);
    CHECK(placement_vms({}, 7).empty());
}

TEST_CASE("places of a VM that has died come back at once", "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.take_first("a"));
    auto dying =
        std::make_unique<member_links>(fleet.m_io, fleet.m_time, "dying");
    dying->set_members(members_of(fleet.m_state.m_views));
    REQUIRE(run_until(fleet.m_io, [&] {
        return dying->connected("vm-0") && dying->connected("vm-1") &&
               dying->connected("vm-2");
    }));
    placement_client other(fleet.m_io, fleet.m_time, *dying, from_tokens);
    other.set_members(members_of(fleet.m_state.m_views));
    // All slots and the one call that may wait at the engine are taken.
    for (const char* call : {"b", "c"})
        REQUIRE(
            fleet.take(other, engine_fleet::question(call)).m_reply.m_outcome ==
            placement_outcome::placed);
    CHECK(fleet.take(fleet.m_places, engine_fleet::question("d"))
              .m_reply.m_outcome == placement_outcome::no_room);
    dying->stop();
    CHECK(run_until(fleet.m_io, [&] {
        return fleet.take(fleet.m_places, engine_fleet::question("d"))
                   .m_reply.m_outcome == placement_outcome::placed;
    }));
}

TEST_CASE("a call in line has its place when another one ends",
          "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.take_first("a"));
    const auto first = fleet.take(fleet.m_places, engine_fleet::question("b"));
    REQUIRE(first.m_reply.m_outcome == placement_outcome::placed);
    REQUIRE(fleet.take(fleet.m_places, engine_fleet::question("c"))
                .m_reply.m_outcome == placement_outcome::placed);
    auto waiting = engine_fleet::question("d");
    waiting.m_rank = call_rank::under_way;
    waiting.m_queue_timeout_ms = 3000;
    std::optional<placement_result> got;
    asio::co_spawn(fleet.m_io, fleet.m_places.acquire(waiting),
                   [&](const std::exception_ptr&,
                       const placement_result& grant) { got = grant; });
    const auto asked = fleet.m_time.now();
    run_until(fleet.m_io,
              [&] { return fleet.m_time.now() - asked > milliseconds(150); });
    CHECK_FALSE(got.has_value());
    placement_report ended;
    ended.m_runner = first.m_reply.m_runner;
    ended.m_end = placement_end::whole;
    ended.m_first_byte_ms = 20;
    ended.m_run_ms = 100;
    ended.m_output_tokens = 80;
    fleet.m_places.report_end(first, ended);
    REQUIRE(run_until(fleet.m_io, [&] { return got.has_value(); }));
    CHECK(got->m_reply.m_outcome == placement_outcome::placed);
}

TEST_CASE("without an answer an edge VM chooses by itself", "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.take_first("a"));
    for (const char* name : {"vm-0", "vm-1", "vm-2"})
        fleet.lose(name);
    const auto asked = fleet.m_time.now();
    const auto grant = fleet.take(fleet.m_places, engine_fleet::question("b"));
    CHECK(grant.m_reply.m_outcome == placement_outcome::not_placing);
    CHECK(fleet.m_time.now() - asked < milliseconds(200));
}
