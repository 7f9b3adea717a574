// SPDX-License-Identifier: BSL-1.0
/// \file
/// Append-only log on a local disk, in segments. Each entry is preceded by its
/// length and a checksum. Appending only queues an entry; a batch is written
/// and synced by one call, which may run on another thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pepperturn {

/// Position of an entry. Positions only grow.
struct log_position
{
    std::uint32_t m_segment = 0;
    std::uint32_t m_offset = 0;

    // The linter takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const log_position&, const log_position&) = default;
};

[[nodiscard]] std::uint64_t pack(const log_position& position);
[[nodiscard]] log_position unpack(std::uint64_t packed);

/// Bytes queued for one segment.
struct log_batch
{
    std::uint32_t m_segment = 0;
    std::uint32_t m_offset = 0;
    std::string m_bytes;
};

struct loaded_entry
{
    log_position m_position;
    std::string m_bytes;
};

class turn_log
{
public:
    /// \param segment_bytes size in bytes at which a new segment is begun
    turn_log(std::string folder, std::uint32_t segment_bytes);
    ~turn_log();
    turn_log(const turn_log&) = delete;
    turn_log& operator=(const turn_log&) = delete;

    /// Identity of this disk: read from it, or written and synced on first use.
    /// \param fresh identity to write if there is none yet
    [[nodiscard]] std::optional<std::uint64_t> identity(std::uint64_t fresh,
                                                        std::string& reason);
    /// Gives the disk a new identity, after its content proved damaged.
    [[nodiscard]] bool set_identity(std::uint64_t value, std::string& reason);

    /// Replaces the file \p name in the folder, synced. Blocks.
    [[nodiscard]] bool write_file(const std::string& name,
                                  const std::string& bytes,
                                  std::string& reason);
    /// Empty if the file does not exist or cannot be read.
    [[nodiscard]] std::string read_file(const std::string& name) const;

    /// Reads every complete entry in order and truncates a torn tail.
    /// \param damaged set if entries before the tail cannot be read
    [[nodiscard]] bool
    load(const std::function<void(const loaded_entry&)>& take, bool& damaged,
         std::string& reason);

    /// Queues an entry. It can be read at once, and is durable after
    /// write_batches.
    [[nodiscard]] log_position append(std::string_view bytes);
    [[nodiscard]] bool has_pending() const;
    /// Removes and returns the queued batches, for write_batches.
    [[nodiscard]] std::vector<log_batch> take_pending();
    /// Writes and syncs. Blocks; may run on another thread, one at a time.
    /// Once a write has failed, all later ones fail: loading stops at a gap, so
    /// what lies behind one would be lost.
    [[nodiscard]] bool write_batches(const std::vector<log_batch>& batches,
                                     std::string& reason);
    /// Releases the copies in memory of what write_batches wrote.
    void written(const std::vector<log_batch>& batches);
    /// Where the next entry begins.
    [[nodiscard]] log_position end() const
    {
        return {m_current, m_end};
    }
    /// Whether all entries before \p end are durable.
    [[nodiscard]] bool durable_before(const log_position& end) const
    {
        return m_unwritten.empty() || m_unwritten.begin()->first >= end;
    }

    /// The entry at \p position; empty if it cannot be read.
    [[nodiscard]] std::optional<std::string>
    read(const log_position& position) const;
    /// The segment that is still written to.
    [[nodiscard]] std::uint32_t current_segment() const
    {
        return m_current;
    }
    [[nodiscard]] std::vector<std::uint32_t> segments() const;
    /// Bytes of the segment on disk.
    [[nodiscard]] std::size_t bytes_of(std::uint32_t segment) const
    {
        const auto found = m_on_disk.find(segment);
        return found == m_on_disk.end() ? 0 : found->second;
    }
    /// Deletes a segment other than the current one.
    void remove_segment(std::uint32_t segment);

private:
    [[nodiscard]] std::string path_of(std::uint32_t segment) const;
    [[nodiscard]] int open_segment(std::uint32_t segment, std::string& reason);
    [[nodiscard]] bool write_batch(const log_batch& batch, std::string& reason);
    [[nodiscard]] std::optional<std::string>
    read_bytes(std::uint32_t segment, std::uint32_t offset,
               std::uint32_t length) const;
    [[nodiscard]] bool
    load_segment(std::uint32_t segment, bool last,
                 const std::function<void(const loaded_entry&)>& take,
                 bool& damaged, std::string& reason);

    std::string m_folder;
    std::uint32_t m_segment_bytes;
    std::uint32_t m_current = 1;
    std::uint32_t m_end = 0;
    /// Bytes that are not yet synced, by segment and offset.
    std::map<log_position, std::string> m_unwritten;
    std::vector<log_batch> m_pending;
    /// A write has failed. Used by the writer's thread only.
    bool m_write_failed = false;
    /// Bytes on disk of each segment.
    std::map<std::uint32_t, std::uint32_t> m_on_disk;
    /// Guards m_files, to which the writer's thread adds.
    mutable std::mutex m_files_mutex;
    /// Serializes the replacement of small files.
    std::mutex m_replace_mutex;
    std::map<std::uint32_t, int> m_files;
};

} // namespace pepperturn
