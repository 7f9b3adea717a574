// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/traffic_metrics.hpp"

#include <vector>

namespace pepperturn {

namespace {

namespace histogram = boost::histogram;

/// Upper edges in milliseconds, about two a factor of ten.
const std::vector<double> latency_edges{0,   1,    3,    10,    30,   100,
                                        300, 1000, 3000, 10000, 30000};

} // namespace

traffic_metrics::traffic_metrics()
    : m_answers(histogram::make_histogram(latency_axis(latency_edges))),
      m_turn_begins(histogram::make_histogram(latency_axis(latency_edges)))
{}

void traffic_metrics::count(const std::string& name, std::uint64_t by)
{
    m_counters[name] += by;
}

void traffic_metrics::note_answer(milliseconds took)
{
    m_answers(static_cast<double>(took.count()));
}

void traffic_metrics::note_turn_begin(milliseconds took)
{
    m_turn_begins(static_cast<double>(took.count()));
}

void traffic_metrics::write(std::string& out, const char* name,
                            const latency_histogram& values)
{
    double sum = 0;
    for (int i = 0; i < values.axis(0).size(); ++i)
    {
        sum += values.at(i);
        out += name;
        out += "_ms{le=\"";
        out += std::to_string(
            static_cast<std::int64_t>(values.axis(0).bin(i).upper()));
        out += "\"} ";
        out += std::to_string(static_cast<std::uint64_t>(sum));
        out += '\n';
    }
}

std::string traffic_metrics::text() const
{
    std::string out;
    for (const auto& [name, value] : m_counters)
    {
        out += name;
        out += ' ';
        out += std::to_string(value);
        out += '\n';
    }
    write(out, "answer", m_answers);
    write(out, "turn_begin", m_turn_begins);
    return out;
}

} // namespace pepperturn
