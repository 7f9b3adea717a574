// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/quota_client.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// An owner replies from memory within 1 or 2 ms; after this timeout the next
/// owner is asked.
constexpr milliseconds request_timeout{50};
/// How long the refusal of a first call is reused: otherwise all VMs send an
/// owner most of the first calls of a burst.
constexpr milliseconds refusal_lifetime{100};
/// Minimum retry delay after a refusal without a request to the owner.
constexpr milliseconds min_retry_delay{300};
/// Bound on the remembered refusals: enough for all workspaces of a large fleet
/// at all their owners.
constexpr std::size_t max_refusals = 16384;

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
    if (m_refused_until.size() >= max_refusals)
        m_refused_until.clear();
    m_refused_until[std::move(key)] = until;
}

std::vector<std::string>
quota_client::ranked_owners(const quota_request& request)
{
    auto owners =
        owners_of(m_members, request.m_workspace, owner_count_for(request));
    // A program uses one owner, which therefore knows its progress; others are
    // asked if that one has no free slot.
    const auto offset =
        request.m_program == 0 ? ++m_rotation : request.m_program;
    if (!owners.empty())
        std::rotate(owners.begin(),
                    owners.begin() +
                        static_cast<std::ptrdiff_t>(offset % owners.size()),
                    owners.end());
    return owners;
}

task<std::optional<instant>>
quota_client::request_from_owner(std::string owner, quota_request request,
                                 std::shared_ptr<quota_grant> out)
{
    if (!m_links.connected(owner))
        co_return std::nullopt;
    ++out->m_owners_asked;
    const auto reply = co_await m_links.request(owner, 0, request,
                                                m_time.now() + request_timeout);
    const auto* body =
        reply ? std::get_if<quota_reply>(&reply->m_body) : nullptr;
    if (body == nullptr || body->m_outcome == quota_outcome::not_owner)
        co_return std::nullopt;
    out->m_outcome = body->m_outcome;
    if (body->m_outcome == quota_outcome::over_limit)
        co_return m_time.now() + milliseconds(body->m_retry_after_ms);
    out->m_owner = owner;
    out->m_slot = body->m_packed_grant;
    out->m_wait = wait_of_grant(body->m_packed_grant);
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
    const bool valid =
        link != 0 && m_links.live_connection(grant->m_owner) == link;
    if (!valid)
        LOG(INFO) << "event=place_void owner=" << grant->m_owner
                  << " waited_ms=" << grant->m_wait.count();
    co_return valid;
}

task<quota_grant> quota_client::acquire(quota_request request)
{
    const auto out = std::make_shared<quota_grant>();
    out->m_request = request;
    auto immediate = request;
    immediate.m_queue_timeout_ms = 0;
    std::optional<instant> free_at;
    std::string earliest_owner;
    for (const auto& owner : ranked_owners(request))
    {
        const refusal_key key{request.m_workspace, owner};
        auto retry_at = request.m_begins_program ? refused_until(key)
                                                 : std::optional<instant>{};
        if (retry_at)
        {
            out->m_outcome = quota_outcome::over_limit;
            retry_at = m_time.now() + min_retry_delay;
        }
        else
            retry_at = co_await request_from_owner(owner, immediate, out);
        if (out->m_outcome == quota_outcome::granted)
            co_return *out;
        if (!retry_at)
            continue;
        if (request.m_begins_program && !refused_until(key))
            record_refusal(key, m_time.now() + refusal_lifetime);
        if (free_at && *free_at <= *retry_at)
            continue;
        free_at = retry_at;
        earliest_owner = owner;
    }
    if (!free_at)
        co_return *out;
    if (request.m_queue_timeout_ms > 0)
    {
        const auto later =
            co_await request_from_owner(earliest_owner, request, out);
        free_at = later ? later : free_at;
    }
    if (out->m_outcome != quota_outcome::granted)
    {
        out->m_retry_after = elapsed(m_time.now(), *free_at);
        co_return *out;
    }
    if (!co_await wait_for_slot(out))
    {
        // A restarted owner has lost the slot and counts anew from its start.
        out->m_outcome = quota_outcome::over_limit;
        out->m_retry_after = min_retry_delay;
    }
    co_return *out;
}

void quota_client::release(const quota_grant& grant)
{
    if (grant.m_outcome != quota_outcome::granted)
        return;
    auto request = grant.m_request;
    request.m_is_return = true;
    request.m_packed_grant = grant.m_slot;
    m_links.call(grant.m_owner, 0, request, [](const std::optional<frame>&) {});
}

} // namespace pepperturn
