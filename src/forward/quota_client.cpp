// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/quota_client.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// An owner answers from memory within a millisecond or two; a slow one is
/// left for the next.
constexpr milliseconds ask_patience{50};
/// An owner that has just refused a first call is not asked again for this
/// long: it is told most of what a burst begins, by all VMs.
constexpr milliseconds refusal_memory{100};
/// Whoever is refused from memory comes back no sooner than this.
constexpr milliseconds soonest_begin{300};
/// More refusals than this are not remembered: all workspaces of a large
/// fleet at all their owners.
constexpr std::size_t most_refusals_known = 16384;

} // namespace

quota_client::quota_client(asio::io_context& io, const clock& time,
                           member_links& links)
    : m_io(io), m_time(time), m_links(links)
{}

void quota_client::set_members(const std::vector<member>& members)
{
    m_members.clear();
    for (const auto& row : members)
    {
        if (takes_writes(row.m_state))
            m_members.push_back(row.m_name);
    }
}

std::optional<instant> quota_client::refused_until(const refusal_key& key) const
{
    const auto found = m_refused_until.find(key);
    if (found == m_refused_until.end() || found->second <= m_time.now())
        return std::nullopt;
    return found->second;
}

void quota_client::record_refusal(refusal_key key, instant until)
{
    if (m_refused_until.size() >= most_refusals_known)
        m_refused_until.clear();
    m_refused_until[std::move(key)] = until;
}

std::vector<std::string>
quota_client::ranked_owners(const quota_request& question)
{
    auto owners =
        owners_of(m_members, question.m_workspace, owner_count_for(question));
    // A program keeps to one owner, which so knows how far it is; others are
    // asked where that one has no room.
    const auto draw =
        question.m_program == 0 ? ++m_rotation : question.m_program;
    if (!owners.empty())
        std::rotate(owners.begin(),
                    owners.begin() +
                        static_cast<std::ptrdiff_t>(draw % owners.size()),
                    owners.end());
    return owners;
}

task<std::optional<instant>>
quota_client::request_from_owner(std::string owner, quota_request question,
                                 std::shared_ptr<quota_grant> out)
{
    if (!m_links.connected(owner))
        co_return std::nullopt;
    ++out->m_owners_asked;
    const auto answer = co_await m_links.request(owner, 0, question,
                                                 m_time.now() + ask_patience);
    const auto* told =
        answer ? std::get_if<quota_reply>(&answer->m_body) : nullptr;
    if (told == nullptr || told->m_outcome == quota_outcome::not_owner)
        co_return std::nullopt;
    out->m_outcome = told->m_outcome;
    if (told->m_outcome == quota_outcome::over_limit)
        co_return m_time.now() + milliseconds(told->m_retry_after_ms);
    out->m_owner = owner;
    out->m_slot = told->m_packed_grant;
    out->m_wait = wait_of_grant(told->m_packed_grant);
    co_return std::nullopt;
}

task<bool> quota_client::wait_for_slot(std::shared_ptr<quota_grant> grant)
{
    if (grant->m_wait == milliseconds(0))
        co_return true;
    const auto link = m_links.live_connection(grant->m_owner);
    async_event never(m_io);
    const auto begins = m_time.now() + grant->m_wait;
    while (m_time.now() < begins)
        co_await never.wait_until(begins);
    const bool stands =
        link != 0 && m_links.live_connection(grant->m_owner) == link;
    if (!stands)
        LOG(INFO) << "event=place_void owner=" << grant->m_owner
                  << " waited_ms=" << grant->m_wait.count();
    co_return stands;
}

task<quota_grant> quota_client::acquire(quota_request question)
{
    const auto out = std::make_shared<quota_grant>();
    out->m_request = question;
    auto at_once = question;
    at_once.m_queue_timeout_ms = 0;
    std::optional<instant> room_at;
    std::string first_to_have;
    for (const auto& owner : ranked_owners(question))
    {
        const refusal_key key{question.m_workspace, owner};
        auto until = question.m_begins_program ? refused_until(key)
                                               : std::optional<instant>{};
        if (until)
        {
            out->m_outcome = quota_outcome::over_limit;
            until = m_time.now() + soonest_begin;
        }
        else
            until = co_await request_from_owner(owner, at_once, out);
        if (out->m_outcome == quota_outcome::granted)
            co_return *out;
        if (!until)
            continue;
        if (question.m_begins_program && !refused_until(key))
            record_refusal(key, m_time.now() + refusal_memory);
        if (room_at && *room_at <= *until)
            continue;
        room_at = until;
        first_to_have = owner;
    }
    if (!room_at)
        co_return *out;
    if (question.m_queue_timeout_ms > 0)
    {
        const auto again =
            co_await request_from_owner(first_to_have, question, out);
        room_at = again ? again : room_at;
    }
    if (out->m_outcome != quota_outcome::granted)
    {
        out->m_retry_after = elapsed(m_time.now(), *room_at);
        co_return *out;
    }
    if (!co_await wait_for_slot(out))
    {
        // One that has started anew counts what comes now from its start on.
        out->m_outcome = quota_outcome::over_limit;
        out->m_retry_after = soonest_begin;
    }
    co_return *out;
}

void quota_client::release(const quota_grant& grant)
{
    if (grant.m_outcome != quota_outcome::granted)
        return;
    auto question = grant.m_request;
    question.m_is_return = true;
    question.m_packed_grant = grant.m_slot;
    m_links.call(grant.m_owner, 0, question,
                 [](const std::optional<frame>&) {});
}

} // namespace pepperturn
