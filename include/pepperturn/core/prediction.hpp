// SPDX-License-Identifier: BSL-1.0
/// \file
/// What a call would cost on a runner, from lagging reports corrected by own
/// sends. docs/design/scheduling.md has the figures behind it.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn::detail {

/// A runner that may take a call, and what that would cost, in seconds.
struct candidate
{
    runner_row* m_runner = nullptr;
    double m_wait = 0;
    /// Ranks the candidates; prefill to be done again counts extra.
    double m_finish = 0;
    std::uint32_t m_cached = 0;
};

/// Our own calls in flight plus what others had there when it reported.
[[nodiscard]] std::uint32_t estimated_load(const runner_row& runner);

/// Reachable, not leaving, and not avoided after a failure.
[[nodiscard]] bool is_usable(const core_state& state, const runner_row& runner);

/// May the runner be given work now? False while this VM, after a pause, has
/// not heard of the runners again.
[[nodiscard]] bool runner_usable(const core_state& state,
                                 const std::string& name);

[[nodiscard]] candidate predict(const core_state& state, runner_row& runner,
                                const call_row& call,
                                const session_row& session);

/// Seconds until a new call would start on the best runner.
[[nodiscard]] double predicted_wait(const core_state& state,
                                    const std::string& upstream);

/// Tokens of the session's history that \p runner is believed to hold.
[[nodiscard]] std::uint32_t estimated_cached_tokens(const runner_row& runner,
                                                    const session_row& session);

} // namespace pepperturn::detail
