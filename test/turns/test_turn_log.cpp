// SPDX-License-Identifier: BSL-1.0
// A turn log whose disk refuses a write, and the storage VM above it.
#include "pepperturn/turns/turn_server.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <catch2/catch.hpp>
#include <filesystem>

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

/// A log in a scratch folder, each of its entries in a segment of its own.
class refusing_disk
{
public:
    refusing_disk()
    {
        REQUIRE_FALSE(m_folder.empty());
        std::string reason;
        REQUIRE(m_log.identity(7, reason).has_value());
    }
    ~refusing_disk()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    refusing_disk(const refusing_disk&) = delete;
    refusing_disk& operator=(const refusing_disk&) = delete;

    /// Makes the system refuse to open the first segment.
    void refuse_first_segment()
    {
        std::filesystem::create_directory(first_segment());
    }
    void accept_first_segment()
    {
        std::filesystem::remove(first_segment());
    }
    bool write(const std::string& entry)
    {
        (void)m_log.append(entry);
        std::string reason;
        return m_log.write_batches(m_log.take_pending(), reason);
    }

    static constexpr std::uint32_t one_entry = 1;

    std::string m_folder = make_scratch_folder("log");
    turn_log m_log{m_folder, one_entry};

private:
    [[nodiscard]] std::string first_segment() const
    {
        return m_folder + "/segment-1";
    }
};

} // namespace

TEST_CASE("a log does not acknowledge what lies behind a failed write",
          "[turn_log]")
{
    struct row
    {
        const char* m_what;
        bool m_disk_recovers;
    };
    const auto each = GENERATE(values<row>({
        {"the disk goes on refusing", false},
        {"the disk accepts writes again", true},
    }));
    INFO(each.m_what);
    refusing_disk disk;
    disk.refuse_first_segment();
    CHECK_FALSE(disk.write("first"));
    if (each.m_disk_recovers)
        disk.accept_first_segment();
    CHECK_FALSE(disk.write("second"));
    CHECK_FALSE(disk.write("third"));
}

TEST_CASE("a storage VM does not report copies behind a failed write as synced",
          "[turn_log]")
{
    refusing_disk disk;
    disk.refuse_first_segment();
    asio::io_context io(1);
    const system_clock time;
    turn_store store(disk.m_log);
    turn_server server(io, time, "vm-0", disk.m_log, store);
    // The second is queued while the first is being written.
    for (std::uint64_t attempt = 1; attempt <= 2; ++attempt)
        server.add_reservations(
            {{60000, {{1, 1}, {attempt, 1}, 50, false, {}}}});
    const auto synced = run_task(io, server.synced());
    REQUIRE(synced.has_value());
    CHECK_FALSE(*synced);
    CHECK_FALSE(server.disk_good());
    server.stop();
    io.restart();
    io.poll();
}
