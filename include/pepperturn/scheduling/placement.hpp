// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which runner a call goes to.
///
/// Load patterns: few-slot services, where one call outweighs the bytes
/// between zones; engines, where reading a prompt anew costs more than some
/// neighbours in the batch; slow and failing runners, which stay in use for
/// as much as they can do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// One runner that a call may go to, as the deciding VM sees it.
struct runner_candidate
{
    /// Calls under way there, in shares of its slots.
    double m_load = 0;
    bool m_other_zone = false;
    /// Of another region, too.
    bool m_other_region = false;
    /// A kept connection is idle.
    bool m_connected = false;
    /// The beginning of the prompt is in its memory.
    bool m_has_cached_prompt = false;
    /// Time to the first byte as a multiple of what is usual.
    double m_slowness = 1;
    /// Share of the calls that went wrong lately.
    double m_error_rate = 0;
    /// Prompts that begin alike meet here: it has read that part, most likely.
    bool m_has_shared_part = false;
    /// It has just started, or its memory is empty: it bears few calls.
    bool m_cold = false;
    /// It refused or failed just now: used only if all others did too.
    bool m_deprioritised = false;
    /// Decides among equals.
    std::uint64_t m_random_tiebreak = 0;
};

/// What speaks against a candidate, in shares of its slots; lower is better.
[[nodiscard]] double runner_cost(const runner_candidate& row);

/// Index of the candidate that costs least, by draw among equals; empty:
/// there is none.
[[nodiscard]] std::optional<std::size_t>
select_runner(const std::vector<runner_candidate>& candidates);

} // namespace pepperturn
