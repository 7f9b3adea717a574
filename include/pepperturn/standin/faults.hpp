// SPDX-License-Identifier: BSL-1.0
/// \file
/// Fault switches of the stand-ins: named numbers set over HTTP.
#pragma once

#include "pepperturn/net/http_server.hpp"

#include <mutex>

namespace pepperturn::standin {

class fault_switches
{
public:
    /// 0 if it was never set.
    [[nodiscard]] long get(const std::string& name) const;
    /// The value, after which it is one less; 0 stays 0.
    long take_one(const std::string& name);
    /// Handles /standin/ paths; false if the call is not for it.
    bool handle(const http_call& call,
                const std::shared_ptr<http_responder>& out);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, long> m_values;
};

} // namespace pepperturn::standin
