// SPDX-License-Identifier: BSL-1.0
// What a copy tells the log and the metrics.
#include "turn_copier_run.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// The same end of an exchange is logged again after this.
constexpr milliseconds log_interval{5000};

} // namespace

void turn_copier::log_end(const copy_run& run, const source& from)
{
    const auto now = m_time.now();
    if (copied(from.m_name, run.m_epoch))
    {
        m_logged.erase(from.m_name);
        LOG(INFO) << "event=copied_all from=" << from.m_name
                  << " epoch=" << run.m_epoch << " turns=" << from.m_turns
                  << " bytes=" << from.m_bytes
                  << " ms=" << (now - from.m_begun) / milliseconds(1);
        return;
    }
    std::string reason = from.m_failure;
    if (reason.empty())
        reason = run.m_disk_failed ? "the disk here failed"
                 : run.m_ended     ? "complete without it"
                                   : "the view has changed";
    auto& logged = m_logged[from.m_name];
    if (logged.m_reason == reason && now - logged.m_at < log_interval)
        return;
    logged = {reason, now};
    LOG(INFO) << "event=copy_ended from=" << from.m_name
              << " epoch=" << run.m_epoch << " turns=" << from.m_turns
              << " reason=\"" << reason << '"';
}

void turn_copier::log_progress(const copy_run& run) const
{
    for (const auto& row : run.m_sources)
        LOG_IF(INFO, !row->m_ended)
            << "event=copy_progress from=" << row->m_name
            << " epoch=" << run.m_epoch << " turns=" << row->m_turns
            << " bytes=" << row->m_bytes << " turns_left=" << row->turns_left()
            << " bytes_left=" << row->bytes_left()
            << " bytes_per_s=" << row->bytes_per_s(m_time.now());
}

copy_progress turn_copier::progress() const
{
    copy_progress out;
    const auto run = m_run.lock();
    if (!run)
        return out;
    for (const auto& row : run->m_sources)
    {
        out.m_bytes_per_s += row->bytes_per_s(m_time.now());
        if (row->m_ended)
            continue;
        ++out.m_sources;
        out.m_turns_left = std::max(out.m_turns_left, row->turns_left());
        out.m_bytes_left = std::max(out.m_bytes_left, row->bytes_left());
    }
    return out;
}

void turn_copier::write_metrics(std::string& out) const
{
    const auto now = progress();
    write_metric(out, "copy_sources", now.m_sources);
    write_metric(out, "copy_turns_left", now.m_turns_left);
    write_metric(out, "copy_bytes_left", now.m_bytes_left);
    write_metric(out, "copy_bytes_per_s", now.m_bytes_per_s);
    write_metric(out, "copied_turns", m_counters.m_turns);
    write_metric(out, "copied_bytes", m_counters.m_bytes);
    write_metric(out, "copies_skipped", m_counters.m_skipped);
    write_metric(out, "copy_requests", m_counters.m_requests);
    write_metric(out, "copy_syncs", m_counters.m_syncs);
    write_metric(out, "copy_peak_held_bytes", m_counters.m_peak_held_bytes);
}

} // namespace pepperturn
