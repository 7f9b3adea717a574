// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/placement_client.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// The service replies from memory, within a round trip and while the turn is
/// being started; choosing an engine without it costs less than a longer wait.
constexpr milliseconds reply_timeout{50};
/// After this many unanswered requests in a row the next VM is used. A slow one
/// still knows more about the engines than one that has just taken over.
constexpr std::uint32_t max_unanswered = 3;
/// How long an unresponsive VM is excluded: one and a half heartbeats.
constexpr milliseconds unresponsive_backoff{700};
/// Added to the queue timeout for the round trip.
constexpr milliseconds queue_margin{20};
/// The later ones take over if those before them are unreachable.
constexpr std::size_t placement_vm_count = 3;

} // namespace

std::vector<std::string> placement_vms(const std::vector<std::string>& members,
                                       std::uint64_t service)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(members.size());
    for (const auto& name : members)
        ranked.emplace_back(hash64(name, service), name);
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), placement_vm_count));
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto& [rank, name] : ranked)
        out.push_back(std::move(name));
    return out;
}

bool has_large_shared_part(const std::vector<prompt_part>& parts,
                           std::uint32_t from_tokens)
{
    if (from_tokens == 0 || parts.empty())
        return false;
    return std::any_of(
        parts.begin(), parts.end() - 1,
        [&](const prompt_part& part) { return part.m_tokens >= from_tokens; });
}

placement_client::placement_client(asio::io_context& io, const clock& time,
                                   member_links& links,
                                   std::uint32_t from_tokens)
    : m_io(io), m_time(time), m_links(links), m_from_tokens(from_tokens)
{}

void placement_client::set_members(const std::vector<member>& members)
{
    m_members.clear();
    for (const auto& row : members)
    {
        if (takes_writes(row.m_state))
            m_members.push_back(row.m_name);
    }
    std::erase_if(m_unresponsive, [&](const auto& entry) {
        return std::find(m_members.begin(), m_members.end(), entry.first) ==
               m_members.end();
    });
}

std::string placement_client::select_vm(std::uint64_t service) const
{
    const auto now = m_time.now();
    for (auto& name : placement_vms(m_members, service))
    {
        const auto state = m_unresponsive.find(name);
        const bool included = state == m_unresponsive.end() ||
                              state->second.m_excluded_until <= now;
        if (included && m_links.connected(name))
            return name;
    }
    return {};
}

void placement_client::record_unanswered(const std::string& vm)
{
    auto& row = m_unresponsive[vm];
    if (++row.m_unanswered < max_unanswered)
        return;
    row.m_excluded_until = m_time.now() + unresponsive_backoff;
    LOG(WARNING) << "event=places_silent vm=" << vm
                 << " unanswered=" << row.m_unanswered;
}

task<std::optional<placement_reply>>
placement_client::send_request(std::string vm, placement_request request,
                               milliseconds timeout)
{
    const auto deadline = m_time.now() + timeout;
    auto reply = co_await m_links.request(vm, 0, std::move(request), deadline);
    if (!reply)
    {
        record_unanswered(vm);
        co_return std::nullopt;
    }
    m_unresponsive.erase(vm);
    const auto* body = std::get_if<placement_reply>(&reply->m_body);
    if (body == nullptr)
        co_return std::nullopt;
    co_return *body;
}

task<placement_result> placement_client::acquire(placement_request request)
{
    placement_result out;
    out.m_request = request;
    out.m_storage_vm = select_vm(request.m_service);
    if (out.m_storage_vm.empty())
        co_return out;
    auto reply =
        co_await send_request(out.m_storage_vm, request, reply_timeout);
    if (reply && reply->m_outcome == placement_outcome::waiting)
    {
        request.m_already_queued = true;
        const milliseconds timeout(request.m_queue_timeout_ms);
        reply = co_await send_request(out.m_storage_vm, request,
                                      timeout + queue_margin);
    }
    if (reply)
        out.m_reply = *reply;
    co_return out;
}

void placement_client::report_end(const placement_result& placement,
                                  placement_report report)
{
    if (placement.m_storage_vm.empty())
        return;
    report.m_service = placement.m_request.m_service;
    report.m_call = placement.m_request.m_call;
    m_links.notify(placement.m_storage_vm, report);
}

} // namespace pepperturn
