// SPDX-License-Identifier: BSL-1.0
// What an edge VM holds of a list of all runners, while it arrives and later:
// hundreds of VMs that start together read it at the same time.
#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/fleet/runner_list.hpp"
#include "pepperturn/forward/runner_table.hpp"

#include "memory/counted_allocations.hpp"
#include "platform/decode.hpp"
#include "support/fleet/loop.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::size_t part_bytes = 32U << 10U;
/// Twice the largest fleet's runners, 20,000, in an eighth of the smallest edge
/// VM's 120 MB.
constexpr std::size_t max_live_per_runner = 750;
/// A start may take a quarter more than steady service.
constexpr double max_peak_share = 1.25;

cluster_state all_runners(std::size_t count)
{
    cluster_state out;
    out.m_runners_revision = 10;
    for (std::size_t i = 0; i < count; ++i)
    {
        auto digits = std::to_string(i);
        digits.insert(0, 8 - digits.size(), '0');
        out.m_runners.push_back(
            {"i-" + digits,
             R"({"service":")" + std::string(i % 2 == 0 ? "engine" : "app") +
                 R"(","address":"10.10.100.100:20000","zone":"zone-)" +
                 std::to_string(i % 5) +
                 R"(","slots":6,"state":"ready","seq":1,"stage":"both",)" +
                 R"("born":1764800000000})",
             1});
    }
    return out;
}

/// The list as it is sent: in parts, or in one frame by older senders.
std::string encode_list(const cluster_state& state, bool in_parts)
{
    if (!in_parts)
        return encode_frame({0, 0, frame_status::ok, full_state(state)});
    std::string out;
    for (std::string after;;)
    {
        auto part = list_part(state, after, part_bytes);
        after = part.m_range->m_until;
        out += encode_frame({0, 0, frame_status::ok, std::move(part)});
        if (after.empty())
            return out;
    }
}

/// The tables of an edge VM, and the link that they are filled from.
struct receiver
{
    explicit receiver(asio::io_context& io)
    {
        const auto port = free_port(io);
        tcp::acceptor acceptor(io);
        std::string reason;
        REQUIRE(open_listener(
            acceptor, {asio::ip::make_address("127.0.0.1"), port}, reason));
        m_sender = std::make_unique<tcp::socket>(io);
        m_sender->connect(acceptor.local_endpoint());
        m_link = std::make_shared<frame_link>(io, acceptor.accept());
        m_link->start([this](frame value) { apply(std::move(value)); },
                      [](const std::string&) {});
    }

    void apply(frame value)
    {
        auto& update = std::get<cluster_state>(value.m_body);
        const auto change = merge_state(m_state, std::move(update));
        decode_runners(m_state, change.m_runners,
                       {platform::decode_config, platform::decode_runner},
                       [this](const std::vector<runner_change>& batch) {
                           m_table.update(batch);
                       });
    }

    cluster_state m_state;
    runner_table m_table;
    std::unique_ptr<tcp::socket> m_sender;
    std::shared_ptr<frame_link> m_link;
};

struct held_bytes
{
    std::size_t m_live = 0;
    std::size_t m_peak = 0;
};

/// What a list of \p runners adds to the memory of its receiver.
held_bytes receive_list(std::size_t runners, bool in_parts)
{
    const auto bytes = encode_list(all_runners(runners), in_parts);
    asio::io_context io(1);
    receiver vm(io);
    run_until(
        io, [] { return false; }, milliseconds(20));
    const auto before = live_bytes();
    reset_peak();
    asio::async_write(*vm.m_sender, asio::buffer(bytes),
                      [](const error_code&, std::size_t) {});
    REQUIRE(run_until(io, [&] { return vm.m_table.size() == runners; }));
    run_until(
        io, [] { return false; }, milliseconds(20));
    const held_bytes out{live_bytes() - before, peak_bytes() - before};
    vm.m_link->close("done");
    run_until(
        io, [] { return false; }, milliseconds(20));
    return out;
}

} // namespace

// A list held several times at once takes the memory of a whole fleet's
// machine when all VMs start.
TEST_CASE("an edge VM holds a list of runners once", "[memory]")
{
    const std::size_t runners = GENERATE(2500, 10000);
    const auto held = receive_list(runners, true);
    CAPTURE(runners, held.m_live, held.m_peak);
    CHECK(held.m_live <= runners * max_live_per_runner);
    CHECK(static_cast<double>(held.m_peak) <=
          max_peak_share * static_cast<double>(held.m_live));
}

// A receive buffer or a decoded copy that stays would be counted here.
TEST_CASE("nothing is left of a list that came in one frame", "[memory]")
{
    constexpr std::size_t runners = 10000;
    const auto held = receive_list(runners, false);
    CAPTURE(held.m_live, held.m_peak);
    CHECK(held.m_live <= runners * max_live_per_runner);
}
