// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counters and latency histograms of forwarding, as text.
#pragma once

#include "pepperturn/base/latency_histogram.hpp"

#include <map>

namespace pepperturn {

class traffic_metrics
{
public:
    void count(const std::string& name, std::uint64_t by = 1);
    /// Time from a request's arrival to its answer's end.
    void note_answer(milliseconds took);
    /// Time from a turn's arrival until it was sent to a runner.
    void note_turn_begin(milliseconds took);

    /// One `name value` a line.
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::uint64_t> m_counters;
    latency_histogram m_answers;
    latency_histogram m_turn_begins;
};

} // namespace pepperturn
