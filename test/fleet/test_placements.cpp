// SPDX-License-Identifier: BSL-1.0
// Engine placements over real connections: which VM assigns them, what is
// released when a requester dies, and what an edge VM does without a reply.
#include "pepperturn/forward/placement_client.hpp"

#include "pepperturn/base/hash.hpp"

#include "support/fleet/storage_fixture.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::uint32_t from_tokens = 8192;

/// One engine of two slots, and the storage VMs that assign its placements.
class engine_fleet : public storage_fixture
{
public:
    engine_fleet() : m_placements(m_io, m_time, m_links, from_tokens)
    {
        m_store.put("op/config",
                    R"({"version":1,"routes":[],"services":[{"name":"llm",
                "engine":{"slots":2,"kv_capacity":100000,"stride":1}}]})");
        m_store.put("servers/r1",
                    R"({"service":"llm","address":"127.0.0.1:1","zone":"vm-0",
                "slots":2,"state":"ready","seq":1})");
        start_three();
        m_placements.set_members(members_of(m_state.m_views));
    }
    static placement_request placement_for(const std::string& call)
    {
        placement_request out;
        out.m_service = hash64("llm");
        out.m_call = hash64(call);
        out.m_parts = {{1, 12600}, {hash64(call), 800}};
        out.m_prompt_tokens = 13400;
        out.m_rank = call_rank::first;
        return out;
    }
    placement_result acquire(placement_client& client,
                             const placement_request& what)
    {
        return run_task(m_io, client.acquire(what))
            .value_or(placement_result{});
    }
    /// Until the storage VMs know the engine.
    bool acquire_first(const std::string& call)
    {
        return run_until(m_io, [&] {
            return acquire(m_placements, placement_for(call))
                       .m_reply.m_outcome == placement_outcome::placed;
        });
    }

    placement_client m_placements;
};

} // namespace

TEST_CASE("which prompts request a placement", "[places]")
{
    struct sample
    {
        std::vector<prompt_part> m_parts;
        std::uint32_t m_from;
        bool m_expected;
    };
    const auto each = GENERATE(values<sample>({
        {{}, 100, false},
        // The only part is unique to the conversation.
        {{{1, 5000}}, 100, false},
        {{{1, 5000}, {2, 10}}, 100, true},
        {{{1, 99}, {2, 5000}}, 100, false},
        {{{1, 5000}, {2, 10}}, 0, false},
    }));
    CHECK(has_large_shared_part(each.m_parts, each.m_from) == each.m_expected);
}

TEST_CASE("VMs with the same members use the same placement VM", "[places]")
{
    const std::vector<std::string> members{"a", "b", "c", "d", "e"};
    const std::vector<std::string> shuffled{"d", "b", "e", "a", "c"};
    const auto selected = placement_vms(members, 7);
    CHECK(selected.size() == 3);
    CHECK(placement_vms(shuffled, 7) == selected);
    CHECK(placement_vms({}, 7).empty());
}

TEST_CASE("placements of a VM that has died are released at once",
          "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.acquire_first("a"));
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
        REQUIRE(fleet.acquire(other, engine_fleet::placement_for(call))
                    .m_reply.m_outcome == placement_outcome::placed);
    CHECK(fleet.acquire(fleet.m_placements, engine_fleet::placement_for("d"))
              .m_reply.m_outcome == placement_outcome::no_room);
    dying->stop();
    CHECK(run_until(fleet.m_io, [&] {
        return fleet
                   .acquire(fleet.m_placements,
                            engine_fleet::placement_for("d"))
                   .m_reply.m_outcome == placement_outcome::placed;
    }));
}

TEST_CASE("a queued call is placed when another one ends", "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.acquire_first("a"));
    const auto first =
        fleet.acquire(fleet.m_placements, engine_fleet::placement_for("b"));
    REQUIRE(first.m_reply.m_outcome == placement_outcome::placed);
    REQUIRE(fleet.acquire(fleet.m_placements, engine_fleet::placement_for("c"))
                .m_reply.m_outcome == placement_outcome::placed);
    auto waiting = engine_fleet::placement_for("d");
    waiting.m_rank = call_rank::under_way;
    waiting.m_queue_timeout_ms = 3000;
    std::optional<placement_result> got;
    asio::co_spawn(fleet.m_io, fleet.m_placements.acquire(waiting),
                   [&](const std::exception_ptr&,
                       const placement_result& grant) { got = grant; });
    const auto begun = fleet.m_time.now();
    run_until(fleet.m_io,
              [&] { return fleet.m_time.now() - begun > milliseconds(150); });
    CHECK_FALSE(got.has_value());
    placement_report ended;
    ended.m_runner = first.m_reply.m_runner;
    ended.m_end = placement_end::whole;
    ended.m_first_byte_ms = 20;
    ended.m_run_ms = 100;
    ended.m_output_tokens = 80;
    fleet.m_placements.report_end(first, ended);
    REQUIRE(run_until(fleet.m_io, [&] { return got.has_value(); }));
    CHECK(got->m_reply.m_outcome == placement_outcome::placed);
}

TEST_CASE("without a reply an edge VM chooses an engine itself",
          "[fleet][places]")
{
    engine_fleet fleet;
    REQUIRE(fleet.acquire_first("a"));
    for (const char* name : {"vm-0", "vm-1", "vm-2"})
        fleet.lose(name);
    const auto begun = fleet.m_time.now();
    const auto grant =
        fleet.acquire(fleet.m_placements, engine_fleet::placement_for("b"));
    CHECK(grant.m_reply.m_outcome == placement_outcome::not_placing);
    CHECK(fleet.m_time.now() - begun < milliseconds(200));
}
