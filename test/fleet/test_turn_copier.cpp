// SPDX-License-Identifier: BSL-1.0
// Copies between members of a replica set.
#include "pepperturn/fleet/turn_copier.hpp"

#include "support/fleet/copy_fixture.hpp"

#include <boost/asio/post.hpp>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr std::size_t kilobyte = 1024;

/// Small bounds, so that few turns reach them.
constexpr copy_limits small_limits{16 * kilobyte, 4, 1024 * kilobyte,
                                   256 * kilobyte};

/// A joining member and those that it copies from.
class copying_fleet : public copy_fixture
{
public:
    explicit copying_fleet(const copy_limits& limits = small_limits,
                           int sources = 2)
        : m_own(add(self, member_state::joining))
    {
        for (int i = 1; i <= sources; ++i)
        {
            const auto vm = "vm-" + std::to_string(i);
            add(vm);
            m_plan.m_required.push_back(vm);
        }
        start();
        m_copier = std::make_unique<turn_copier>(
            m_io, m_time, m_links, m_own.m_server, m_own.m_store, limits);
    }
    copied_member& source(int number)
    {
        return *m_members.at("vm-" + std::to_string(number));
    }
    bool copy()
    {
        return run_task(m_io, m_copier->copy(m_plan), milliseconds(60000))
            .value_or(false);
    }
    /// Runs until \p done while copying, then goes on with the result of copy.
    void begin_copy(std::optional<bool>& result)
    {
        asio::co_spawn(
            m_io, m_copier->copy(m_plan),
            [&result](const std::exception_ptr&, bool good) { result = good; });
    }
    /// What this VM holds after a restart.
    [[nodiscard]] std::size_t durable_turns() const
    {
        turn_log log(m_folder + "/vm-0", copied_member::segment_bytes);
        turn_store store(log);
        bool damaged = false;
        std::string reason;
        REQUIRE(store.load(m_time.now(), damaged, reason));
        CHECK_FALSE(damaged);
        return store.turn_count();
    }

    copied_member& m_own;
    copy_plan m_plan;
    std::unique_ptr<turn_copier> m_copier;
};

/// A source that answers what a test tells it to.
class scripted_source
{
public:
    /// Empty: the connection ends.
    using script = std::function<std::optional<frame>(const frame&)>;

    scripted_source(asio::io_context& io, script answer)
        : m_io(io), m_answer(std::move(answer)),
          m_acceptor(io, {asio::ip::address_v4::loopback(), 0})
    {
        spawn(io, "scripted_source",
              accept_all(m_acceptor, [this](tcp::socket socket) {
                  serve(std::move(socket));
              }));
    }
    [[nodiscard]] member in_view(const std::string& name) const
    {
        return {name,
                "127.0.0.1:" +
                    std::to_string(m_acceptor.local_endpoint().port()),
                name, 1, member_state::full};
    }

private:
    void serve(tcp::socket socket)
    {
        const auto link = std::make_shared<frame_link>(m_io, std::move(socket));
        m_links.push_back(link);
        link->start(
            [this, link = link.get()](const frame& value) {
                if (value.m_call == 0)
                    return;
                const auto reply = m_answer(value);
                if (reply)
                    link->send(*reply);
                else
                    link->close("script");
            },
            [](const std::string&) {});
    }

    asio::io_context& m_io;
    script m_answer;
    tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<frame_link>> m_links;
};

enum class fault : std::uint8_t
{
    ends,
    ends_while_read,
    other_epoch,
    other_epoch_while_read,
    refuses_pages,
    empty_pages,
    page_of_another_listing,
    listing_goes_back,
    other_body,
    other_turn,
    undecodable,
    too_many_entries,
    no_entries,
    unreadable
};

constexpr std::uint64_t listing = 3;

listed_message page_of(fault what, const list_message& request)
{
    listed_message page;
    page.m_listing = listing;
    page.m_next = request.m_from + 1;
    page.m_more = what == fault::empty_pages ||
                  what == fault::page_of_another_listing ||
                  what == fault::listing_goes_back;
    if (what == fault::page_of_another_listing && request.m_from > 0)
        page.m_listing = listing + 1;
    if (what == fault::listing_goes_back)
        page.m_next = request.m_from;
    if (what != fault::empty_pages)
        page.m_turns = {{copy_fixture::key(7), 1, 1000, 100},
                        {copy_fixture::key(8), 2, 1000, 100}};
    return page;
}

turn_entries_message entries_of(fault what)
{
    const auto encoded = [](int number) {
        const auto id = copy_fixture::name(number);
        return turn_entry{
            encode_entry({1000, turn_record{id, "", "in", "out", "run",
                                            key_of(id), key_of(id), 1}}),
            turn_entry_state::present, 1000};
    };
    const turn_entry unreadable{{}, turn_entry_state::unreadable, 1000};
    switch (what)
    {
    case fault::other_turn:
        return {{encoded(7), encoded(9)}};
    case fault::undecodable:
        return {{encoded(7), {"x", turn_entry_state::present, 1000}}};
    case fault::too_many_entries:
        return {{encoded(7), encoded(8), encoded(9)}};
    case fault::unreadable:
        return {{encoded(7), unreadable}};
    default:
        return {};
    }
}

std::optional<frame> answer(fault what, const frame& request)
{
    const auto* list = std::get_if<list_message>(&request.m_body);
    const bool ends = what == fault::ends ||
                      (what == fault::ends_while_read && list == nullptr);
    if (ends)
        return std::nullopt;
    frame reply{request.m_call, request.m_epoch, frame_status::ok, {}};
    if (what == fault::other_epoch ||
        (what == fault::other_epoch_while_read && list == nullptr))
        ++reply.m_epoch;
    if (what == fault::refuses_pages)
        reply.m_status = frame_status::failed;
    if (what == fault::other_body)
        reply.m_body = appended_message{};
    else if (list != nullptr)
        reply.m_body = page_of(what, *list);
    else
        reply.m_body = entries_of(what);
    return reply;
}

} // namespace

// A batch was synced before the next was requested, one source after the other:
// the time to copy was that of as many syncs and round trips.
TEST_CASE("requests and syncs of a copy follow from its bytes",
          "[turns][copies]")
{
    const int turns = GENERATE(300, 1200);
    constexpr std::size_t turn_bytes = 1000;
    copying_fleet fleet;
    fleet.source(1).add_turns(0, turns, copy_fixture::long_retention,
                              turn_bytes);
    fleet.source(2).add_turns(0, turns, copy_fixture::long_retention,
                              turn_bytes);
    REQUIRE(fleet.copy());
    const auto& done = fleet.m_copier->counters();
    // Both sources hold every turn, and each is copied once.
    CHECK(done.m_turns == static_cast<std::size_t>(turns));
    CHECK(fleet.durable_turns() == static_cast<std::size_t>(turns));
    // Full batches but for the last ones, and a page of each listing.
    CHECK(done.m_requests <= done.m_bytes / (14 * kilobyte) + 8);
    // Both tell the reservation of each turn, counted as 100 bytes.
    const auto bytes = done.m_bytes + 2UL * 100 * done.m_turns;
    CHECK(done.m_syncs <= bytes / small_limits.m_sync_bytes + 4);
    CHECK(done.m_peak_batches == small_limits.m_batches);
    CHECK(done.m_peak_held_bytes <= small_limits.m_held_bytes);
}

TEST_CASE("a copy has both what only one source and what all of them hold",
          "[turns][copies]")
{
    copying_fleet fleet;
    fleet.source(1).add_turns(0, 300, copy_fixture::long_retention);
    fleet.source(2).add_turns(200, 300, copy_fixture::long_retention);
    REQUIRE(fleet.copy());
    CHECK(fleet.m_copier->counters().m_turns == 500);
    CHECK(fleet.durable_turns() == 500);
    CHECK(fleet.source(1)
              .m_server.copied_by(copy_fixture::epoch)
              .contains(copy_fixture::self));
    CHECK(fleet.source(2)
              .m_server.copied_by(copy_fixture::epoch)
              .contains(copy_fixture::self));
    // What is there is not copied again, and what was reported neither.
    const auto requests = fleet.m_copier->counters().m_requests;
    REQUIRE(fleet.copy());
    CHECK(fleet.m_copier->counters().m_requests == requests);
}

TEST_CASE("a copy holds no more than its bound", "[turns][copies]")
{
    // It would sync later than it may hold.
    constexpr copy_limits tight{16 * kilobyte, 4, 64 * kilobyte,
                                1024 * kilobyte};
    copying_fleet fleet(tight, 1);
    fleet.source(1).add_turns(0, 300, copy_fixture::long_retention, 1000);
    REQUIRE(fleet.copy());
    CHECK(fleet.durable_turns() == 300);
    CHECK(fleet.m_copier->counters().m_peak_held_bytes <= tight.m_held_bytes);
}

TEST_CASE("an entry over all bounds is copied", "[turns][copies]")
{
    copying_fleet fleet;
    fleet.source(1).add_turns(0, 3, copy_fixture::long_retention,
                              400 * kilobyte);
    fleet.source(1).add_turns(3, 50, copy_fixture::long_retention);
    REQUIRE(fleet.copy());
    CHECK(fleet.durable_turns() == 53);
    CHECK(fleet.m_copier->counters().m_peak_held_bytes <=
          401 * kilobyte + small_limits.m_held_bytes);
}

TEST_CASE("a copy tells how far it is", "[turns][copies]")
{
    constexpr int turns = 3000;
    copying_fleet fleet(small_limits, 1);
    fleet.source(1).add_turns(0, turns, copy_fixture::long_retention);
    CHECK(fleet.m_copier->progress() == copy_progress{});
    std::optional<bool> result;
    fleet.begin_copy(result);
    REQUIRE(run_until(fleet.m_io,
                      [&] { return fleet.m_copier->counters().m_turns > 0; }));
    const auto amid = fleet.m_copier->progress();
    const auto done = fleet.m_copier->counters();
    CHECK(amid.m_sources == 1);
    CHECK(amid.m_turns_left + done.m_turns == turns);
    const auto all = fleet.source(1).m_store.list_turns(fleet.m_time.now());
    std::uint64_t bytes = 0;
    for (const auto& row : all)
        bytes += row.m_bytes;
    CHECK(amid.m_bytes_left + done.m_bytes == bytes);
    std::string text;
    fleet.m_copier->write_metrics(text);
    CHECK(text.find("copy_turns_left " + std::to_string(amid.m_turns_left) +
                    '\n') != std::string::npos);
    REQUIRE(run_until(fleet.m_io, [&] { return result.has_value(); }));
    CHECK(*result);
    CHECK(fleet.m_copier->progress() == copy_progress{});
}

// The listed turns were moved to another segment meanwhile, or had expired: the
// copy failed at the same one for ever.
TEST_CASE("a copy ends though its source compacts meanwhile", "[turns][copies]")
{
    copying_fleet fleet(small_limits, 1);
    auto& source = fleet.source(1);
    for (int i = 0; i < 40; ++i)
    {
        source.add_turns(100 * i, 99, copy_fixture::short_retention);
        source.add_turns(100 * i + 99, 1, copy_fixture::long_retention);
    }
    std::optional<bool> result;
    fleet.begin_copy(result);
    REQUIRE(run_until(fleet.m_io,
                      [&] { return fleet.m_copier->counters().m_turns > 0; }));
    REQUIRE(fleet.m_copier->counters().m_turns < 2000);
    const auto segments = source.m_log.segments().size();
    source.expire_short();
    REQUIRE(source.m_log.segments().size() < segments / 2);
    REQUIRE(run_until(fleet.m_io, [&] { return result.has_value(); }));
    CHECK(*result);
    CHECK(fleet.m_copier->counters().m_skipped > 0);
    for (int i = 0; i < 40; ++i)
        CHECK(fleet.m_own.m_store.has_turn(copy_fixture::key(100 * i + 99)));
}

TEST_CASE("a copy that was broken off goes on where it was", "[turns][copies]")
{
    constexpr int turns = 3000;
    copying_fleet fleet(small_limits, 1);
    fleet.source(1).add_turns(0, turns, copy_fixture::long_retention);
    std::optional<bool> result;
    fleet.begin_copy(result);
    REQUIRE(run_until(fleet.m_io,
                      [&] { return fleet.m_copier->counters().m_turns > 0; }));
    // A new view ends the copy.
    cluster_state state;
    fleet.m_view.m_epoch = copy_fixture::epoch + 1;
    state.m_views = {fleet.m_view};
    for (const auto& [name, row] : fleet.m_members)
        row->m_server.apply_state(state);
    REQUIRE(run_until(fleet.m_io, [&] { return result.has_value(); }));
    CHECK_FALSE(*result);
    CHECK(fleet.m_copier->counters().m_turns < turns);
    REQUIRE(fleet.copy());
    // Besides, no more than what was under way when the view changed; an entry
    // takes over 256 bytes.
    constexpr auto under_way =
        small_limits.m_batches * small_limits.m_batch_bytes / 256;
    CHECK(fleet.m_copier->counters().m_turns <= turns + under_way);
    CHECK(fleet.durable_turns() == turns);
}

// Whatever one source answers, its exchange ends alone: the others are copied,
// and that one does not count.
TEST_CASE("a source that answers wrongly ends its own exchange only",
          "[turns][copies]")
{
    const auto what = static_cast<fault>(
        GENERATE(range(0, static_cast<int>(fault::unreadable) + 1)));
    INFO("fault " << static_cast<int>(what));
    copy_fixture fleet;
    auto& own = fleet.add(copy_fixture::self, member_state::joining);
    auto& good = fleet.add("vm-1");
    good.add_turns(20, 30, copy_fixture::long_retention);
    scripted_source bad(fleet.m_io, [&](const frame& request) {
        return answer(what, request);
    });
    fleet.m_view.m_members.push_back(bad.in_view("vm-2"));
    fleet.start();
    turn_copier copier(fleet.m_io, fleet.m_time, fleet.m_links, own.m_server,
                       own.m_store);
    const auto all =
        run_task(fleet.m_io, copier.copy({.m_required = {"vm-1", "vm-2"}}));
    REQUIRE(all);
    CHECK_FALSE(*all);
    CHECK_FALSE(own.m_store.has_turn(copy_fixture::name(9)));
    // The plan is fulfilled without the bad one.
    const auto one =
        run_task(fleet.m_io,
                 copier.copy({.m_any = {"vm-2", "vm-1"}, .m_any_needed = 1}));
    REQUIRE(one);
    CHECK(*one);
    CHECK(good.m_server.copied_by(copy_fixture::epoch)
              .contains(copy_fixture::self));
    for (int i = 20; i < 50; ++i)
        CHECK(own.m_store.has_turn(copy_fixture::name(i)));
}

// A source that names turns which it does not have was asked for them for ever.
TEST_CASE("a turn that a source has no longer is skipped", "[turns][copies]")
{
    copy_fixture fleet;
    auto& own = fleet.add(copy_fixture::self, member_state::joining);
    scripted_source source(fleet.m_io, [&](const frame& request) {
        frame reply{request.m_call, request.m_epoch, frame_status::ok,
                    appended_message{}};
        if (const auto* list = std::get_if<list_message>(&request.m_body))
            reply.m_body = page_of(fault::unreadable, *list);
        else if (std::holds_alternative<read_turns_message>(request.m_body))
            reply.m_body =
                turn_entries_message{{{{}, turn_entry_state::gone, 0},
                                      {{}, turn_entry_state::gone, 0}}};
        return reply;
    });
    fleet.m_view.m_members.push_back(source.in_view("vm-1"));
    fleet.start();
    turn_copier copier(fleet.m_io, fleet.m_time, fleet.m_links, own.m_server,
                       own.m_store);
    const auto done =
        run_task(fleet.m_io, copier.copy({.m_required = {"vm-1"}}));
    REQUIRE(done);
    CHECK(*done);
    CHECK(copier.counters().m_skipped == 2);
    CHECK(copier.counters().m_turns == 0);
}
