// SPDX-License-Identifier: BSL-1.0
/// \file
/// Selects the runner for a call.
///
/// Load patterns: services with few slots, where one call outweighs the cost
/// of traffic between zones; engines, where prefilling a prompt again costs
/// more than a few other calls in the batch; slow and failing runners, which
/// stay in use for as much as they can serve.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pepperturn {

/// A runner that a call may use, as seen by the selecting VM.
struct runner_candidate
{
    /// Calls in progress there, as a share of its slots.
    double m_load = 0;
    bool m_other_zone = false;
    /// The runner is in another region as well.
    bool m_other_region = false;
    /// An idle kept-alive connection exists.
    bool m_connected = false;
    /// The beginning of the prompt is in its cache.
    bool m_has_cached_prompt = false;
    /// Time to first byte as a multiple of the usual one.
    double m_slowness = 1;
    /// Share of the recent calls that failed.
    double m_error_rate = 0;
    /// Prompts with the same beginning are sent here: the shared part is most
    /// likely cached.
    bool m_has_shared_part = false;
    /// It has just started, or its cache is empty: it can serve few calls.
    bool m_cold = false;
    /// It refused or failed a moment ago: used only if all others did too.
    bool m_deprioritised = false;
    /// Random value that decides between equal costs.
    std::uint64_t m_random_tiebreak = 0;
};

/// Cost of a candidate, as a share of its slots; lower is better.
[[nodiscard]] double runner_cost(const runner_candidate& candidate);

/// Index of the candidate with the lowest cost, by random value among equals;
/// empty: there are no candidates.
[[nodiscard]] std::optional<std::size_t>
select_runner(const std::vector<runner_candidate>& candidates);

} // namespace pepperturn
