// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/config_fetcher.hpp"

#include "support/fleet/loop.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// Storage VMs that only say that they have a configuration, and leave the
/// first questions unanswered.
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
    [[nodiscard]] std::size_t asked() const
    {
        return m_asked;
    }
    void answer_late()
    {
        answer();
    }
    void announce()
    {
        cluster_state told;
        told.m_config_revision = 7;
        m_link->send({0, 0, frame_status::ok, std::move(told)});
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
            answer();
    }
    void answer()
    {
        cluster_state told;
        told.m_config_revision = 7;
        told.m_config = "seven";
        m_link->send({m_last_call, 0, frame_status::ok, std::move(told)});
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
                    [this](const cluster_state& news) {
                        m_config = news.m_config;
                        m_fetcher.note_known(news.m_config_revision);
                    })
    {
        m_links.on_state(
            [this](const std::string& from, const cluster_state& news) {
                m_fetcher.note_announced(from, news.m_config_revision);
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

TEST_CASE("an announced configuration is asked for until it comes",
          "[config_fetcher]")
{
    struct row
    {
        const char* m_what;
        std::size_t m_near_deaf_to;
        std::size_t m_far_deaf_to;
        std::size_t m_far_asked_at_most;
    };
    const auto each = GENERATE(values<row>({
        {"the own zone has it", 0, 0, 0},
        {"the own zone does not answer", 99, 0, 1},
        {"nobody answers at first", 2, 2, 99},
    }));
    INFO(each.m_what);
    follower vm(each.m_near_deaf_to, each.m_far_deaf_to);
    CHECK(vm.wait_for_config());
    CHECK(vm.m_near.asked() > 0);
    CHECK(vm.m_far.asked() <= each.m_far_asked_at_most);
}

TEST_CASE("a configuration that comes late is taken", "[config_fetcher]")
{
    follower vm(99, 99);
    REQUIRE(run_until(vm.m_io, [&] {
        return vm.m_near.asked() > 0 && vm.m_far.asked() > 0;
    }));
    vm.m_near.answer_late();
    CHECK(vm.wait_for_config(milliseconds(1000)));
}

TEST_CASE("one configuration is asked for, however many announce it",
          "[config_fetcher]")
{
    // At the start of a fleet each VM asked four storage VMs, and the copies
    // filled its link for four times as long.
    follower vm(99, 99);
    REQUIRE(run_until(vm.m_io, [&] { return vm.m_near.asked() > 0; }));
    const milliseconds several_round_trips{100};
    for (int i = 0; i < 3; ++i)
    {
        vm.m_near.announce();
        vm.m_far.announce();
        vm.m_io.restart();
        vm.m_io.run_for(several_round_trips / 3);
    }
    CHECK(vm.m_near.asked() + vm.m_far.asked() == 1);
    vm.m_near.answer_late();
    CHECK(vm.wait_for_config(milliseconds(1000)));
}

TEST_CASE("a configuration is asked for elsewhere as soon as a member is lost",
          "[config_fetcher]")
{
    follower vm(99, 0);
    REQUIRE(run_until(vm.m_io, [&] { return vm.m_near.asked() > 0; }));
    // The other one has announced it by then.
    vm.m_io.run_for(milliseconds(50));
    const auto lost = vm.m_time.now();
    vm.m_near.lose();
    REQUIRE(vm.wait_for_config());
    // Not only once it has been waited for: that takes 400 ms.
    CHECK(elapsed(lost, vm.m_time.now()) < milliseconds(300));
}
