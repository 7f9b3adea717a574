// SPDX-License-Identifier: BSL-1.0
// An edge VM's client whose views and links come late, in parts or not at all,
// and storage VMs that restart or load slowly: no turn that was stored is
// reported absent, and each can be continued soon.
#include "support/fleet/partitionable_link.hpp"
#include "support/fleet/storage_fixture.hpp"

#include "pepperturn/turns/turn_server.hpp"

#include <random>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr int vm_count = 6;
/// As long as a proxy waits for the storage VMs.
constexpr milliseconds begin_timeout{1500};
/// From the end of a disruption; what sites demand.
constexpr milliseconds recovery_limit{18000};

std::string vm_name(int number)
{
    return "vm-" + std::to_string(number);
}

/// What a client knows before it knows the newest views.
enum class first_views : std::uint8_t
{
    none,
    set_0,
    set_1,
    older,
    older_set_0,
    newest
};

class gated_sets;

/// The client of an edge VM that has just started in a large fleet.
struct fresh_client
{
    explicit fresh_client(gated_sets& fleet);

    void learn(const std::vector<cluster_view>& views)
    {
        cluster_state update;
        update.m_views = views;
        if (merge_state(m_state, update).m_views.empty())
            return;
        m_links.set_members(members_of(m_state.m_views));
        m_client.follow(m_state.m_views);
    }

    member_links m_links;
    turn_client m_client;
    cluster_state m_state;
};

/// A storage VM's process that still loads its disk.
struct loading_vm
{
    loading_vm(storage_fixture& fleet, const std::string& name,
               std::uint16_t port)
        : m_log(fleet.m_folder + '/' + name, 16U << 20U), m_store(m_log),
          m_server(fleet.m_io, fleet.m_time, name, m_log, m_store)
    {
        m_server.load_state();
        std::string reason;
        REQUIRE(m_server.listen({asio::ip::make_address("127.0.0.1"), port},
                                reason));
    }

    turn_log m_log;
    turn_store m_store;
    turn_server m_server;
};

/// Turns of which each continues the one before, in one program or several.
struct turn_chain
{
    std::string m_program;
    std::string m_last;
    std::string m_text;
    int m_turns = 0;
};

/// Seven VMs in two sets, one of which joined later; clients reach each through
/// a link that may fail.
class gated_sets : public storage_fixture
{
public:
    gated_sets()
    {
        spawn(m_io, "gated_sets.tick", tick_repeatedly());
        for (int i = 0; i < vm_count; ++i)
            add(vm_name(i));
        REQUIRE(run_until(
            m_io, [&] { return states() == "vm-0Fvm-1Fvm-2Fvm-3Fvm-4Fvm-5F"; },
            setup_limit));
        for (int i = 0; i < vm_count; ++i)
            add_gate(vm_name(i));
        m_older = m_state.m_views;
        add(vm_name(vm_count), false);
        REQUIRE(run_until(
            m_io,
            [&] { return states() == "vm-0Fvm-1Fvm-2Fvm-3Fvm-4Fvm-5Fvm-6F"; },
            setup_limit));
        add_gate(vm_name(vm_count));
        REQUIRE(m_state.m_views.size() == 2);
    }

    /// The views, with the addresses at which clients reach the members.
    [[nodiscard]] std::vector<cluster_view>
    gated(std::vector<cluster_view> views) const
    {
        for (auto& view : views)
        {
            for (auto& row : view.m_members)
                row.m_address = m_gates.at(row.m_name)->address();
        }
        return views;
    }
    [[nodiscard]] std::vector<cluster_view> views_of(first_views known) const
    {
        auto newest = gated(m_state.m_views);
        auto older = gated(m_older);
        switch (known)
        {
        case first_views::none:
            return {};
        case first_views::set_0:
            return {newest[0]};
        case first_views::set_1:
            return {newest[1]};
        case first_views::older:
            return older;
        case first_views::older_set_0:
            return {older[0]};
        case first_views::newest:
            return newest;
        }
        return {};
    }
    fresh_client& new_client()
    {
        if (!m_clients.empty())
            m_clients.back()->m_links.stop();
        m_clients.push_back(std::make_unique<fresh_client>(*this));
        return *m_clients.back();
    }

    begin_result begin_at(fresh_client& edge, const std::string& program,
                          const std::string& id, const std::string& parent)
    {
        auto what = request(id, parent, UINT64_MAX);
        what.m_program = key_of(program);
        const auto result = run_task(
            m_io, edge.m_client.begin(what, m_time.now() + begin_timeout));
        REQUIRE(result.has_value());
        return *result;
    }
    bool store_at(fresh_client& edge, const std::string& program,
                  const std::string& id, const std::string& parent)
    {
        const log_entry entry{retention_ms,
                              turn_record{id, parent, "in-" + id + ';',
                                          "out-" + id + ';', "run",
                                          key_of(program), key_of(id), 30}};
        return run_task(m_io, edge.m_client.store(entry,
                                                  m_time.now() + begin_timeout))
            .value_or(false);
    }
    /// Takes the next turn of \p chain, with as many tries as are needed.
    void continue_chain(fresh_client& edge, turn_chain& chain)
    {
        const auto id = "t" + std::to_string(++m_turns);
        const auto end = m_time.now() + recovery_limit;
        begin_result result;
        while (result.m_outcome != begin_outcome::granted && m_time.now() < end)
        {
            result = begin_at(edge, chain.m_program, id, chain.m_last);
            INFO(chain.m_last << ": " << result.m_reason);
            REQUIRE(result.m_outcome != begin_outcome::no_such_turn);
            REQUIRE(result.m_outcome != begin_outcome::over_budget);
        }
        INFO(chain.m_last << ": " << result.m_reason);
        REQUIRE(result.m_outcome == begin_outcome::granted);
        REQUIRE(text_of(result) == chain.m_text);
        bool stored = false;
        while (!stored && m_time.now() < end)
            stored = store_at(edge, chain.m_program, id, chain.m_last);
        REQUIRE(stored);
        chain.m_last = id;
        chain.m_text += "in-" + id + ";out-" + id + ';';
        ++chain.m_turns;
    }
    /// Stops VMs, and has processes in their places that still load their disks
    /// while \p meanwhile is done.
    void load_slowly(const std::vector<std::string>& names,
                     const std::function<void()>& meanwhile)
    {
        stop(names);
        // Some links end before their VM does.
        for (const auto& name : names)
            REQUIRE(run_until(m_io, [&] { return is_free(m_ports.at(name)); }));
        std::vector<std::unique_ptr<loading_vm>> loading;
        loading.reserve(names.size());
        for (const auto& name : names)
            loading.push_back(
                std::make_unique<loading_vm>(*this, name, m_ports.at(name)));
        meanwhile();
        for (auto& vm : loading)
        {
            vm->m_server.stop();
            m_loading.push_back(std::move(vm));
        }
        start_stopped();
    }
    [[nodiscard]] std::vector<std::string> members_of_set(std::size_t set) const
    {
        std::vector<std::string> out;
        for (const auto& row : m_state.m_views[set].m_members)
            out.push_back(row.m_name);
        return out;
    }

    std::map<std::string, std::unique_ptr<partitionable_link>> m_gates;

private:
    /// True if nothing listens at \p port.
    bool is_free(std::uint16_t port)
    {
        tcp::acceptor trial(m_io);
        std::string reason;
        return open_listener(trial, {asio::ip::make_address("127.0.0.1"), port},
                             reason);
    }
    /// Periodic work, as the daemon does it.
    task<> tick_repeatedly()
    {
        constexpr milliseconds tick_interval{250};
        while (true)
        {
            for (const auto& [name, vm] : m_vms)
                vm->m_node->tick();
            co_await sleep_for(m_io, tick_interval);
        }
    }
    void add_gate(const std::string& name)
    {
        m_gates[name] =
            std::make_unique<partitionable_link>(m_io, m_vms[name]->m_port);
    }

    /// Before the last VM joined.
    std::vector<cluster_view> m_older;
    /// Some wait for what will not come until the loop ends.
    std::vector<std::unique_ptr<fresh_client>> m_clients;
    std::vector<std::unique_ptr<loading_vm>> m_loading;
    int m_turns = 0;
};

fresh_client::fresh_client(gated_sets& fleet)
    : m_links(fleet.m_io, fleet.m_time, "edge-2"),
      m_client(fleet.m_io, fleet.m_time, m_links, "vm-0", 1)
{
    constexpr std::size_t few_links = 2;
    m_links.set_max_persistent(few_links);
    m_links.subscribe({});
    m_links.on_state(
        [this, &fleet](const std::string&, const cluster_state& update) {
            learn(fleet.gated(update.m_views));
        });
}

/// A short history: what a fresh client knows and reaches at first, what it
/// learns and reaches later, and the turns that it takes meanwhile.
class history
{
public:
    history(gated_sets& fleet, std::mt19937& random)
        : m_fleet(fleet), m_random(random)
    {}

    void play(std::vector<turn_chain>& chains)
    {
        auto& client = m_fleet.new_client();
        client.learn(m_fleet.views_of(static_cast<first_views>(draw(6))));
        hurt_links();
        const milliseconds pause(draw(150));
        const auto healed = std::make_shared<bool>(false);
        spawn(m_fleet.m_io, "history.heal",
              heal(m_fleet, client, pause, draw(2) == 0, healed));
        constexpr int slow_one_in = 12;
        if (draw(slow_one_in) == 0)
            m_fleet.load_slowly({vm_name(draw(vm_count + 1))},
                                [&] { take_turns(client, chains); });
        take_turns(client, chains);
        REQUIRE(run_until(m_fleet.m_io, [&] { return *healed; }));
    }

private:
    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(m_random);
    }
    /// Mostly few links, at times all of them.
    void hurt_links()
    {
        const bool all = draw(8) == 0;
        for (const auto& [name, gate] : m_fleet.m_gates)
        {
            const auto kind = draw(all ? 2 : 10);
            if (kind == 0)
                gate->close();
            else if (kind == 1)
                gate->set_partitioned(draw(2) == 0, true);
        }
    }
    static task<> heal(gated_sets& fleet, fresh_client& client,
                       milliseconds pause, bool in_parts,
                       std::shared_ptr<bool> healed)
    {
        co_await sleep_for(fleet.m_io, pause);
        if (in_parts)
        {
            client.learn(fleet.views_of(first_views::set_1));
            co_await sleep_for(fleet.m_io, pause);
        }
        client.learn(fleet.views_of(first_views::newest));
        for (const auto& [name, gate] : fleet.m_gates)
        {
            gate->set_partitioned(false, false);
            gate->close();
            gate->open();
        }
        *healed = true;
    }
    void take_turns(fresh_client& client, std::vector<turn_chain>& chains)
    {
        for (auto& chain : chains)
        {
            // Some turns are continued by another program.
            if (chain.m_program.empty() || draw(5) == 0)
                chain.m_program = "p" + std::to_string(m_random());
            constexpr int most_turns = 12;
            if (chain.m_turns >= most_turns)
                chain = {chain.m_program, {}, {}, 0};
            m_fleet.continue_chain(client, chain);
        }
    }

    gated_sets& m_fleet;
    std::mt19937& m_random;
};

} // namespace

TEST_CASE("no turn is reported absent before all views are known",
          "[lost_turns]")
{
    gated_sets fleet;
    auto& first = fleet.new_client();
    first.learn(fleet.views_of(first_views::newest));
    std::vector<turn_chain> chains{{"p0", "", "", 0},
                                   {"p1", "", "", 0},
                                   {"p2", "", "", 0},
                                   {"p3", "", "", 0}};
    for (auto& chain : chains)
    {
        fleet.continue_chain(first, chain);
        fleet.continue_chain(first, chain);
    }
    const auto known = {first_views::none, first_views::set_0,
                        first_views::set_1, first_views::older,
                        first_views::older_set_0};
    for (const auto views : known)
    {
        INFO("first views " << static_cast<int>(views));
        auto& client = fleet.new_client();
        client.learn(fleet.views_of(views));
        for (auto& chain : chains)
        {
            const auto result =
                fleet.begin_at(client, chain.m_program, "next", chain.m_last);
            CHECK(result.m_outcome != begin_outcome::no_such_turn);
            // A program of another set may continue it.
            const auto other = fleet.begin_at(
                client, chain.m_program + "-other", "next-other", chain.m_last);
            CHECK(other.m_outcome != begin_outcome::no_such_turn);
        }
        client.learn(fleet.views_of(first_views::newest));
        for (auto& chain : chains)
            fleet.continue_chain(client, chain);
    }
}

TEST_CASE("no turn is reported absent while disks are loaded", "[lost_turns]")
{
    gated_sets fleet;
    const auto one = fleet.members_of_set(0).front();
    const auto whole_set = fleet.members_of_set(0);
    std::vector<turn_chain> chains{
        {"p0", "", "", 0}, {"p1", "", "", 0}, {"p2", "", "", 0}};
    for (const auto& names : {std::vector{one}, whole_set})
    {
        INFO(names.size() << " load their disks");
        auto& client = fleet.new_client();
        client.learn(fleet.views_of(first_views::newest));
        for (auto& chain : chains)
            fleet.continue_chain(client, chain);
        fleet.load_slowly(names, [&] {
            for (const auto& chain : chains)
            {
                for (const auto* suffix : {"", "-other"})
                {
                    const auto result = fleet.begin_at(
                        client, chain.m_program + suffix, "next", chain.m_last);
                    CHECK(result.m_outcome != begin_outcome::no_such_turn);
                }
            }
        });
        for (auto& chain : chains)
            fleet.continue_chain(client, chain);
    }
}

TEST_CASE("no history of late views and failing links loses a turn",
          "[lost_turns]")
{
    constexpr int histories = 300;
    constexpr std::uint32_t seed = 20261204;
    std::mt19937 random{seed};
    gated_sets fleet;
    std::vector<turn_chain> chains(3);
    for (int i = 0; i < histories; ++i)
    {
        INFO("history " << i);
        history(fleet, random).play(chains);
    }
}
