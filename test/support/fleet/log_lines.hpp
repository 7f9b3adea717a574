// SPDX-License-Identifier: BSL-1.0
/// \file
/// Log lines that are written while an object of this class lives.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace pepperturn::test {

class log_lines
{
public:
    log_lines();
    ~log_lines();
    log_lines(const log_lines&) = delete;
    log_lines& operator=(const log_lines&) = delete;

    /// The lines of one event, in their order.
    [[nodiscard]] std::vector<std::string> of(const std::string& event) const;

private:
    // The log's header has macros of the same names as the tests'.
    class sink;
    std::unique_ptr<sink> m_sink;
};

/// Value of a key in a line, without its quotes; empty: the line lacks it.
[[nodiscard]] std::string value_of(const std::string& line,
                                   const std::string& key);

} // namespace pepperturn::test
