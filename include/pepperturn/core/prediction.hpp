// SPDX-License-Identifier: BSL-1.0
/// \file
/// Predicts the cost of a call on a runner from the runner's delayed load
/// reports, corrected by the attempts this VM has sent since.
/// docs/design/scheduling.md has the measurements behind it.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn::detail {

/// A runner that may serve a call, and the predicted cost, in seconds.
struct candidate
{
    runner_row* m_runner = nullptr;
    double m_wait = 0;
    /// Ranks the candidates; repeated prefill is weighted higher.
    double m_finish = 0;
    std::uint32_t m_cached = 0;
};

/// This VM's calls in flight plus those of other VMs in the last report.
[[nodiscard]] std::uint32_t estimated_load(const runner_row& runner);

/// Reachable, not leaving, and not in back-off after a failure.
[[nodiscard]] bool is_usable(const core_state& state, const runner_row& runner);

/// Whether calls may be sent to the runner now. False after a pause of this
/// VM until it has received a new list.
[[nodiscard]] bool runner_usable(const core_state& state,
                                 const std::string& name);

[[nodiscard]] candidate predict(const core_state& state, runner_row& runner,
                                const call_row& call,
                                const session_row& session);

/// Seconds until a new call would start on the best runner.
[[nodiscard]] double predicted_wait(const core_state& state,
                                    const std::string& upstream);

/// Estimated tokens of the session's history in the cache of \p runner.
[[nodiscard]] std::uint32_t estimated_cached_tokens(const runner_row& runner,
                                                    const session_row& session);

} // namespace pepperturn::detail
