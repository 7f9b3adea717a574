// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/latency_histogram.hpp"

#include <vector>

namespace pepperturn {

namespace {

/// Upper edges in milliseconds, about two a factor of ten.
const std::vector<double> latency_edges{0,   1,    3,    10,    30,   100,
                                        300, 1000, 3000, 10000, 30000};

} // namespace

latency_histogram::latency_histogram()
    : m_counts(boost::histogram::make_histogram(axis(latency_edges)))
{}

void latency_histogram::note(milliseconds took)
{
    m_counts(static_cast<double>(took.count()));
}

void latency_histogram::write(std::string& out, const std::string& name) const
{
    double sum = 0;
    for (int i = 0; i < m_counts.axis(0).size(); ++i)
    {
        sum += m_counts.at(i);
        const auto edge =
            static_cast<std::int64_t>(m_counts.axis(0).bin(i).upper());
        write_metric(out, name + "_ms{le=\"" + std::to_string(edge) + "\"}",
                     static_cast<std::uint64_t>(sum));
    }
}

void write_metric(std::string& out, const std::string& name,
                  std::uint64_t value)
{
    out += name;
    out += ' ';
    out += std::to_string(value);
    out += '\n';
}

} // namespace pepperturn
