// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/systems.hpp"

#include <algorithm>

namespace pepperturn::detail {

namespace {

/// Role markers and separators that a chat template adds to a message.
constexpr std::uint32_t message_overhead = 16;

} // namespace

token_usage usage_bound(const call_request& request, const session_row& session)
{
    token_usage bound{session.m_history_tokens, 0, request.m_max_tokens};
    for (const auto& part : request.m_messages)
        bound.m_prompt_tokens +=
            token_bound(part.m_content.size()) + message_overhead;
    return bound;
}

reservation reserve_budget(core_state& state, partition_row& partition,
                           call_row& call)
{
    const auto& key = call.m_request.m_session;
    auto* root = find_root(partition, key.m_program);
    const auto* session = find_session(partition, key);
    if (root == nullptr || session == nullptr)
        return reservation::refused;
    call.m_cost_bound = 0;
    if (call.m_request.m_kind == call_kind::chat)
    {
        const auto bound = usage_bound(call.m_request, *session);
        call.m_prompt_tokens = bound.m_prompt_tokens;
        call.m_cost_bound = bound.m_prompt_tokens + bound.m_output_tokens;
    }
    const std::uint64_t required =
        root->m_spent + root->m_outstanding + call.m_cost_bound;
    if (required > root->m_budget)
    {
        call.m_cost_bound = 0;
        return reservation::refused;
    }
    root->m_outstanding += call.m_cost_bound;
    if (root->m_recorded && required <= root->m_committed_reserved)
        return reservation::ready;
    const std::uint64_t ahead =
        call.m_cost_bound * (state.m_deployment.m_limits.m_block_calls - 1);
    root->m_reserved =
        std::max(root->m_reserved, std::min(root->m_budget, required + ahead));
    return reservation::needs_commit;
}

void settle_budget(core_state&, partition_row& partition, call_row& call,
                   std::uint64_t cost)
{
    auto* root = find_root(partition, call.m_request.m_session.m_program);
    if (root != nullptr)
    {
        root->m_outstanding -= std::min(root->m_outstanding, call.m_cost_bound);
        root->m_spent += cost;
    }
    call.m_cost_bound = 0;
}

} // namespace pepperturn::detail
