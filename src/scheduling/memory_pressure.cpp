// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/memory_pressure.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace pepperturn {

namespace {

constexpr std::uint64_t megabyte = 1U << 20U;
/// The process without any call: its code and tables, a thousand idle
/// connections, and the kernel memory for them.
constexpr std::uint64_t process_memory = 40 * megabyte;
/// Share of the rest for buffers; the allocator needs some for fragmentation.
constexpr double buffer_share = 0.75;
/// A VM can always buffer some responses, however small it is.
constexpr std::uint64_t min_limit = 4 * megabyte;
/// Without a setting: suits the smallest VMs in use.
constexpr std::uint64_t default_limit = 32 * megabyte;

/// Shares of the limit at which each level begins. Memory is left above the
/// last one for data that arrives while slow readers are not yet identified.
constexpr std::array<double, 4> level_begins{0, 0.5, 0.6, 0.7};
/// A level ends below this share of where it begins.
constexpr double level_ends = 0.9;

/// The oldest long response is buffered up to this share of the limit, the
/// others up to where readers are disconnected.
constexpr double long_response_share = 0.85;
/// New work is accepted up to this share: if all memory were reserved for it,
/// nothing that is ready could be delivered, and no memory would be freed.
constexpr double work_share = 0.95;

/// Usual requests are smaller; refusing them would free nothing.
constexpr std::uint64_t large_body = 32U << 10U;

/// Faster than a bad mobile link, far slower than a usual caller.
constexpr double slow_bytes_per_s = 4096;
/// A temporarily impaired link recovers within this time.
constexpr milliseconds slow_after{1500};

double begin_of(pressure_level level)
{
    return level_begins.at(static_cast<std::size_t>(level));
}

std::uint64_t share_of(double share, std::uint64_t limit)
{
    return static_cast<std::uint64_t>(share * static_cast<double>(limit));
}

/// Buffered bytes to reach by disconnecting: the normal level, since usual
/// callers are delayed until then, and readers this slow gain nothing from
/// waiting.
std::uint64_t abort_target(std::uint64_t limit)
{
    return share_of(begin_of(pressure_level::pausing) * level_ends, limit);
}

} // namespace

std::uint64_t buffer_limit(std::uint32_t memory_mb)
{
    if (memory_mb == 0)
        return default_limit;
    const auto memory = memory_mb * megabyte;
    if (memory <= process_memory)
        return min_limit;
    const auto left = static_cast<double>(memory - process_memory);
    return std::max(min_limit, static_cast<std::uint64_t>(buffer_share * left));
}

const char* to_string(pressure_level level)
{
    switch (level)
    {
    case pressure_level::calm:
        return "calm";
    case pressure_level::pausing:
        return "pausing";
    case pressure_level::refusing:
        return "refusing";
    case pressure_level::cutting:
        return "cutting";
    }
    return "unknown";
}

pressure_level next_level(pressure_level now, std::uint64_t buffered,
                          std::uint64_t limit)
{
    const auto share =
        static_cast<double>(buffered) / static_cast<double>(limit);
    auto out = pressure_level::calm;
    for (const auto level : {pressure_level::pausing, pressure_level::refusing,
                             pressure_level::cutting})
    {
        const bool reached = level <= now;
        if (share >= begin_of(level) * (reached ? level_ends : 1.0))
            out = level;
    }
    return out;
}

std::uint64_t reservation_limit(memory_use use, std::uint64_t limit)
{
    return use == memory_use::delivery ? limit : share_of(work_share, limit);
}

bool may_buffer_more(pressure_level level, std::uint64_t committed,
                     std::uint64_t limit, std::uint64_t more, bool first)
{
    if (first)
        return committed + more <= share_of(long_response_share, limit);
    if (level == pressure_level::cutting)
        return false;
    return committed + more <=
           share_of(begin_of(pressure_level::cutting), limit);
}

bool may_read_body(pressure_level level, std::uint64_t buffered,
                   std::uint64_t limit, std::uint64_t body)
{
    if (body <= large_body)
        return true;
    return level < pressure_level::refusing && buffered + body <= limit;
}

double read_rate(const unread_response& response)
{
    if (response.m_idle >= slow_after)
        return 0;
    const auto waited = std::max(response.m_waited, milliseconds(1));
    return static_cast<double>(response.m_consumed) / to_seconds(waited);
}

bool is_slow_reader(const unread_response& response)
{
    return response.m_waited >= slow_after &&
           read_rate(response) < slow_bytes_per_s;
}

std::vector<std::size_t>
choose_aborts(const std::vector<unread_response>& responses,
              std::uint64_t buffered, std::uint64_t limit)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < responses.size(); ++i)
    {
        if (is_slow_reader(responses[i]))
            out.push_back(i);
    }
    std::sort(out.begin(), out.end(), [&](std::size_t left, std::size_t right) {
        const auto& a = responses[left];
        const auto& b = responses[right];
        const auto rate_a = read_rate(a);
        const auto rate_b = read_rate(b);
        if (rate_a != rate_b)
            return rate_a < rate_b;
        // Among equally slow readers, prefers the fewest disconnects.
        return a.m_buffered != b.m_buffered ? a.m_buffered > b.m_buffered
                                            : left < right;
    });
    const auto target = abort_target(limit);
    std::size_t count = 0;
    while (count < out.size() && buffered > target)
        buffered -= std::min(buffered, responses[out[count++]].m_buffered);
    out.resize(count);
    return out;
}

} // namespace pepperturn
