// SPDX-License-Identifier: BSL-1.0
/// \file
/// Tells a runner that has ended from one that only broke off an answer or a
/// connection: what has ended accepts no connection.
#pragma once

#include "pepperturn/forward/runner_table.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

namespace pepperturn {

enum class runner_condition : std::uint8_t
{
    /// It accepts connections.
    alive,
    /// It refuses connections: its process has ended.
    refused,
    /// It does not answer: its VM has ended, or cannot be reached.
    unreachable
};

[[nodiscard]] const char* to_string(runner_condition condition);

/// Connects to a runner that has broken off an answer. The connection is put
/// into \p pool.
[[nodiscard]] task<runner_condition> probe_runner(upstream_pool& pool,
                                                  runner_info runner);

/// Watches a runner over an idle connection, its own if there is none: it
/// learns of the end of its process, other than of the end of its VM. \returns
/// alive once \p span has passed
[[nodiscard]] task<runner_condition> watch_runner(upstream_pool& pool,
                                                  const clock& time,
                                                  runner_info runner,
                                                  milliseconds span);

} // namespace pepperturn
