// SPDX-License-Identifier: BSL-1.0
// How a VM comes back when all of them start at once: whom it finds, and what
// it does first.
#include "pepperturn/fleet/edge_node.hpp"

#include "support/fleet/storage_world.hpp"

#include <array>
#include <boost/asio/write.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// An edge VM whose seeds are not up.
struct seedless_edge
{
    explicit seedless_edge(storage_world& fleet)
        : m_fleet(fleet),
          m_source(fleet.m_io, fleet.m_time, fleet.m_store.address())
    {
        const auto address = [&] {
            return "127.0.0.1:" + std::to_string(free_port(fleet.m_io));
        };
        fleet_settings settings;
        settings.m_name = "edge-9";
        settings.m_host = "127.0.0.1";
        settings.m_availability_zone = "vm-0";
        settings.m_callers_address = address();
        settings.m_ready_address = address();
        settings.m_seeds = {address(), address()};
        settings.m_store_address = fleet.m_store.address();
        m_ready = settings.m_ready_address;
        m_node = std::make_unique<edge_node>(
            fleet.m_io, fleet.m_time, settings, wire_names{},
            state_decoders{platform::decode_config, platform::decode_runner},
            m_source);
        std::string reason;
        REQUIRE(m_node->start(reason));
    }

    [[nodiscard]] bool is_ready()
    {
        error_code ec;
        tcp::socket reader(m_fleet.m_io);
        reader.connect(parse_endpoint(m_ready, ec), ec);
        REQUIRE_FALSE(ec);
        const std::string question =
            "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        asio::write(reader, asio::buffer(question), ec);
        reader.non_blocking(true);
        std::string told;
        run_until(m_fleet.m_io, [&] {
            std::array<char, 512> chunk{};
            error_code read;
            const auto count = reader.read_some(asio::buffer(chunk), read);
            told.append(chunk.data(), count);
            return read && read != asio::error::would_block;
        });
        return told.starts_with("HTTP/1.1 200");
    }

    storage_world& m_fleet;
    platform::cluster_source m_source;
    std::unique_ptr<edge_node> m_node;
    std::string m_ready;
};

} // namespace

TEST_CASE("an edge VM that starts before its seeds finds others", "[fleet]")
{
    storage_world fleet;
    fleet.m_store.put("op/config",
                      R"({"version":4,"routes":[],"services":[]})");
    fleet.start_three();
    // The periodic work, by which it would follow the store, does not run.
    seedless_edge edge(fleet);
    CHECK(run_until(fleet.m_io, [&] { return edge.is_ready(); }));
    CHECK_FALSE(edge.m_source.running());
}

TEST_CASE("a storage VM that starts answers before it reads routes", "[fleet]")
{
    storage_world fleet;
    fleet.m_store.put("op/config",
                      R"({"version":4,"routes":[],"services":[]})");
    fleet.start_three();
    REQUIRE(
        run_until(fleet.m_io, [&] { return !fleet.m_state.m_config.empty(); }));
    fleet.m_vms["vm-0"]->m_node->tick();
    fleet.lose("vm-0");
    fleet_settings settings;
    settings.m_name = "vm-0";
    settings.m_frames_address =
        "127.0.0.1:" + std::to_string(free_port(fleet.m_io));
    settings.m_data_folder = fleet.m_folder + "/vm-0";
    settings.m_store_address = fleet.m_store.address();
    platform::cluster_source source(fleet.m_io, fleet.m_time,
                                    fleet.m_store.address());
    int read = 0;
    storage_node node(fleet.m_io, fleet.m_time, settings,
                      {[&](const std::string& text, std::string& reason) {
                           ++read;
                           return platform::decode_config(text, reason);
                       },
                       platform::decode_runner},
                      source);
    std::string reason;
    REQUIRE(node.start(reason));
    CHECK_FALSE(node.state().m_views.empty());
    CHECK(read == 0);
    CHECK(run_until(fleet.m_io, [&] { return read == 1; }));
    node.stop();
    source.pause();
    fleet.m_io.run_for(milliseconds(400));
}
