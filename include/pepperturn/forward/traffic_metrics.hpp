// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counters and latency histograms of forwarding, as text.
#pragma once

#include "pepperturn/base/time.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <map>
#include <string>

namespace pepperturn {

class traffic_metrics
{
public:
    traffic_metrics();

    void count(const std::string& name, std::uint64_t by = 1);
    /// Time from a request's arrival to its answer's end.
    void note_answer(milliseconds took);
    /// Time from a turn's arrival until it was sent to a runner.
    void note_turn_begin(milliseconds took);

    /// One `name value` a line.
    [[nodiscard]] std::string text() const;

private:
    using latency_axis = boost::histogram::axis::variable<double>;
    using latency_histogram = decltype(boost::histogram::make_histogram(
        std::declval<latency_axis>()));

    static void write(std::string& out, const char* name,
                      const latency_histogram& values);

    std::map<std::string, std::uint64_t> m_counters;
    latency_histogram m_answers;
    latency_histogram m_turn_begins;
};

} // namespace pepperturn
