// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/relay_limits.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

void refill(relay_budget& budget, const relay_limits& limits, instant now)
{
    if (budget.m_filled == instant{})
    {
        budget = {limits.m_ask_burst, limits.m_byte_burst, now};
        return;
    }
    const auto span = std::chrono::duration<double>(now - budget.m_filled);
    budget.m_filled = now;
    budget.m_asks = std::min(
        limits.m_ask_burst, budget.m_asks + span.count() * limits.m_asks_per_s);
    budget.m_bytes =
        std::min(limits.m_byte_burst,
                 budget.m_bytes + span.count() * limits.m_bytes_per_s);
}

} // namespace

bool may_be_relayed(const frame_body& body)
{
    // A grant that came back twice would be granted twice.
    if (const auto* question = std::get_if<quota_question>(&body))
        return !question->m_returned;
    return std::holds_alternative<begin_message>(body) ||
           std::holds_alternative<append_message>(body) ||
           std::holds_alternative<fetch_message>(body) ||
           std::holds_alternative<want_freshness_message>(body) ||
           std::holds_alternative<want_config_message>(body) ||
           std::holds_alternative<place_question>(body) ||
           std::holds_alternative<place_report>(body);
}

bool take_ask(relay_budget& budget, const relay_limits& limits,
              std::size_t bytes, instant now)
{
    refill(budget, limits, now);
    const auto size = static_cast<double>(bytes);
    if (budget.m_asks < 1 || budget.m_bytes < size)
        return false;
    budget.m_asks -= 1;
    budget.m_bytes -= size;
    return true;
}

void note_answer(relay_budget& budget, std::size_t bytes)
{
    budget.m_bytes -= static_cast<double>(bytes);
}

} // namespace pepperturn
