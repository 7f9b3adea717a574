// SPDX-License-Identifier: BSL-1.0
/// \file
/// `/metrics`: counters of the tables and histograms of what callers felt,
/// in the text form that monitoring systems scrape.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn {

/// What is timed. Thread-safe to record.
enum class timing : std::uint8_t
{
    first_token,
    whole_call,
    store_write
};

void record_timing(timing what, microseconds value);

[[nodiscard]] std::string format_metrics(const core_state& state,
                                         std::size_t entry_calls);

} // namespace pepperturn
