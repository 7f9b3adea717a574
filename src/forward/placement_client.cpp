// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/placement_client.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// The answer comes from memory, within a round trip and beside the turn's
/// begin; choosing without it costs less than a longer wait.
constexpr milliseconds answer_patience{50};
/// So many questions without an answer in a row, and the next VM is asked: one
/// that is merely late knows more than one that has just begun.
constexpr std::uint32_t most_unanswered = 3;
/// A VM that did not answer is left alone this long: a beat and a half.
constexpr milliseconds silent_for{700};
/// Beyond the wait in line: the way there and back.
constexpr milliseconds line_margin{20};
/// The next ones take over if those before them are out of reach.
constexpr std::size_t givers_wanted = 3;

} // namespace

std::vector<std::string> placement_vms(const std::vector<std::string>& members,
                                       std::uint64_t service)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(members.size());
    for (const auto& name : members)
        ranked.emplace_back(hash64(name, service), name);
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), givers_wanted));
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
        const auto silence = m_unresponsive.find(name);
        const bool answers = silence == m_unresponsive.end() ||
                             silence->second.m_excluded_until <= now;
        if (answers && m_links.connected(name))
            return name;
    }
    return {};
}

void placement_client::record_unanswered(const std::string& giver)
{
    auto& row = m_unresponsive[giver];
    if (++row.m_unanswered < most_unanswered)
        return;
    row.m_excluded_until = m_time.now() + silent_for;
    LOG(WARNING) << "event=places_silent vm=" << giver
                 << " unanswered=" << row.m_unanswered;
}

task<std::optional<placement_reply>>
placement_client::send_request(std::string giver, placement_request question,
                               milliseconds patience)
{
    const auto until = m_time.now() + patience;
    auto answer =
        co_await m_links.request(giver, 0, std::move(question), until);
    if (!answer)
    {
        record_unanswered(giver);
        co_return std::nullopt;
    }
    m_unresponsive.erase(giver);
    const auto* told = std::get_if<placement_reply>(&answer->m_body);
    if (told == nullptr)
        co_return std::nullopt;
    co_return *told;
}

task<placement_result> placement_client::acquire(placement_request question)
{
    placement_result out;
    out.m_request = question;
    out.m_storage_vm = select_vm(question.m_service);
    if (out.m_storage_vm.empty())
        co_return out;
    auto told =
        co_await send_request(out.m_storage_vm, question, answer_patience);
    if (told && told->m_outcome == placement_outcome::waiting)
    {
        question.m_already_queued = true;
        const milliseconds patience(question.m_queue_timeout_ms);
        told = co_await send_request(out.m_storage_vm, question,
                                     patience + line_margin);
    }
    if (told)
        out.m_reply = *told;
    co_return out;
}

void placement_client::report_end(const placement_result& grant,
                                  placement_report report)
{
    if (grant.m_storage_vm.empty())
        return;
    report.m_service = grant.m_request.m_service;
    report.m_call = grant.m_request.m_call;
    m_links.notify(grant.m_storage_vm, report);
}

} // namespace pepperturn
