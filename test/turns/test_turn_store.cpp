// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/messages.hpp"
#include "pepperturn/turns/turn_store.hpp"

#include "support/fleet/scratch_folder.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <unistd.h>

namespace {

using namespace pepperturn;

/// A folder of its own that goes with the test.
class temporary_folder
{
public:
    temporary_folder()
    {
        m_path = pepperturn::test::make_scratch_folder("turns");
        REQUIRE_FALSE(m_path.empty());
    }
    ~temporary_folder()
    {
        std::filesystem::remove_all(m_path);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] const std::string& path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

constexpr std::uint32_t small_segment = 256;

/// One life of a process with its log and store.
struct opened
{
    explicit opened(const std::string& folder,
                    std::uint32_t segment = small_segment)
        : m_log(folder, segment), m_store(m_log)
    {
        std::string reason;
        m_identity = *m_log.identity(42, reason);
        REQUIRE(m_store.load(instant{}, m_damaged, reason));
    }

    void sync()
    {
        const auto batches = m_log.take_pending();
        std::string reason;
        REQUIRE(m_log.write_batches(batches, reason));
        m_log.written(batches);
    }

    turn_log m_log;
    turn_store m_store;
    std::uint64_t m_identity = 0;
    bool m_damaged = false;
};

constexpr std::uint32_t retention_ms = 1000;

log_entry turn(const std::string& id, const std::string& parent)
{
    return {
        retention_ms,
        turn_record{
            id, parent, "in-" + id, "out-" + id, "r", {1, 1}, key_of(id), 10}};
}

log_entry held(std::uint64_t attempt, std::uint32_t tokens, bool settled)
{
    return {retention_ms,
            reservation{{1, 1}, {attempt, attempt}, tokens, settled}};
}

std::string ids_of(const std::vector<turn_record>& chain)
{
    std::string out;
    for (const auto& each : chain)
        out += each.m_id;
    return out;
}

} // namespace

TEST_CASE("a chain is read back to its start, before and after the sync",
          "[turn_store]")
{
    const temporary_folder folder;
    {
        opened life(folder.path());
        CHECK(life.m_identity == 42);
        life.m_store.append(turn("a", ""), instant{});
        life.m_store.append(turn("b", "a"), instant{});
        CHECK(ids_of(life.m_store.history("b", milliseconds(0), instant{})) ==
              "ba");
        life.sync();
        life.m_store.append(turn("c", "b"), instant{});
        CHECK(ids_of(life.m_store.history("c", milliseconds(0), instant{})) ==
              "cba");
        life.sync();
        CHECK(life.m_store.history("x", milliseconds(0), instant{}).empty());
    }
    opened again(folder.path());
    CHECK(again.m_identity == 42);
    CHECK_FALSE(again.m_damaged);
    const auto chain = again.m_store.history("c", milliseconds(0), instant{});
    CHECK(ids_of(chain) == "cba");
    CHECK(chain.front().m_input == "in-c");
    CHECK(chain.front().m_output == "out-c");
}

TEST_CASE("settled tokens are never held again", "[turn_store]")
{
    const temporary_folder folder;
    opened life(folder.path());
    life.m_store.append(held(1, 80, false), instant{});
    life.m_store.append(held(1, 30, true), instant{});
    life.m_store.append(held(1, 80, false), instant{});
    life.m_store.append(turn("t", ""), instant{});
    std::uint64_t sum = 0;
    for (const auto& row : life.m_store.ledger_of({1, 1}))
        sum += row.m_tokens;
    CHECK(sum == 40);
    CHECK(life.m_store.ledger_of({2, 2}).empty());
}

TEST_CASE("a torn tail is cut off and nothing before it is lost",
          "[turn_store]")
{
    const auto cut = GENERATE(range(1, 60));
    const temporary_folder folder;
    {
        opened life(folder.path(), 1U << 20U);
        life.m_store.append(turn("a", ""), instant{});
        life.sync();
        life.m_store.append(turn("b", "a"), instant{});
        life.sync();
    }
    const auto file = folder.path() + "/segment-1";
    const auto size = std::filesystem::file_size(file);
    std::filesystem::resize_file(file, size - static_cast<unsigned>(cut));
    opened again(folder.path(), 1U << 20U);
    CHECK_FALSE(again.m_damaged);
    CHECK(again.m_store.has_turn("a"));
    CHECK_FALSE(again.m_store.has_turn("b"));
    again.m_store.append(turn("c", "a"), instant{});
    again.sync();
    const opened third(folder.path(), 1U << 20U);
    CHECK(third.m_store.has_turn("a"));
    CHECK(third.m_store.has_turn("c"));
}

TEST_CASE("damage before the tail is told", "[turn_store]")
{
    const temporary_folder folder;
    {
        opened life(folder.path());
        for (const char* id : {"a", "b", "c", "d", "e", "f"})
        {
            life.m_store.append(turn(id, ""), instant{});
            life.sync();
        }
        REQUIRE(life.m_log.segments().size() > 1);
    }
    {
        std::fstream file(folder.path() + "/segment-1",
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(20);
        file.put('!');
    }
    const opened again(folder.path());
    CHECK(again.m_damaged);
}

TEST_CASE("what is past its retention goes, and its disk space", "[turn_store]")
{
    const temporary_folder folder;
    opened life(folder.path());
    for (const char* id : {"a", "b", "c", "d", "e", "f"})
        life.m_store.append(turn(id, ""), instant{});
    life.sync();
    const auto later = instant{} + milliseconds(800);
    life.m_store.append(turn("g", "f"), later);
    life.sync();
    // Reading a chain keeps all of it.
    CHECK(ids_of(life.m_store.history("g", milliseconds(1000), later)) == "gf");
    const auto before = life.m_log.segments().size();
    const auto end = instant{} + milliseconds(1100);
    for (int i = 0; i < 10; ++i)
    {
        life.m_store.expire(end);
        life.sync();
    }
    CHECK_FALSE(life.m_store.has_turn("a"));
    CHECK(ids_of(life.m_store.history("g", milliseconds(0), end)) == "gf");
    CHECK(life.m_log.segments().size() < before);
}

TEST_CASE("a copy of what is listed is the same store", "[turn_store]")
{
    CHECK(rc::check("pages", [](const std::vector<std::uint8_t>& picks) {
        const temporary_folder folder;
        opened life(folder.path());
        std::string last;
        int number = 0;
        for (const auto pick : picks)
        {
            if (pick % 3 == 0)
            {
                const auto id = "t" + std::to_string(++number);
                life.m_store.append(turn(id, last), instant{});
                last = id;
            }
            else
                life.m_store.append(held(pick % 5, pick, pick % 2 == 0),
                                    instant{});
            if (pick % 7 == 0)
                life.sync();
        }
        life.sync();
        const temporary_folder other;
        opened copy(other.path());
        for (const auto& row : life.m_store.list_turns())
        {
            std::string reason;
            const auto bytes = life.m_log.read(unpack(row.m_position));
            RC_ASSERT(bytes.has_value());
            RC_ASSERT(copy.m_store.append_encoded(*bytes, instant{}, reason));
        }
        for (const auto& entry : life.m_store.list_reservations())
            copy.m_store.append({entry.m_retention_ms, entry.m_row}, instant{});
        // Once more changes nothing and writes nothing.
        copy.sync();
        for (const auto& entry : life.m_store.list_reservations())
            copy.m_store.append({entry.m_retention_ms, entry.m_row}, instant{});
        RC_ASSERT(!copy.m_log.has_pending());
        RC_ASSERT(copy.m_store.turn_count() == life.m_store.turn_count());
        RC_ASSERT(
            ids_of(copy.m_store.history(last, milliseconds(0), instant{})) ==
            ids_of(life.m_store.history(last, milliseconds(0), instant{})));
        std::map<id_key, reservation> left;
        std::map<id_key, reservation> right;
        for (const auto& row : life.m_store.ledger_of({1, 1}))
            left[row.m_attempt] = row;
        for (const auto& row : copy.m_store.ledger_of({1, 1}))
            right[row.m_attempt] = row;
        RC_ASSERT(left == right);
    }));
}

TEST_CASE("reading the log leaves others their turn", "[turn_store]")
{
    temporary_folder folder;
    constexpr int entries = 3500;
    {
        opened life(folder.path(), 1U << 20U);
        for (int i = 0; i < entries; ++i)
            life.m_store.append(
                {1000, reservation{key_of("p"), key_of(std::to_string(i)), 1}},
                instant{});
        life.sync();
    }
    turn_log log(folder.path(), 1U << 20U);
    turn_store store(log);
    int turns = 0;
    bool damaged = false;
    std::string reason;
    REQUIRE(store.load(instant{}, damaged, reason, [&] { ++turns; }));
    CHECK(store.ledger_of(key_of("p")).size() == entries);
    CHECK(turns == 3);
}
