// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/standin/faults.hpp"

#include <nlohmann/json.hpp>

namespace pepperturn::standin {

long fault_switches::get(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

long fault_switches::take_one(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second <= 0)
        return 0;
    return found->second--;
}

bool fault_switches::handle(const http_call& call,
                            const std::shared_ptr<http_responder>& out)
{
    if (call.m_path != "/standin/faults")
        return false;
    const auto json = nlohmann::json::parse(call.m_body, nullptr, false);
    if (call.m_method != "PUT" || !json.is_object())
    {
        out->reply(400, {}, "{\"error\":\"expected PUT of an object\"}");
        return true;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, value] : json.items())
    {
        if (value.is_number_integer())
            m_values[name] = value;
    }
    out->reply(200, {}, "{}");
    return true;
}

} // namespace pepperturn::standin
