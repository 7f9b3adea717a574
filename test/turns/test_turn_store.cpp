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

/// A folder that is removed at the end of the test.
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

/// The log and store of one run of a process.
struct opened_store
{
    explicit opened_store(const std::string& folder,
                          std::uint32_t segment = small_segment)
        : m_log(folder, segment), m_store(m_log)
    {
        std::string reason;
        m_identity = *m_log.identity(42, reason);
        REQUIRE(m_store.load(instant{}, m_damaged, reason));
    }

    void sync()
    {
        REQUIRE(try_sync());
    }
    bool try_sync()
    {
        const auto batches = m_log.take_pending();
        std::string reason;
        const bool good = m_log.write_batches(batches, reason);
        if (good)
            m_log.written(batches);
        return good;
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

log_entry reserved(std::uint64_t attempt, std::uint32_t tokens, bool settled)
{
    return {retention_ms,
            reservation{{1, 1}, {attempt, attempt}, tokens, settled}};
}

std::string ids_of(const std::vector<turn_record>& history)
{
    std::string out;
    for (const auto& each : history)
        out += each.m_id;
    return out;
}

} // namespace

TEST_CASE("a turn history is read back to its start, before and after the sync",
          "[turn_store]")
{
    const temporary_folder folder;
    {
        opened_store original(folder.path());
        CHECK(original.m_identity == 42);
        original.m_store.append(turn("a", ""), instant{});
        original.m_store.append(turn("b", "a"), instant{});
        CHECK(ids_of(original.m_store.history("b", milliseconds(0),
                                              instant{})) == "ba");
        original.sync();
        original.m_store.append(turn("c", "b"), instant{});
        CHECK(ids_of(original.m_store.history("c", milliseconds(0),
                                              instant{})) == "cba");
        original.sync();
        CHECK(
            original.m_store.history("x", milliseconds(0), instant{}).empty());
    }
    opened_store reopened(folder.path());
    CHECK(reopened.m_identity == 42);
    CHECK_FALSE(reopened.m_damaged);
    const auto history =
        reopened.m_store.history("c", milliseconds(0), instant{});
    CHECK(ids_of(history) == "cba");
    CHECK(history.front().m_input == "in-c");
    CHECK(history.front().m_output == "out-c");
}

TEST_CASE("a settled reservation never becomes unsettled", "[turn_store]")
{
    const temporary_folder folder;
    opened_store original(folder.path());
    original.m_store.append(reserved(1, 80, false), instant{});
    original.m_store.append(reserved(1, 30, true), instant{});
    original.m_store.append(reserved(1, 80, false), instant{});
    original.m_store.append(turn("t", ""), instant{});
    std::uint64_t sum = 0;
    for (const auto& row : original.m_store.ledger_of({1, 1}))
        sum += row.m_tokens;
    CHECK(sum == 40);
    CHECK(original.m_store.ledger_of({2, 2}).empty());
}

TEST_CASE("a torn tail is truncated and no entry before it is lost",
          "[turn_store]")
{
    const auto removed_bytes = GENERATE(range(1, 60));
    const temporary_folder folder;
    {
        opened_store original(folder.path(), 1U << 20U);
        original.m_store.append(turn("a", ""), instant{});
        original.sync();
        original.m_store.append(turn("b", "a"), instant{});
        original.sync();
    }
    const auto file = folder.path() + "/segment-1";
    const auto size = std::filesystem::file_size(file);
    std::filesystem::resize_file(file,
                                 size - static_cast<unsigned>(removed_bytes));
    opened_store reopened(folder.path(), 1U << 20U);
    CHECK_FALSE(reopened.m_damaged);
    CHECK(reopened.m_store.has_turn("a"));
    CHECK_FALSE(reopened.m_store.has_turn("b"));
    reopened.m_store.append(turn("c", "a"), instant{});
    reopened.sync();
    const opened_store third(folder.path(), 1U << 20U);
    CHECK(third.m_store.has_turn("a"));
    CHECK(third.m_store.has_turn("c"));
}

TEST_CASE("damage before the tail is reported", "[turn_store]")
{
    const temporary_folder folder;
    {
        opened_store original(folder.path());
        for (const char* id : {"a", "b", "c", "d", "e", "f"})
        {
            original.m_store.append(turn(id, ""), instant{});
            original.sync();
        }
        REQUIRE(original.m_log.segments().size() > 1);
    }
    {
        std::fstream file(folder.path() + "/segment-1",
                          std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(20);
        file.put('!');
    }
    const opened_store reopened(folder.path());
    CHECK(reopened.m_damaged);
}

TEST_CASE("expired turns are removed and their disk space is reclaimed",
          "[turn_store]")
{
    const temporary_folder folder;
    opened_store original(folder.path());
    for (const char* id : {"a", "b", "c", "d", "e", "f"})
        original.m_store.append(turn(id, ""), instant{});
    original.sync();
    const auto later = instant{} + milliseconds(800);
    original.m_store.append(turn("g", "f"), later);
    original.sync();
    // Reading a history extends the retention of all of it.
    CHECK(ids_of(original.m_store.history("g", milliseconds(1000), later)) ==
          "gf");
    const auto before = original.m_log.segments().size();
    const auto end = instant{} + milliseconds(1100);
    for (int i = 0; i < 10; ++i)
    {
        original.m_store.expire(end);
        original.sync();
    }
    CHECK_FALSE(original.m_store.has_turn("a"));
    CHECK(ids_of(original.m_store.history("g", milliseconds(0), end)) == "gf");
    CHECK(original.m_log.segments().size() < before);
}

TEST_CASE("turns that were synced before a failed write outlive a restart",
          "[turn_store]")
{
    const bool disk_recovers = GENERATE(true, false);
    constexpr int synced = 40;
    const auto id = [](int i) { return "t" + std::to_string(i); };
    const temporary_folder folder;
    std::filesystem::path refused;
    {
        opened_store original(folder.path());
        for (int i = 0; i < synced; ++i)
            original.m_store.append(turn(id(i), ""), instant{});
        original.sync();
        // The system refuses to open a folder for writing.
        refused = folder.path() + "/segment-" +
                  std::to_string(original.m_log.current_segment() + 1);
        std::filesystem::create_directory(refused);
        for (int i = synced; original.try_sync(); ++i)
            original.m_store.append(turn(id(i), ""), instant{});
        if (disk_recovers)
            std::filesystem::remove(refused);
        for (int i = 0; i < 6; ++i)
        {
            original.m_store.expire(instant{} + milliseconds(10 * i));
            CHECK_FALSE(original.try_sync());
        }
    }
    std::filesystem::remove(refused);
    const opened_store restarted(folder.path());
    for (int i = 0; i < synced; ++i)
    {
        INFO(id(i));
        CHECK(restarted.m_store.has_turn(id(i)));
    }
}

TEST_CASE("a store copied from a listing is equal to the original",
          "[turn_store]")
{
    CHECK(rc::check("pages", [](const std::vector<std::uint8_t>& picks) {
        const temporary_folder folder;
        opened_store original(folder.path());
        std::string last;
        int number = 0;
        for (const auto pick : picks)
        {
            if (pick % 3 == 0)
            {
                const auto id = "t" + std::to_string(++number);
                original.m_store.append(turn(id, last), instant{});
                last = id;
            }
            else
                original.m_store.append(reserved(pick % 5, pick, pick % 2 == 0),
                                        instant{});
            if (pick % 7 == 0)
                original.sync();
        }
        original.sync();
        const temporary_folder other;
        opened_store copy(other.path());
        for (const auto& row : original.m_store.list_turns(instant{}))
        {
            std::string reason;
            const auto bytes = original.m_log.read(unpack(row.m_position));
            RC_ASSERT(bytes.has_value());
            RC_ASSERT(copy.m_store.append_encoded(*bytes, instant{},
                                                  milliseconds{}, reason));
        }
        for (const auto& entry : original.m_store.list_reservations(instant{}))
            copy.m_store.append({entry.m_retention_ms, entry.m_row}, instant{});
        // Copying again changes nothing and writes nothing.
        copy.sync();
        for (const auto& entry : original.m_store.list_reservations(instant{}))
            copy.m_store.append({entry.m_retention_ms, entry.m_row}, instant{});
        RC_ASSERT(!copy.m_log.has_pending());
        RC_ASSERT(copy.m_store.turn_count() == original.m_store.turn_count());
        RC_ASSERT(
            ids_of(copy.m_store.history(last, milliseconds(0), instant{})) ==
            ids_of(original.m_store.history(last, milliseconds(0), instant{})));
        std::map<id_key, reservation> left;
        std::map<id_key, reservation> right;
        for (const auto& row : original.m_store.ledger_of({1, 1}))
            left[row.m_attempt] = row;
        for (const auto& row : copy.m_store.ledger_of({1, 1}))
            right[row.m_attempt] = row;
        RC_ASSERT(left == right);
    }));
}

TEST_CASE("loading the log yields to other work at intervals", "[turn_store]")
{
    temporary_folder folder;
    constexpr int entries = 3500;
    {
        opened_store original(folder.path(), 1U << 20U);
        for (int i = 0; i < entries; ++i)
            original.m_store.append(
                {1000, reservation{key_of("p"), key_of(std::to_string(i)), 1}},
                instant{});
        original.sync();
    }
    turn_log log(folder.path(), 1U << 20U);
    turn_store store(log);
    int yields = 0;
    bool damaged = false;
    std::string reason;
    REQUIRE(store.load(instant{}, damaged, reason, [&] { ++yields; }));
    CHECK(store.ledger_of(key_of("p")).size() == entries);
    CHECK(yields == 3);
}

// The live turns of a segment were compared with a share of all turns: with
// more than four segments, whole segments were written anew, one after the
// other, for as long as the process ran.
TEST_CASE("a segment that is in use is not rewritten", "[turn_store]")
{
    const temporary_folder folder;
    opened_store original(folder.path());
    constexpr int turns = 40;
    for (int i = 0; i < turns; ++i)
        original.m_store.append(turn("t" + std::to_string(i), ""), instant{});
    original.sync();
    const auto segments = original.m_log.segments();
    REQUIRE(segments.size() > 8);
    const auto end = original.m_log.end();
    for (int i = 0; i < 10; ++i)
    {
        original.m_store.expire(instant{} + milliseconds(10));
        original.sync();
    }
    CHECK(original.m_log.segments() == segments);
    CHECK(original.m_log.end() == end);
}

TEST_CASE("a segment is reclaimed though an older one is in use",
          "[turn_store]")
{
    const temporary_folder folder;
    opened_store original(folder.path());
    const auto live = [](const std::string& id) {
        auto entry = turn(id, "");
        entry.m_retention_ms = 10 * retention_ms;
        return entry;
    };
    for (const char* id : {"a", "b", "c"})
        original.m_store.append(live(id), instant{});
    for (int i = 0; i < 40; ++i)
    {
        // Programs of their own, so that no settled reservation remains.
        auto entry = turn("t" + std::to_string(i), "");
        std::get<turn_record>(entry.m_what).m_program =
            key_of(std::get<turn_record>(entry.m_what).m_id);
        original.m_store.append(entry, instant{});
    }
    original.sync();
    const auto oldest = original.m_log.segments().front();
    for (int i = 0; i < 100; ++i)
    {
        original.m_store.expire(instant{} + milliseconds(2 * retention_ms));
        original.sync();
    }
    const auto segments = original.m_log.segments();
    CHECK(segments.front() == oldest);
    CHECK(segments.size() < 5);
    for (const char* id : {"a", "b", "c"})
        CHECK(original.m_store.history(id, milliseconds(0), instant{}).size() ==
              1);
}
