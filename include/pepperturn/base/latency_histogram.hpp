// SPDX-License-Identifier: BSL-1.0
/// \file
/// Latencies in a histogram, as text for the metrics address.
#pragma once

#include "pepperturn/base/time.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <string>

namespace pepperturn {

class latency_histogram
{
public:
    latency_histogram();

    void note(milliseconds took);
    /// Appends one line for each upper edge, in milliseconds, with the count
    /// up to it.
    void write(std::string& out, const std::string& name) const;

private:
    using axis = boost::histogram::axis::variable<double>;
    using counts =
        decltype(boost::histogram::make_histogram(std::declval<axis>()));

    counts m_counts;
};

/// Appends `name value` as a line.
void write_metric(std::string& out, const std::string& name,
                  std::uint64_t value);

} // namespace pepperturn
