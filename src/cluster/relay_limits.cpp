// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

void refill(relay_budget& budget, const relay_limits& limits, instant now)
{
    if (budget.m_last_refill == instant{})
    {
        budget = {limits.m_request_burst, limits.m_byte_burst, now};
        return;
    }
    const auto span = std::chrono::duration<double>(now - budget.m_last_refill);
    budget.m_last_refill = now;
    budget.m_requests =
        std::min(limits.m_request_burst,
                 budget.m_requests + span.count() * limits.m_requests_per_s);
    budget.m_bytes =
        std::min(limits.m_byte_burst,
                 budget.m_bytes + span.count() * limits.m_bytes_per_s);
}

} // namespace

bool may_be_relayed(const frame_body& body)
{
    // A grant that is returned twice would be granted twice.
    if (const auto* request = std::get_if<quota_request>(&body))
        return !request->m_is_return;
    return std::holds_alternative<begin_message>(body) ||
           std::holds_alternative<append_message>(body) ||
           std::holds_alternative<fetch_message>(body) ||
           std::holds_alternative<freshness_request_message>(body) ||
           std::holds_alternative<config_request_message>(body) ||
           std::holds_alternative<suspects_message>(body) ||
           std::holds_alternative<placement_request>(body) ||
           std::holds_alternative<placement_report>(body);
}

bool admit_relayed_request(relay_budget& budget, const relay_limits& limits,
                           std::size_t bytes, instant now)
{
    refill(budget, limits, now);
    const auto size = static_cast<double>(bytes);
    if (budget.m_requests < 1 || budget.m_bytes < size)
        return false;
    budget.m_requests -= 1;
    budget.m_bytes -= size;
    return true;
}

void charge_reply(relay_budget& budget, std::size_t bytes)
{
    budget.m_bytes -= static_cast<double>(bytes);
}

} // namespace pepperturn
