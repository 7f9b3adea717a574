// SPDX-License-Identifier: BSL-1.0
// Lists of thousands of runners, sent by a storage VM to VMs that have just
// started: many at once, over slow links, beside requests for turns.
#include "support/fleet/edge_vm.hpp"
#include "support/fleet/metered_link.hpp"
#include "support/fleet/stoppable_clock.hpp"

#include <algorithm>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::uint64_t disk = 7;
constexpr std::uint64_t epoch = 5;
/// A subscriber's share of what a storage VM of the smallest memory may hold
/// for a thousand of them.
constexpr std::size_t max_unsent_per_subscriber = 100U << 10U;

std::string name_of(std::size_t number)
{
    auto digits = std::to_string(number);
    return "i-" + std::string(6 - digits.size(), '0') + digits;
}

runner_entry runner(std::size_t number, std::uint64_t revision)
{
    return {name_of(number),
            R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":6,)"
            R"("state":"ready","seq":1,"stage":"both","born":1764800000000})",
            revision};
}

cluster_state state_with(std::size_t runners, std::uint64_t revision)
{
    cluster_state out;
    out.m_runners_revision = revision;
    for (std::size_t i = 0; i < runners; ++i)
        out.m_runners.push_back(runner(i, 1));
    return out;
}

/// A storage VM's server that knows some runners.
struct list_server
{
    list_server(asio::io_context& io, const std::string& name,
                std::size_t runners)
        : m_io(io), m_folder(make_scratch_folder("lists")),
          m_log(m_folder, 1U << 20U), m_store(m_log),
          m_server(io, m_time, name, m_log, m_store), m_port(free_port(io))
    {
        std::string reason;
        REQUIRE(m_log.identity(disk, reason).has_value());
        REQUIRE(m_server.listen(endpoint(), reason));
        m_server.apply_state(state_with(runners, 10));
        m_server.open(disk);
    }

    /// Makes it a member of the only replica set.
    void join(const std::vector<member>& members)
    {
        cluster_state state;
        state.m_config_revision = 3;
        state.m_config = R"({"version":4,"routes":[],"services":[]})";
        state.m_views = {{epoch, members}};
        m_server.apply_state(state);
    }
    [[nodiscard]] std::string address() const
    {
        return to_text(endpoint());
    }

    [[nodiscard]] tcp::endpoint endpoint() const
    {
        return {asio::ip::make_address("127.0.0.1"), m_port};
    }
    [[nodiscard]] std::uint64_t figure(const std::string& name) const
    {
        std::string text;
        m_server.write_metrics(text);
        return metric_value(text, name);
    }

    asio::io_context& m_io;
    system_clock m_time;
    std::string m_folder;
    folder_remover m_remover{m_folder};
    turn_log m_log;
    turn_store m_store;
    turn_server m_server;
    std::uint16_t m_port;
};

/// Subscribes, and reads nothing.
class silent_subscriber
{
public:
    silent_subscriber(list_server& server, int number)
        : m_name("edge-" + std::to_string(number)), m_socket(server.m_io)
    {
        constexpr int small_buffer = 4096;
        m_socket.open(tcp::v4());
        m_socket.set_option(
            asio::socket_base::receive_buffer_size(small_buffer));
        m_socket.connect(server.endpoint());
        send_hellos({true});
    }
    /// Subscribes or unsubscribes, several times in one write.
    void send_hellos(const std::vector<bool>& subscribes)
    {
        std::string bytes;
        for (const bool each : subscribes)
        {
            hello_message hello;
            hello.m_name = m_name;
            hello.m_subscribes = each;
            hello.m_accepts_parts = true;
            bytes += encode_frame({0, 0, frame_status::ok, hello});
        }
        asio::write(m_socket, asio::buffer(bytes));
    }

private:
    std::string m_name;
    tcp::socket m_socket;
};

/// Subscribers to \p server that read nothing, once it sends them its list.
std::vector<silent_subscriber> subscribe(list_server& server, int count)
{
    std::vector<silent_subscriber> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        out.emplace_back(server, i);
    const auto subscribers = static_cast<std::uint64_t>(count);
    REQUIRE(run_until(server.m_io, [&] {
        return server.figure("news_listeners") == subscribers;
    }));
    // Whatever is ready is sent.
    for (int i = 0; i < 2000 && server.m_io.poll_one() > 0; ++i)
        server.m_io.restart();
    return out;
}

std::vector<runner_entry> alive(const cluster_state& state)
{
    auto out = state.m_runners;
    std::erase_if(out, [](const runner_entry& row) { return row.m_removed; });
    return out;
}

} // namespace

// One list in the queue of each VM that starts is a storage VM's memory.
TEST_CASE("a list waits in parts for subscribers that do not read",
          "[fleet][long_lists]")
{
    const std::size_t runners = GENERATE(8000, 32000);
    constexpr int subscribers = 40;
    asio::io_context io{1};
    list_server server(io, "vm-9", runners);
    const auto silent = subscribe(server, subscribers);
    CHECK(server.figure("unsent_bytes") <=
          subscribers * max_unsent_per_subscriber);
}

// Two lists on one connection would wake each other without end.
TEST_CASE("a VM that subscribes again is sent one list at a time",
          "[fleet][long_lists]")
{
    asio::io_context io{1};
    list_server server(io, "vm-9", 32000);
    auto silent = subscribe(server, 1);
    silent.front().send_hellos({false, true, false, true});
    run_until(
        io, [] { return false; }, milliseconds(100));
    CHECK(server.figure("lists_under_way") == 1);
    CHECK(server.figure("unsent_bytes") <= max_unsent_per_subscriber);
    // Nothing is left to be done until the subscriber reads.
    io.restart();
    CHECK(io.poll() < 10);
    silent.front().send_hellos({false});
    silent.clear();
    CHECK(run_until(io, [&] { return server.figure("lists_under_way") == 0; }));
}

// The replies to requests for turns are bounded by what is unsent.
TEST_CASE("lists that are not read keep no turn from being read",
          "[fleet][long_lists]")
{
    asio::io_context io{1};
    list_server server(io, "vm-9", 32000);
    server.join({{"vm-9", server.address(), "z", disk, member_state::full}});
    const auto silent = subscribe(server, 40);
    member_links reader(server.m_io, server.m_time, "edge-99");
    reader.subscribe({});
    reader.set_members(members_of(server.m_server.state().m_views));
    REQUIRE(run_until(server.m_io, [&] { return reader.connected("vm-9"); }));
    const auto answer = run_task(
        server.m_io, reader.request("vm-9", epoch, fetch_message{"a"},
                                    server.m_time.now() + default_timeout));
    REQUIRE(answer.has_value());
    REQUIRE(answer->has_value());
    CHECK((*answer)->m_status == frame_status::ok);
    reader.stop();
}

// A runner that moves while its part is on the way must be neither lost nor
// brought back.
TEST_CASE("a list in parts agrees with the changes made meanwhile",
          "[fleet][long_lists]")
{
    const bool knew_before = GENERATE(false, true);
    constexpr std::size_t runners = 3000;
    asio::io_context io{1};
    list_server server(io, "vm-9", runners);
    server.join({{"vm-9", server.address(), "z", disk, member_state::full}});
    member_links reader(server.m_io, server.m_time, "edge-99");
    cluster_state received;
    if (knew_before)
        received = state_with(runners + 500, 2);
    std::size_t parts = 0;
    std::uint64_t revision = 10;
    reader.on_state([&](const std::string&, const cluster_state& update) {
        merge_state(received, update);
        if (!update.m_range)
            return;
        // Changes before, in and after the part that has just arrived.
        const auto at = (++parts * 401) % runners;
        cluster_state change;
        change.m_runners = {{name_of(at), "", ++revision, true},
                            runner(runners + parts, ++revision)};
        change.m_runners.back().m_text = "new";
        change.m_runners_since = revision - 2;
        change.m_runners_revision = revision;
        server.m_server.apply_state(change);
    });
    reader.set_members(members_of(server.m_server.state().m_views));
    REQUIRE(run_until(server.m_io, [&] {
        return parts > 0 && received.m_runners_revision >= 10 &&
               alive(received) == alive(server.m_server.state());
    }));
    CHECK(parts > 1);
    // From here on only changes are sent.
    CHECK_FALSE(
        needs_full_list(server.m_server.state(), received.m_runners_revision));
    reader.stop();
}

// Heartbeats wait behind a long list; a VM that takes its source for silent
// meanwhile asks others for the same list, over the same link.
TEST_CASE("a list that arrives slowly is sent once by each source",
          "[fleet][long_lists]")
{
    constexpr std::size_t runners = 1500;
    constexpr int members_in_all = 6;
    storage_fixture fleet;
    metered_link link(fleet.m_io);
    std::vector<std::unique_ptr<list_server>> sources;
    std::vector<member> members;
    std::vector<std::string> seeds;
    for (int i = 0; i < members_in_all; ++i)
    {
        const auto name = "vm-" + std::to_string(i);
        sources.push_back(
            std::make_unique<list_server>(fleet.m_io, name, runners));
        seeds.push_back(link.address_of(sources.back()->m_port));
        members.push_back(
            {name, seeds.back(), "vm-0", disk, member_state::full});
    }
    for (const auto& source : sources)
        source->join(members);
    stoppable_clock time;
    time.stop_now();
    edge_vm edge(fleet, time, seeds);
    // All sources share one slow link: their lists take longer than the time
    // after which a source without a frame is taken for silent.
    constexpr std::size_t step_bytes = 16U << 10U;
    constexpr milliseconds step{100};
    constexpr int steps_per_heartbeat = 5;
    const auto told = [&] { return edge.figure("runner_entries_told"); };
    for (int i = 0; i < 200; ++i)
    {
        link.allow(step_bytes);
        for (int turn = 0; turn < 100 && link.allowed() > 0; ++turn)
            fleet.m_io.run_one_for(milliseconds(1));
        time.advance(step);
        edge.m_node->tick();
        if (i % steps_per_heartbeat == 0)
        {
            for (const auto& source : sources)
                source->m_server.send_heartbeat(milliseconds(0), true);
        }
    }
    link.allow(SIZE_MAX / 2);
    run_until(
        fleet.m_io, [] { return false; }, milliseconds(300));
    CHECK(told() >= runners);
    CHECK(told() <= source_count * runners);
    for (const auto& source : sources)
        source->m_server.stop();
}
