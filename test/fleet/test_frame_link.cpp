// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/silent_links.hpp"

#include "support/fleet/loop.hpp"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// Both ends of a loopback connection.
struct connected_pair
{
    explicit connected_pair(asio::io_context& io) : m_near(io), m_far(io)
    {
        tcp::acceptor acceptor(
            io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_near.connect(acceptor.local_endpoint());
        acceptor.accept(m_far);
    }
    tcp::socket m_near;
    tcp::socket m_far;
};

} // namespace

TEST_CASE("a link may be destroyed right after a send", "[frame_link]")
{
    // A write that starts after that must not use the destroyed link.
    asio::io_context io(1);
    for (int i = 0; i < 20; ++i)
    {
        connected_pair pair(io);
        bool closed = false;
        auto link = std::make_shared<frame_link>(io, std::move(pair.m_near));
        link->start([](const frame&) {},
                    [&](const std::string&) { closed = true; });
        link->send({1, 2, frame_status::ok, hello_message{"a"}});
        link->close("dropped");
        link.reset();
        CHECK(closed);
        io.restart();
        io.poll();
    }
}

TEST_CASE("frames arrive in order however they are split", "[frame_link]")
{
    asio::io_context io(1);
    connected_pair pair(io);
    std::vector<std::string> names;
    const auto link = std::make_shared<frame_link>(io, std::move(pair.m_near));
    link->start(
        [&](const frame& value) {
            names.push_back(std::get<hello_message>(value.m_body).m_name);
        },
        [](const std::string&) {});
    std::string bytes;
    for (const char* name : {"a", "b", "c"})
        bytes += encode_frame({1, 2, frame_status::ok, hello_message{name}});
    for (const char byte : bytes)
    {
        asio::write(pair.m_far, asio::buffer(&byte, 1));
        io.restart();
        io.poll();
    }
    REQUIRE(run_until(io, [&] { return names.size() == 3; }));
    CHECK(names == std::vector<std::string>{"a", "b", "c"});
}

TEST_CASE("malformed frames close the link", "[frame_link]")
{
    const std::string bytes = GENERATE(std::string("\xff\xff\xff\xff", 4),
                                       std::string("\x08\0\0\0nonsense", 12),
                                       std::string("\x01\0\0\0x", 5));
    asio::io_context io(1);
    connected_pair pair(io);
    std::string reason;
    const auto link = std::make_shared<frame_link>(io, std::move(pair.m_near));
    link->start([](const frame&) {},
                [&](const std::string& why) { reason = why; });
    asio::write(pair.m_far, asio::buffer(bytes));
    CHECK(run_until(io, [&] { return !reason.empty(); }));
    CHECK_FALSE(link->open());
}

// A reply that cannot be sent or read took the link with it, and with it the
// requests of all others.
TEST_CASE("a frame that cannot be used ends its own exchange", "[frame_link]")
{
    asio::io_context io(1);
    connected_pair pair(io);
    std::vector<frame> received;
    const auto near = std::make_shared<frame_link>(io, std::move(pair.m_near));
    const auto far = std::make_shared<frame_link>(io, std::move(pair.m_far));
    near->start([&](frame value) { received.push_back(std::move(value)); },
                [](const std::string&) {});
    far->start([](const frame&) {}, [](const std::string&) {});

    SECTION("longer than the receiver accepts")
    {
        entries_message body;
        body.m_entries.emplace_back(max_frame_bytes + 1, 'x');
        far->send({7, 2, frame_status::ok, std::move(body)});
    }
    SECTION("of a kind that the receiver does not know")
    {
        // The kind stands in the third word of the message.
        constexpr std::size_t kind_at = 4 + 2 * 8 + 2 * 8 + 2;
        auto bytes = encode_frame({7, 2, frame_status::ok, copied_message{}});
        bytes.at(kind_at) = static_cast<char>(0xee);
        far->send(std::make_shared<const std::string>(bytes));
    }
    far->send({8, 2, frame_status::ok, appended_message{}});
    REQUIRE(run_until(io, [&] { return received.size() == 2; }));
    CHECK(received[0].m_call == 7);
    CHECK(received[0].m_status == frame_status::failed);
    CHECK(received[1].m_call == 8);
    CHECK(received[1].m_status == frame_status::ok);
    CHECK(near->open());
}

TEST_CASE("links whose peers say nothing give way to others", "[frame_link]")
{
    constexpr std::size_t most = 3;
    asio::io_context io(1);
    silent_links silent(most);
    std::vector<std::shared_ptr<frame_link>> links;
    std::vector<std::unique_ptr<connected_pair>> pairs;
    const auto accept = [&] {
        pairs.push_back(std::make_unique<connected_pair>(io));
        links.push_back(
            std::make_shared<frame_link>(io, std::move(pairs.back()->m_near)));
        silent.add(links.back());
        links.back()->start([](const frame&) {}, [](const std::string&) {});
    };
    accept();
    std::string reason;
    const auto hello = encode_accepted_frame(
        {1, 2, frame_status::ok, hello_message{"a"}}, reason);
    asio::write(pairs[0]->m_far, asio::buffer(hello));
    CHECK(run_until(io, [&] { return links[0]->heard(); }));
    for (std::size_t i = 0; i < most; ++i)
        accept();
    CHECK(silent.closed() == 0);
    accept();
    CHECK(silent.closed() == 1);
    CHECK(links[0]->open());
    CHECK_FALSE(links[1]->open());
    CHECK(links[2]->open());
    CHECK(links.back()->open());
    for (const auto& link : links)
        link->close("over");
    run_until(
        io, [] { return false; }, milliseconds(50));
}
