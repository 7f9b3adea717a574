// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/read_pressure.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace pepperturn {

namespace {

constexpr std::uint64_t megabyte = 1U << 20U;
/// The process without any call: its code and tables, a thousand idle
/// connections, and the kernel memory for them.
constexpr std::uint64_t process_room = 40 * megabyte;
/// Share of the rest for buffers; the allocator needs some for fragmentation.
constexpr double held_share = 0.75;
/// A VM can always buffer some responses, however small it is.
constexpr std::uint64_t least_bound = 4 * megabyte;
/// Without a setting: suits the smallest VMs in use.
constexpr std::uint64_t usual_bound = 32 * megabyte;

/// Shares of the limit at which each level begins. Memory is left above the
/// last one for data that arrives while slow readers are not yet identified.
constexpr std::array<double, 4> level_begins{0, 0.5, 0.6, 0.7};
/// A level ends below this share of where it begins.
constexpr double level_ends = 0.9;

/// The oldest long response is buffered up to this share of the limit, the
/// others up to where readers are disconnected.
constexpr double gather_share = 0.85;
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

std::uint64_t share_of(double share, std::uint64_t bound)
{
    return static_cast<std::uint64_t>(share * static_cast<double>(bound));
}

/// Buffered bytes to reach by disconnecting: the normal level, since usual
/// callers are delayed until then, and readers this slow gain nothing from
/// waiting.
std::uint64_t cut_target(std::uint64_t bound)
{
    return share_of(begin_of(pressure_level::pausing) * level_ends, bound);
}

} // namespace

std::uint64_t buffer_limit(std::uint32_t memory_mb)
{
    if (memory_mb == 0)
        return usual_bound;
    const auto memory = memory_mb * megabyte;
    if (memory <= process_room)
        return least_bound;
    const auto left = static_cast<double>(memory - process_room);
    return std::max(least_bound, static_cast<std::uint64_t>(held_share * left));
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

pressure_level next_level(pressure_level now, std::uint64_t held,
                          std::uint64_t bound)
{
    const auto share = static_cast<double>(held) / static_cast<double>(bound);
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

std::uint64_t reservation_limit(memory_use use, std::uint64_t bound)
{
    return use == memory_use::delivery ? bound : share_of(work_share, bound);
}

bool may_buffer_more(pressure_level level, std::uint64_t committed,
                     std::uint64_t bound, std::uint64_t more, bool first)
{
    if (first)
        return committed + more <= share_of(gather_share, bound);
    if (level == pressure_level::cutting)
        return false;
    return committed + more <=
           share_of(begin_of(pressure_level::cutting), bound);
}

bool may_read_body(pressure_level level, std::uint64_t held,
                   std::uint64_t bound, std::uint64_t body)
{
    if (body <= large_body)
        return true;
    return level < pressure_level::refusing && held + body <= bound;
}

double read_rate(const unread_response& answer)
{
    if (answer.m_idle >= slow_after)
        return 0;
    const auto waited = std::max(answer.m_waited, milliseconds(1));
    return static_cast<double>(answer.m_consumed) / to_seconds(waited);
}

bool is_slow_reader(const unread_response& answer)
{
    return answer.m_waited >= slow_after &&
           read_rate(answer) < slow_bytes_per_s;
}

std::vector<std::size_t>
choose_aborts(const std::vector<unread_response>& answers, std::uint64_t held,
              std::uint64_t bound)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < answers.size(); ++i)
    {
        if (is_slow_reader(answers[i]))
            out.push_back(i);
    }
    std::sort(out.begin(), out.end(), [&](std::size_t left, std::size_t right) {
        const auto& a = answers[left];
        const auto& b = answers[right];
        const auto pace_a = read_rate(a);
        const auto pace_b = read_rate(b);
        if (pace_a != pace_b)
            return pace_a < pace_b;
        // Among equally slow readers, prefers the fewest disconnects.
        return a.m_buffered != b.m_buffered ? a.m_buffered > b.m_buffered
                                            : left < right;
    });
    const auto target = cut_target(bound);
    std::size_t count = 0;
    while (count < out.size() && held > target)
        held -= std::min(held, answers[out[count++]].m_buffered);
    out.resize(count);
    return out;
}

} // namespace pepperturn
