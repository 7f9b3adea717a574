// SPDX-License-Identifier: BSL-1.0
/// \file
/// Policies as Lua 5.4 programs that may define `priority(program, call)`,
/// `budget(program)` and `allow(program, call, runner)`. They have no I/O, and
/// bounded instructions and memory.
#pragma once

#include "pepperturn/policy/policy.hpp"

#include <optional>

namespace pepperturn {

/// Compiles \p source and runs it on sample facts. On an error \p reason has
/// the message and its line. An empty source gives the default policy. A rule
/// that fails later returns the result of the default policy.
[[nodiscard]] std::optional<policy> make_policy(const std::string& source,
                                                std::uint64_t revision,
                                                std::string& reason);

} // namespace pepperturn
