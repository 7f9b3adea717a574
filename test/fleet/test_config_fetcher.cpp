// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/config_fetcher.hpp"

#include "support/fleet/loop.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A storage VM that announces a configuration, and does not reply to the first
/// requests for it.
class announcer
{
public:
    announcer(asio::io_context& io, std::size_t deaf_to)
        : m_io(io), m_acceptor(io), m_deaf_to(deaf_to)
    {
        std::string reason;
        REQUIRE(open_listener(
            m_acceptor, {asio::ip::make_address("127.0.0.1"), 0}, reason));
        spawn(m_io, "announcer.accept",
              accept_all(m_acceptor, [this](tcp::socket socket) {
                  greet(std::move(socket));
              }));
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::size_t request_count() const
    {
        return m_asked;
    }
    void answer_late()
    {
        reply();
    }
    void announce()
    {
        cluster_state message;
        message.m_config_revision = 7;
        m_link->send({0, 0, frame_status::ok, std::move(message)});
    }
    void lose()
    {
        m_link->close("lost");
    }

private:
    void greet(tcp::socket socket)
    {
        m_link = std::make_shared<frame_link>(m_io, std::move(socket));
        m_link->start([this](const frame& value) { take(value); },
                      [](const std::string&) {});
        announce();
    }
    void take(const frame& value)
    {
        if (!std::holds_alternative<config_request_message>(value.m_body))
            return;
        m_last_call = value.m_call;
        if (++m_asked > m_deaf_to)
            reply();
    }
    void reply()
    {
        cluster_state message;
        message.m_config_revision = 7;
        message.m_config = "seven";
        m_link->send({m_last_call, 0, frame_status::ok, std::move(message)});
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::shared_ptr<frame_link> m_link;
    std::size_t m_deaf_to;
    std::size_t m_asked = 0;
    std::uint64_t m_last_call = 0;
};

/// A VM that follows two announcers, the first in its own zone.
struct follower
{
    follower(std::size_t near_deaf_to, std::size_t far_deaf_to)
        : m_near(m_io, near_deaf_to), m_far(m_io, far_deaf_to),
          m_links(m_io, m_time, "edge"),
          m_fetcher(m_io, m_time, m_links, "z",
                    [this](const cluster_state& update) {
                        m_config = update.m_config;
                        m_fetcher.note_known(update.m_config_revision);
                    })
    {
        m_links.on_state(
            [this](const std::string& from, const cluster_state& update) {
                m_fetcher.note_announced(from, update.m_config_revision);
            });
        const cluster_view view{
            1,
            {{"near", m_near.address(), "z", 1, member_state::full},
             {"far", m_far.address(), "y", 1, member_state::full}}};
        m_fetcher.set_members(view.m_members);
        m_links.set_members(view.m_members);
    }
    bool wait_for_config(milliseconds limit = milliseconds(8000))
    {
        return run_until(
            m_io, [&] { return m_config == "seven"; }, limit);
    }

    asio::io_context m_io{1};
    system_clock m_time;
    announcer m_near;
    announcer m_far;
    member_links m_links;
    std::string m_config;
    config_fetcher m_fetcher;
};

} // namespace

TEST_CASE("an announced configuration is requested until it arrives",
          "[config_fetcher]")
{
    struct row
    {
        const char* m_what;
        std::size_t m_near_deaf_to;
        std::size_t m_far_deaf_to;
        std::size_t m_max_far_requests;
    };
    const auto each = GENERATE(values<row>({
        {"the own zone has it", 0, 0, 0},
        {"the own zone does not answer", 99, 0, 1},
        {"no member replies at first", 2, 2, 99},
    }));
    INFO(each.m_what);
    follower vm(each.m_near_deaf_to, each.m_far_deaf_to);
    CHECK(vm.wait_for_config());
    CHECK(vm.m_near.request_count() > 0);
    CHECK(vm.m_far.request_count() <= each.m_max_far_requests);
}

TEST_CASE("a configuration that arrives late is applied", "[config_fetcher]")
{
    follower vm(99, 99);
    REQUIRE(run_until(vm.m_io, [&] {
        return vm.m_near.request_count() > 0 && vm.m_far.request_count() > 0;
    }));
    vm.m_near.answer_late();
    CHECK(vm.wait_for_config(milliseconds(1000)));
}

TEST_CASE("a configuration is requested once, however many announce it",
          "[config_fetcher]")
{
    // If each VM requested it from four storage VMs at a fleet's start, the
    // copies would fill its link for four times as long.
    follower vm(99, 99);
    REQUIRE(run_until(vm.m_io, [&] { return vm.m_near.request_count() > 0; }));
    const milliseconds several_round_trips{100};
    for (int i = 0; i < 3; ++i)
    {
        vm.m_near.announce();
        vm.m_far.announce();
        vm.m_io.restart();
        vm.m_io.run_for(several_round_trips / 3);
    }
    CHECK(vm.m_near.request_count() + vm.m_far.request_count() == 1);
    vm.m_near.answer_late();
    CHECK(vm.wait_for_config(milliseconds(1000)));
}

TEST_CASE("a configuration is requested elsewhere as soon as a member is lost",
          "[config_fetcher]")
{
    follower vm(99, 0);
    REQUIRE(run_until(vm.m_io, [&] { return vm.m_near.request_count() > 0; }));
    // The other one has announced it by then.
    vm.m_io.run_for(milliseconds(50));
    const auto lost = vm.m_time.now();
    vm.m_near.lose();
    REQUIRE(vm.wait_for_config());
    // Sooner than the request timeout of 400 ms.
    CHECK(elapsed(lost, vm.m_time.now()) < milliseconds(300));
}
