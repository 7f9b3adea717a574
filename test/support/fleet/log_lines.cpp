// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/log_lines.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <iterator>
#include <mutex>

namespace pepperturn::test {

class log_lines::sink final : public google::LogSink
{
public:
    sink()
    {
        google::AddLogSink(this);
    }
    ~sink() override
    {
        google::RemoveLogSink(this);
    }
    sink(const sink&) = delete;
    sink& operator=(const sink&) = delete;

    void send(google::LogSeverity, const char*, const char*, int,
              const struct ::tm*, const char* message,
              std::size_t length) override
    {
        // The disk's thread writes lines too.
        const std::lock_guard lock(m_mutex);
        m_lines.emplace_back(message, length);
    }
    [[nodiscard]] std::vector<std::string> of(const std::string& event)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> out;
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(out),
                     [&](const std::string& line) {
                         return line.starts_with("event=" + event + ' ');
                     });
        return out;
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

log_lines::log_lines() : m_sink(std::make_unique<sink>()) {}

log_lines::~log_lines() = default;

std::vector<std::string> log_lines::of(const std::string& event) const
{
    return m_sink->of(event);
}

std::string value_of(const std::string& line, const std::string& key)
{
    const auto at = line.find(' ' + key + '=');
    if (at == std::string::npos)
        return {};
    const auto begin = at + key.size() + 2;
    if (begin < line.size() && line[begin] == '"')
        return line.substr(begin + 1, line.find('"', begin + 1) - begin - 1);
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace pepperturn::test
