// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/metrics.hpp"

#include <array>
#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>

namespace pepperturn {

namespace {

namespace bh = boost::histogram;

/// Bounds in seconds, 1 ms to 100 s in equal steps of the logarithm.
using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using seconds_histogram =
    decltype(bh::make_histogram(std::declval<log_axis>()));

struct series
{
    const char* m_name;
    seconds_histogram m_histogram;
    double m_sum = 0;
};

seconds_histogram make_seconds()
{
    constexpr unsigned bins = 25;
    return bh::make_histogram(log_axis(bins, 0.001, 100.0));
}

std::mutex& series_mutex()
{
    static std::mutex mutex;
    return mutex;
}

std::array<series, 3>& all_series()
{
    static std::array<series, 3> all{
        series{"pepperturn_first_token_seconds", make_seconds()},
        series{"pepperturn_call_seconds", make_seconds()},
        series{"pepperturn_store_write_seconds", make_seconds()}};
    return all;
}

void write_series(std::ostream& out, const series& entry)
{
    const auto& axis = entry.m_histogram.axis();
    std::uint64_t total = static_cast<std::uint64_t>(entry.m_histogram.at(-1));
    out << "# TYPE " << entry.m_name << " histogram\n";
    for (int i = 0; i < axis.size(); ++i)
    {
        total += static_cast<std::uint64_t>(entry.m_histogram.at(i));
        out << entry.m_name << "_bucket{le=\"" << axis.bin(i).upper() << "\"} "
            << total << "\n";
    }
    total += static_cast<std::uint64_t>(entry.m_histogram.at(axis.size()));
    out << entry.m_name << "_bucket{le=\"+Inf\"} " << total << "\n"
        << entry.m_name << "_sum " << entry.m_sum << "\n"
        << entry.m_name << "_count " << total << "\n";
}

void write_value(std::ostream& out, const char* type, const char* name,
                 std::uint64_t value)
{
    out << "# TYPE " << name << " " << type << "\n"
        << name << " " << value << "\n";
}

} // namespace

void record_timing(timing what, microseconds value)
{
    const std::lock_guard lock(series_mutex());
    auto& entry = all_series().at(static_cast<std::size_t>(what));
    entry.m_histogram(to_seconds(value));
    entry.m_sum += to_seconds(value);
}

std::string format_metrics(const core_state& state, std::size_t entry_calls)
{
    std::ostringstream out;
    const auto& counters = state.m_counters;
    const auto counter = [&out](const char* name, std::uint64_t value) {
        write_value(out, "counter", name, value);
    };
    counter("pepperturn_calls_submitted_total", counters.m_submitted);
    counter("pepperturn_calls_granted_total", counters.m_granted);
    counter("pepperturn_calls_ran_total", counters.m_ran);
    counter("pepperturn_calls_not_run_total", counters.m_not_run);
    counter("pepperturn_calls_unknown_total", counters.m_unknown);
    counter("pepperturn_retries_total", counters.m_retries);
    counter("pepperturn_log_entries_total", counters.m_entries);
    counter("pepperturn_log_records_total", counters.m_records);
    counter("pepperturn_partition_takeovers_total", counters.m_takeovers);
    counter("pepperturn_partition_fenced_total", counters.m_fenced);
    counter("pepperturn_prompt_tokens_total", counters.m_prompt_tokens);
    counter("pepperturn_wasted_prompt_tokens_total", counters.m_wasted_tokens);
    const auto gauge = [&out](const char* name, std::uint64_t value) {
        write_value(out, "gauge", name, value);
    };
    std::uint64_t owned = 0;
    std::uint64_t pending_bytes = 0;
    std::uint64_t programs = 0;
    for (const auto& partition : state.m_partitions)
    {
        owned += partition.m_role == partition_role::owner ? 1 : 0;
        pending_bytes += partition.m_pending_bytes;
        programs += partition.m_programs.size();
    }
    gauge("pepperturn_partitions_owned", owned);
    gauge("pepperturn_programs", programs);
    gauge("pepperturn_log_pending_bytes", pending_bytes);
    gauge("pepperturn_calls_here", entry_calls);
    gauge("pepperturn_calls_owned", state.m_calls.size());
    gauge("pepperturn_store_down", state.m_store_down ? 1 : 0);
    gauge("pepperturn_config_revision", state.m_deployment.m_revision);
    const std::lock_guard lock(series_mutex());
    for (const auto& entry : all_series())
        write_series(out, entry);
    return out.str();
}

} // namespace pepperturn
