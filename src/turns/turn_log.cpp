// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_log.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace pepperturn {

namespace {

/// Length and checksum before each entry, little-endian, 4 bytes each.
constexpr std::uint32_t header_bytes = 8;
constexpr std::uint32_t max_entry_bytes = 16U << 20U;
constexpr std::uint32_t position_bits = 32;
constexpr std::size_t scan_bytes = 1U << 20U;
constexpr mode_t file_mode = 0644;
constexpr const char* identity_file = "identity";
constexpr const char* segment_prefix = "segment-";

void put_u32(std::string& out, std::uint32_t value)
{
    for (unsigned shift = 0; shift < 32; shift += 8)
        out.push_back(static_cast<char>(value >> shift & 0xffU));
}

std::uint32_t get_u32(const char* bytes)
{
    std::uint32_t value = 0;
    for (unsigned i = 0; i < 4; ++i)
        value |= std::uint32_t{static_cast<std::uint8_t>(bytes[i])} << (8 * i);
    return value;
}

std::uint32_t checksum(std::string_view bytes)
{
    return static_cast<std::uint32_t>(hash64(bytes, bytes.size()));
}

std::string os_error(const std::string& what)
{
    std::string text = what;
    text += ": ";
    text += std::strerror(errno);
    return text;
}

bool write_all(int file, std::string_view bytes, off_t offset)
{
    while (!bytes.empty())
    {
        const auto count = pwrite(file, bytes.data(), bytes.size(), offset);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
        offset += count;
    }
    return true;
}

std::optional<std::string> read_at(int file, std::size_t length, off_t offset)
{
    std::string out(length, '\0');
    std::size_t have = 0;
    while (have < length)
    {
        const auto count = pread(file, out.data() + have, length - have,
                                 offset + static_cast<off_t>(have));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return std::nullopt;
        if (count == 0)
            break;
        have += static_cast<std::size_t>(count);
    }
    out.resize(have);
    return out;
}

bool sync_folder(const std::string& folder)
{
    const int handle = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
        return false;
    const bool good = fsync(handle) == 0;
    close(handle);
    return good;
}

/// Replaces a small file atomically: after a crash either the old or the new
/// content is there.
bool replace_file(const std::string& folder, const std::string& name,
                  const std::string& text, std::string& reason)
{
    std::string path = folder;
    path += '/';
    path += name;
    const auto temporary = path + ".new";
    const int file = open(temporary.c_str(),
                          O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        reason = os_error(temporary);
        return false;
    }
    const bool good = write_all(file, text, 0) && fsync(file) == 0;
    close(file);
    if (!good || rename(temporary.c_str(), path.c_str()) != 0 ||
        !sync_folder(folder))
    {
        reason = os_error(path);
        return false;
    }
    return true;
}

std::optional<std::uint32_t> segment_number(const std::string& name)
{
    const std::string_view prefix = segment_prefix;
    if (!name.starts_with(prefix))
        return std::nullopt;
    std::uint32_t value = 0;
    const char* end = name.data() + name.size();
    const auto [rest, error] =
        std::from_chars(name.data() + prefix.size(), end, value);
    if (error != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

/// Length of the complete entry at the start of \p bytes; 0 if there is none.
std::uint32_t complete_entry_bytes(std::string_view bytes)
{
    if (bytes.size() < header_bytes)
        return 0;
    const auto length = get_u32(bytes.data());
    if (length == 0 || length > max_entry_bytes ||
        bytes.size() - header_bytes < length)
        return 0;
    const auto body = bytes.substr(header_bytes, length);
    return checksum(body) == get_u32(bytes.data() + 4) ? length : 0;
}

} // namespace

std::uint64_t pack(const log_position& position)
{
    return std::uint64_t{position.m_segment} << position_bits |
           position.m_offset;
}

log_position unpack(std::uint64_t packed)
{
    return {static_cast<std::uint32_t>(packed >> position_bits),
            static_cast<std::uint32_t>(packed)};
}

turn_log::turn_log(std::string folder, std::uint32_t segment_bytes)
    : m_folder(std::move(folder)), m_segment_bytes(segment_bytes)
{}

turn_log::~turn_log()
{
    for (const auto& [segment, file] : m_files)
        close(file);
}

std::string turn_log::path_of(std::uint32_t segment) const
{
    std::string path = m_folder;
    path += '/';
    path += segment_prefix;
    path += std::to_string(segment);
    return path;
}

std::optional<std::uint64_t> turn_log::identity(std::uint64_t fresh,
                                                std::string& reason)
{
    std::error_code error;
    std::filesystem::create_directories(m_folder, error);
    const auto path = m_folder + "/" + identity_file;
    const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0 && errno != ENOENT)
    {
        reason = os_error(path);
        return std::nullopt;
    }
    if (file >= 0)
    {
        const auto text = read_at(file, 64, 0);
        close(file);
        std::uint64_t value = 0;
        if (text &&
            std::from_chars(text->data(), text->data() + text->size(), value)
                    .ec == std::errc{} &&
            value != 0)
            return value;
    }
    if (!set_identity(fresh, reason))
        return std::nullopt;
    return fresh;
}

bool turn_log::set_identity(std::uint64_t value, std::string& reason)
{
    return replace_file(m_folder, identity_file, std::to_string(value), reason);
}

bool turn_log::write_file(const std::string& name, const std::string& bytes,
                          std::string& reason)
{
    const std::lock_guard lock(m_replace_mutex);
    return replace_file(m_folder, name, bytes, reason);
}

std::string turn_log::read_file(const std::string& name) const
{
    std::ifstream input(m_folder + '/' + name, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

int turn_log::open_segment(std::uint32_t segment, std::string& reason)
{
    {
        const std::lock_guard lock(m_files_mutex);
        const auto found = m_files.find(segment);
        if (found != m_files.end())
            return found->second;
    }
    const auto path = path_of(segment);
    const bool existed = access(path.c_str(), F_OK) == 0;
    const int file =
        open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (file < 0)
    {
        reason = os_error(path);
        return -1;
    }
    // A new file is durable only once both it and its folder are synced.
    if (!existed && (fsync(file) != 0 || !sync_folder(m_folder)))
    {
        reason = os_error(path);
        close(file);
        return -1;
    }
    const std::lock_guard lock(m_files_mutex);
    m_files[segment] = file;
    return file;
}

bool turn_log::load_segment(
    std::uint32_t segment, bool last,
    const std::function<void(const loaded_entry&)>& take, bool& damaged,
    std::string& reason)
{
    const int file = open_segment(segment, reason);
    if (file < 0)
        return false;
    std::uint32_t offset = 0;
    std::string buffer;
    std::size_t want = scan_bytes;
    while (true)
    {
        auto chunk = read_at(file, want, offset);
        if (!chunk)
        {
            reason = os_error(path_of(segment));
            return false;
        }
        std::size_t used = 0;
        while (const auto length =
                   complete_entry_bytes(std::string_view(*chunk).substr(used)))
        {
            take({{segment, offset + static_cast<std::uint32_t>(used)},
                  chunk->substr(used + header_bytes, length)});
            used += header_bytes + length;
        }
        offset += static_cast<std::uint32_t>(used);
        const bool at_end = chunk->size() < want;
        if (at_end && used == chunk->size())
            break;
        if (used > 0)
            continue;
        if (!at_end && want < header_bytes + std::size_t{max_entry_bytes})
        {
            want = header_bytes + std::size_t{max_entry_bytes};
            continue;
        }
        // Only the tail of the newest segment may be torn: earlier segments
        // had been synced when the log moved on from them.
        damaged = damaged || !last;
        break;
    }
    if (ftruncate(file, offset) != 0 || fsync(file) != 0)
    {
        reason = os_error(path_of(segment));
        return false;
    }
    m_on_disk[segment] = offset;
    return true;
}

bool turn_log::load(const std::function<void(const loaded_entry&)>& take,
                    bool& damaged, std::string& reason)
{
    damaged = false;
    std::error_code error;
    std::vector<std::uint32_t> found;
    for (const auto& file :
         std::filesystem::directory_iterator(m_folder, error))
    {
        const auto number = segment_number(file.path().filename().string());
        if (number)
            found.push_back(*number);
    }
    std::sort(found.begin(), found.end());
    for (const auto segment : found)
    {
        if (!load_segment(segment, segment == found.back(), take, damaged,
                          reason))
            return false;
    }
    // A new segment, so that nothing is written after a torn tail.
    m_current = found.empty() ? 1 : found.back() + 1;
    m_end = 0;
    return true;
}

log_position turn_log::append(std::string_view bytes)
{
    if (m_end >= m_segment_bytes)
    {
        ++m_current;
        m_end = 0;
    }
    const log_position position{m_current, m_end};
    std::string framed;
    framed.reserve(bytes.size() + header_bytes);
    put_u32(framed, static_cast<std::uint32_t>(bytes.size()));
    put_u32(framed, checksum(bytes));
    framed += bytes;
    m_end += static_cast<std::uint32_t>(framed.size());
    if (m_pending.empty() || m_pending.back().m_segment != m_current)
        m_pending.push_back({m_current, position.m_offset, {}});
    m_pending.back().m_bytes += framed;
    m_unwritten[position] = std::string(bytes);
    return position;
}

bool turn_log::has_pending() const
{
    return !m_pending.empty();
}

std::vector<log_batch> turn_log::take_pending()
{
    return std::exchange(m_pending, {});
}

bool turn_log::write_batch(const log_batch& batch, std::string& reason)
{
    const int file = open_segment(batch.m_segment, reason);
    if (file < 0)
        return false;
    if (write_all(file, batch.m_bytes, batch.m_offset) && fdatasync(file) == 0)
        return true;
    reason = os_error(path_of(batch.m_segment));
    return false;
}

bool turn_log::write_batches(const std::vector<log_batch>& batches,
                             std::string& reason)
{
    for (const auto& batch : batches)
    {
        if (m_write_failed)
        {
            reason = "an earlier write to this log failed";
            return false;
        }
        m_write_failed = !write_batch(batch, reason);
    }
    return !m_write_failed;
}

void turn_log::written(const std::vector<log_batch>& batches)
{
    for (const auto& batch : batches)
    {
        const auto end =
            batch.m_offset + static_cast<std::uint32_t>(batch.m_bytes.size());
        m_on_disk[batch.m_segment] = end;
        m_unwritten.erase(
            m_unwritten.lower_bound({batch.m_segment, batch.m_offset}),
            m_unwritten.lower_bound({batch.m_segment, end}));
    }
}

std::optional<std::string> turn_log::read_bytes(std::uint32_t segment,
                                                std::uint32_t offset,
                                                std::uint32_t length) const
{
    int file = -1;
    {
        const std::lock_guard lock(m_files_mutex);
        const auto found = m_files.find(segment);
        if (found == m_files.end())
            return std::nullopt;
        file = found->second;
    }
    return read_at(file, length, offset);
}

std::optional<std::string> turn_log::read(const log_position& position) const
{
    const auto queued = m_unwritten.find(position);
    if (queued != m_unwritten.end())
        return queued->second;
    // Most entries fit into the first read.
    constexpr std::uint32_t guess = 8192;
    auto bytes = read_bytes(position.m_segment, position.m_offset, guess);
    if (!bytes || bytes->size() < header_bytes)
        return std::nullopt;
    const auto length = get_u32(bytes->data());
    if (length > max_entry_bytes)
        return std::nullopt;
    if (bytes->size() < header_bytes + length)
        bytes = read_bytes(position.m_segment, position.m_offset,
                           header_bytes + length);
    if (!bytes || complete_entry_bytes(*bytes) != length)
        return std::nullopt;
    return bytes->substr(header_bytes, length);
}

std::vector<std::uint32_t> turn_log::segments() const
{
    std::vector<std::uint32_t> out;
    out.reserve(m_on_disk.size());
    for (const auto& [segment, bytes] : m_on_disk)
        out.push_back(segment);
    return out;
}

void turn_log::remove_segment(std::uint32_t segment)
{
    if (segment == m_current)
        return;
    const std::lock_guard lock(m_files_mutex);
    const auto found = m_files.find(segment);
    if (found != m_files.end())
    {
        close(found->second);
        m_files.erase(found);
    }
    unlink(path_of(segment).c_str());
    m_on_disk.erase(segment);
}

} // namespace pepperturn
