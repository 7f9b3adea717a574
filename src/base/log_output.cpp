// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/log_output.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace pepperturn {

namespace {

/// A pipe that takes PIPE_BUF bytes is written to in one call.
constexpr std::size_t batch_bytes = PIPE_BUF;
/// Lines kept for a reader that is slow: some seconds of a busy VM.
constexpr std::size_t max_kept_bytes = 256U << 10U;

const char* level_name(google::LogSeverity severity)
{
    switch (severity)
    {
    case google::GLOG_INFO:
        return "info";
    case google::GLOG_WARNING:
        return "warning";
    case google::GLOG_ERROR:
        return "error";
    default:
        return "fatal";
    }
}

} // namespace

log_output::log_output(const char* program)
    : m_start(std::chrono::steady_clock::now())
{
    google::InitGoogleLogging(program);
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING,
                                google::GLOG_ERROR, google::GLOG_FATAL})
        google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::AddLogSink(this);
}

log_output::~log_output()
{
    google::RemoveLogSink(this);
    flush();
    google::ShutdownGoogleLogging();
}

void log_output::send(google::LogSeverity severity, const char*, const char*,
                      int, const struct ::tm*, const char* message,
                      std::size_t length)
{
    const auto up = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - m_start);
    const std::lock_guard lock(m_mutex);
    if (m_lines.size() + length > max_kept_bytes)
    {
        ++m_dropped;
        return;
    }
    m_lines += "up_ms=";
    m_lines += std::to_string(up.count());
    m_lines += " level=";
    m_lines += level_name(severity);
    m_lines += ' ';
    m_lines.append(message, length);
    m_lines += '\n';
    if (m_lines.size() >= batch_bytes || severity >= google::GLOG_FATAL)
        write_some();
}

void log_output::flush()
{
    const std::lock_guard lock(m_mutex);
    if (m_dropped > m_dropped_reported)
    {
        m_lines += "level=warning event=log_dropped lines=" +
                   std::to_string(m_dropped - m_dropped_reported) + '\n';
        m_dropped_reported = m_dropped;
    }
    write_some();
}

void log_output::write_some()
{
    std::size_t used = 0;
    while (used < m_lines.size())
    {
        pollfd target{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
            break;
        const auto count = write(STDOUT_FILENO, m_lines.data() + used,
                                 std::min(batch_bytes, m_lines.size() - used));
        if (count <= 0)
            break;
        used += static_cast<std::size_t>(count);
    }
    m_lines.erase(0, used);
}

} // namespace pepperturn
