// SPDX-License-Identifier: BSL-1.0
/// \file
/// Requests, reports and engines for tests of placements.
#pragma once

#include "pepperturn/scheduling/engine_placements.hpp"

#include <string>
#include <vector>

namespace pepperturn::test {

inline constexpr std::uint64_t service = 7;
inline constexpr std::uint32_t shared_tokens = 12'600;
inline constexpr instant start{seconds(1000)};

inline std::vector<engine_info> make_engines(std::size_t count,
                                             std::uint32_t slots)
{
    std::vector<engine_info> engines;
    for (std::size_t i = 1; i <= count; ++i)
        engines.push_back({.m_runner = i,
                           .m_availability_zone = "a",
                           .m_slots = slots,
                           .m_token_capacity = 100'000});
    return engines;
}

inline placement_request make_request(std::uint64_t call,
                                      std::uint64_t shared = 1)
{
    return {.m_service = service,
            .m_call = call,
            .m_parts = {{shared, shared_tokens}, {1000 + call, 1000}},
            .m_prompt_tokens = shared_tokens + 1000,
            .m_max_output_tokens = 248,
            .m_rank = call_rank::first,
            .m_queue_timeout_ms = 1000,
            .m_program_time_left_ms = 0,
            .m_availability_zone = "a",
            .m_excluded = {}};
}

inline placement_report make_report(std::uint64_t call,
                                    std::uint32_t run_ms = 100)
{
    return {.m_service = service,
            .m_call = call,
            .m_end = placement_end::whole,
            .m_first_byte_ms = 10,
            .m_run_ms = run_ms,
            .m_output_tokens = 100};
}

inline placement_reply request_placement(engine_placements& placements,
                                         const placement_request& request,
                                         instant now = start)
{
    return placements.request_placement(request, now)
        .value_or(placement_reply{});
}

inline std::string metrics(const engine_placements& placements)
{
    std::string out;
    placements.write_metrics(out);
    return out;
}

inline bool has_metric_line(const engine_placements& placements,
                            const std::string& line)
{
    return metrics(placements).find(line + '\n') != std::string::npos;
}

} // namespace pepperturn::test
