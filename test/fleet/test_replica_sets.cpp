// SPDX-License-Identifier: BSL-1.0
// Storage VMs in several replica sets, as real nodes on loopback.
#include "pepperturn/base/hash.hpp"

#include "support/fleet/storage_fixture.hpp"

#include <catch2/catch.hpp>
#include <fstream>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr int vm_count = 6;

std::string vm_name(int number)
{
    return "vm-" + std::to_string(number);
}

/// Six VMs that may lose one disk: two sets of three.
class two_sets : public storage_fixture
{
public:
    two_sets()
    {
        for (int i = 0; i < vm_count; ++i)
            add(vm_name(i));
        REQUIRE(wait_for("vm-0Fvm-1Fvm-2Fvm-3Fvm-4Fvm-5F"));
        REQUIRE(run_until(m_io, [&] {
            for (int i = 0; i < vm_count; ++i)
            {
                if (!m_links.connected(vm_name(i)))
                    return false;
            }
            return true;
        }));
        REQUIRE(m_state.m_views.size() == 2);
    }

    /// Name of a program that the set stores.
    static std::string program_in(std::uint32_t set)
    {
        for (int i = 0;; ++i)
        {
            auto name = "p" + std::to_string(i);
            if (set_of(key_of(name).m_low, 2) == set)
                return name;
        }
    }
    begin_result begin_in(const std::string& program, const std::string& id,
                          const std::string& parent)
    {
        auto what = request(id, parent);
        what.m_program = key_of(program);
        return begin(what, milliseconds(1500));
    }
    bool keep_in(const std::string& program, const std::string& id,
                 const std::string& parent)
    {
        const log_entry entry{retention_ms,
                              turn_record{id, parent, "in-" + id + ';',
                                          "out-" + id + ';', "run",
                                          key_of(program), key_of(id), 30}};
        return run_task(m_io,
                        m_client.store(entry, m_time.now() + default_timeout))
            .value_or(false);
    }
    /// Stores a turn on one member alone.
    bool append_to(const std::string& name, std::uint32_t set,
                   const std::string& id, const std::string& program)
    {
        const append_message body{
            {retention_ms, turn_record{id, "", "in", "out", "run",
                                       key_of(program), key_of(id), 30}}};
        const auto answer = run_task(
            m_io, m_links.request(name, m_state.m_views[set].m_epoch, body,
                                  m_time.now() + default_timeout));
        return answer && *answer && (*answer)->m_status == frame_status::ok;
    }
    /// Restarts a VM with an empty disk.
    void empty_disk(const std::string& name)
    {
        lose(name);
        m_stopped.push_back(std::move(m_vms[name]));
        std::filesystem::remove_all(m_folder + '/' + name);
        add(name, false);
    }
    /// Overwrites what a VM has in its log.
    void damage_log(const std::string& name)
    {
        for (const auto& each :
             std::filesystem::directory_iterator(m_folder + '/' + name))
        {
            if (!each.path().filename().string().starts_with("segment-"))
                continue;
            std::fstream log(each.path(),
                             std::ios::in | std::ios::out | std::ios::binary);
            log << std::string(each.file_size(), '\xff');
        }
    }
    /// Number of the set's VMs that store the turn.
    std::size_t holders(std::uint32_t set, const std::string& turn)
    {
        std::size_t count = 0;
        const auto view = m_state.m_views[set];
        for (const auto& row : view.m_members)
        {
            const auto answer =
                run_task(m_io, m_links.request(row.m_name, view.m_epoch,
                                               fetch_message{turn},
                                               m_time.now() + default_timeout));
            REQUIRE(answer.has_value());
            REQUIRE(answer->has_value());
            const auto* fetched =
                std::get_if<fetched_message>(&(*answer)->m_body);
            count += fetched != nullptr && !fetched->m_history.empty() ? 1 : 0;
        }
        return count;
    }
    [[nodiscard]] int watchers() const
    {
        int count = 0;
        for (const auto& [name, vm] : m_vms)
            count += vm->m_source.running() ? 1 : 0;
        return count;
    }
    void tick_all()
    {
        for (const auto& [name, vm] : m_vms)
            vm->m_node->tick();
    }
    /// Runs periodic work as the daemon does until \p done.
    bool tick_until(const std::function<bool()>& done, milliseconds limit)
    {
        auto next = std::chrono::steady_clock::now();
        return run_until(
            m_io,
            [&] {
                const auto now = std::chrono::steady_clock::now();
                if (now >= next)
                {
                    constexpr milliseconds tick{100};
                    next = now + tick;
                    tick_all();
                }
                return done();
            },
            limit);
    }
};

} // namespace

TEST_CASE("a turn is kept by its program's set only", "[fleet][replica_sets]")
{
    two_sets fleet;
    for (std::uint32_t set = 0; set < 2; ++set)
    {
        const auto program = two_sets::program_in(set);
        const auto id = "t" + std::to_string(set);
        CHECK(fleet.begin_in(program, id, "").m_outcome ==
              begin_outcome::granted);
        REQUIRE(fleet.keep_in(program, id, ""));
        CHECK(fleet.holders(set, id) >= 2);
        CHECK(fleet.holders(1 - set, id) == 0);
    }
}

TEST_CASE("a program continues a turn that another set stores",
          "[fleet][replica_sets]")
{
    // After a permanent failure new programs continue turns of earlier ones.
    two_sets fleet;
    const auto earlier = two_sets::program_in(0);
    const auto later = two_sets::program_in(1);
    REQUIRE(fleet.keep_in(earlier, "a", ""));
    REQUIRE(fleet.keep_in(earlier, "b", "a"));
    const auto first = fleet.begin_in(later, "c", "b");
    CHECK(first.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(first) == "in-a;out-a;in-b;out-b;");
    REQUIRE(fleet.keep_in(later, "c", "b"));
    // Now each set stores a part of the turn history.
    const auto second = fleet.begin_in(later, "d", "c");
    CHECK(second.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(second) ==
          "in-a;out-a;in-b;out-b;in-c;out-c;");
}

TEST_CASE("a turn is reported absent only if no set has it",
          "[fleet][replica_sets]")
{
    two_sets fleet;
    const auto program = two_sets::program_in(0);
    CHECK(fleet.begin_in(program, "a", "none").m_outcome ==
          begin_outcome::no_such_turn);
    // A VM that could have it does not reply: absence is unknown.
    const auto away = fleet.m_state.m_views[1].m_members.front().m_name;
    fleet.lose(away);
    CHECK(fleet.begin_in(program, "b", "none").m_outcome ==
          begin_outcome::unavailable);
}

// New programs continue turns of other sets after a loss of all VMs, while some
// are not back yet.
TEST_CASE("a silent member does not hide a turn that another set stores",
          "[fleet][replica_sets]")
{
    const std::uint32_t set_of_silent = GENERATE(0, 1);
    two_sets fleet;
    const auto earlier = two_sets::program_in(0);
    const auto later = two_sets::program_in(1);
    REQUIRE(fleet.keep_in(earlier, "a", ""));
    REQUIRE(fleet.keep_in(earlier, "b", "a"));
    fleet.lose(fleet.m_state.m_views[set_of_silent].m_members.front().m_name);
    const auto begun = fleet.begin_in(later, "c", "b");
    CHECK(begun.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(begun) == "in-a;out-a;in-b;out-b;");
}

// A fenced member is told the newer view, and has to be asked again.
TEST_CASE("a turn is found in a set whose view has just changed",
          "[fleet][replica_sets]")
{
    two_sets fleet;
    const auto earlier = two_sets::program_in(0);
    const auto later = two_sets::program_in(1);
    REQUIRE(fleet.keep_in(earlier, "a", ""));
    auto views = fleet.m_state.m_views;
    --views[0].m_epoch;
    fleet.m_client.follow(views);
    fleet.m_links.on_state(
        [&](const std::string&, const cluster_state& update) {
            auto state = fleet.m_state;
            merge_state(state, update);
            fleet.m_client.follow(state.m_views);
        });
    CHECK(fleet.begin_in(later, "b", "a").m_outcome == begin_outcome::granted);
}

// Each search asks all members of all sets, and many search at a start of all.
TEST_CASE("a search that members refuse is repeated a few times",
          "[fleet][replica_sets]")
{
    constexpr std::uint64_t max_requests = 50;
    two_sets fleet;
    auto views = fleet.m_state.m_views;
    --views[0].m_epoch;
    fleet.m_client.follow(views);
    const auto before = fleet.m_links.direct_requests();
    CHECK(fleet.begin_in(two_sets::program_in(1), "b", "none").m_outcome ==
          begin_outcome::unavailable);
    CHECK(fleet.m_links.direct_requests() - before <= max_requests);
}

// A storage VM that lists a turn and cannot read it does not lack it.
TEST_CASE("a turn that cannot be read is not denied", "[fleet][replica_sets]")
{
    two_sets fleet;
    const auto earlier = two_sets::program_in(0);
    REQUIRE(fleet.keep_in(earlier, "a", ""));
    REQUIRE(fleet.holders(0, "a") >= 2);
    for (const auto& row : fleet.m_state.m_views[0].m_members)
        fleet.damage_log(row.m_name);
    CHECK(fleet.begin_in(two_sets::program_in(1), "b", "a").m_outcome ==
          begin_outcome::unavailable);
}

TEST_CASE("a set that lost its read quorum denies no turn",
          "[fleet][replica_sets]")
{
    // Guards against a 404 for a stored turn: two of the set's three members
    // are gone or without their copies, and the last one never had the turn.
    two_sets fleet;
    const auto earlier = two_sets::program_in(1);
    const auto members = fleet.m_state.m_views[1].m_members;
    REQUIRE(members.size() == 3);
    const auto emptied = members[0].m_name;
    const auto silent = members[1].m_name;
    REQUIRE(fleet.append_to(emptied, 1, "a", earlier));
    REQUIRE(fleet.append_to(silent, 1, "a", earlier));
    fleet.lose(silent);
    fleet.empty_disk(emptied);
    REQUIRE(run_until(
        fleet.m_io,
        [&] {
            const auto& view = fleet.m_state.m_views[1];
            return find_member(view, emptied)->m_state ==
                       member_state::joining &&
                   find_member(view, silent)->m_state == member_state::lost;
        },
        setup_limit));
    CHECK(fleet.begin_in(two_sets::program_in(0), "b", "a").m_outcome ==
          begin_outcome::unavailable);
}

// Its history is fetched in pages, from one set after the other.
TEST_CASE("earlier turns are found in a set whose view has just changed",
          "[fleet][replica_sets]")
{
    two_sets fleet;
    const auto earlier = two_sets::program_in(0);
    const auto later = two_sets::program_in(1);
    REQUIRE(fleet.keep_in(earlier, "a", ""));
    REQUIRE(fleet.keep_in(later, "b", "a"));
    auto views = fleet.m_state.m_views;
    --views[0].m_epoch;
    fleet.m_client.follow(views);
    fleet.m_links.on_state(
        [&](const std::string&, const cluster_state& update) {
            auto state = fleet.m_state;
            merge_state(state, update);
            fleet.m_client.follow(state.m_views);
        });
    const auto begun = fleet.begin_in(later, "c", "b");
    CHECK(begun.m_outcome == begin_outcome::granted);
    CHECK(storage_fixture::text_of(begun) == "in-a;out-a;in-b;out-b;");
}

TEST_CASE("one set serves while the other one is unreachable",
          "[fleet][replica_sets]")
{
    two_sets fleet;
    const auto view = fleet.m_state.m_views[1];
    for (const auto& row : view.m_members)
        fleet.lose(row.m_name);
    CHECK(fleet.begin_in(two_sets::program_in(0), "a", "").m_outcome ==
          begin_outcome::granted);
    CHECK(fleet.begin_in(two_sets::program_in(1), "b", "").m_outcome ==
          begin_outcome::unavailable);
}

TEST_CASE("a successor joins the set of the VM that is gone",
          "[fleet][replica_sets]")
{
    // Guards against a successor in another set, where nobody needs it: the VM
    // that is gone counts in its view for seconds.
    two_sets fleet;
    const std::string gone = fleet.m_state.m_views[1].m_members[1].m_name;
    fleet.lose(gone);
    std::string successor = "vm-9";
    // One that a hash of its name would put into the other set.
    while (hash64(successor, 0) >= hash64(successor, 1))
        successor += '9';
    fleet.add(successor, false);
    const auto replaced = [&] {
        const auto* row = find_member(fleet.m_state.m_views[1], successor);
        return row != nullptr && row->m_state == member_state::full &&
               find_member(fleet.m_state.m_views[1], gone) == nullptr;
    };
    CHECK(run_until(fleet.m_io, replaced, setup_limit));
    CHECK(find_member(fleet.m_state.m_views[0], successor) == nullptr);
}

TEST_CASE("a VM is emptied although no set needs another member",
          "[fleet][replica_sets]")
{
    // The VM has no set to join, and must still report that it is empty.
    storage_fixture fleet;
    for (int i = 0; i < 5; ++i)
        fleet.add(vm_name(i));
    REQUIRE(fleet.wait_for("vm-0Fvm-1Fvm-2Fvm-3Fvm-4F"));
    fleet.add("vm-5", false);
    fleet.m_store.put("op/retire/vm-1", R"({"duration_s":10})");
    REQUIRE(run_until(fleet.m_io, [&] {
        return fleet.m_store.value_of("status/retire/vm-1").find("completed") !=
               std::string::npos;
    }));
    CHECK(fleet.wait_for("vm-0Fvm-2Fvm-3Fvm-4Fvm-5F"));
}

TEST_CASE("a few VMs watch the store, and others when these are lost",
          "[fleet][replica_sets]")
{
    two_sets fleet;
    REQUIRE(fleet.tick_until([&] { return fleet.watchers() == watcher_count; },
                             milliseconds(8000)));
    // Updates reach VMs that do not watch.
    fleet.m_store.put("op/retire/vm-9", "{}");
    const auto everyone_knows = [&] {
        for (const auto& [name, vm] : fleet.m_vms)
        {
            if (!is_retired(vm->m_node->state(), "vm-9"))
                return false;
        }
        return true;
    };
    CHECK(fleet.tick_until(everyone_knows, milliseconds(5000)));
    const auto order = watch_order(members_of(fleet.m_state.m_views));
    for (std::size_t i = 0; i < watcher_count; ++i)
    {
        fleet.lose(order[i]);
        fleet.m_stopped.push_back(std::move(fleet.m_vms[order[i]]));
        fleet.m_vms.erase(order[i]);
    }
    CHECK(fleet.tick_until([&] { return fleet.watchers() >= 2; },
                           milliseconds(12000)));
}

// What the other sets had replied was not known of a turn that was refused.
TEST_CASE("a turn that is searched for in other sets tells their replies",
          "[fleet][replica_sets][lines]")
{
    two_sets fleet;
    const bool lost = GENERATE(false, true);
    if (lost)
        fleet.lose(fleet.m_state.m_views[1].m_members.front().m_name);
    const auto evidence =
        fleet.begin_in(two_sets::program_in(0), "a", "none").m_evidence;
    CHECK(evidence.m_fault ==
          (lost ? begin_fault::search_incomplete : begin_fault::parent_absent));
    reply_tally expected;
    expected.m_sets = 1;
    expected.m_asked = 3;
    expected.m_absent = lost ? 2 : 3;
    expected.m_no_link = lost ? 1 : 0;
    CHECK(evidence.m_elsewhere == expected);
    CHECK(evidence.m_set == 0);
    CHECK(evidence.m_members.size() == 3);
    CHECK(evidence.m_known_sets == 2);
    CHECK(evidence.m_set_count == 2);
}
