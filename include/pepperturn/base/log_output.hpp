// SPDX-License-Identifier: BSL-1.0
/// \file
/// Log lines to standard output: gathered, written in batches, bounded, and
/// never waited for. What a full pipe does not take is counted and dropped.
#pragma once

#include <chrono>
#include <cstdint>
#include <glog/logging.h>
#include <mutex>
#include <string>

namespace pepperturn {

class log_output final : public google::LogSink
{
public:
    /// Takes over glog's output for the life of this object.
    explicit log_output(const char* program);
    ~log_output() override;
    log_output(const log_output&) = delete;
    log_output& operator=(const log_output&) = delete;

    void send(google::LogSeverity severity, const char* full_filename,
              const char* base_filename, int line, const struct ::tm* time,
              const char* message, std::size_t length) override;
    /// Writes what the pipe takes at once.
    void flush();
    [[nodiscard]] std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    void write_some();

    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex;
    std::string m_lines;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_reported = 0;
};

} // namespace pepperturn
