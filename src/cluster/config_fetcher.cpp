// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/config_fetcher.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// How long to wait for a member of the own zone: such members announce the
/// same revision within this time, unless they lag or are down, as members read
/// the store at most 150 ms apart.
constexpr milliseconds near_timeout{160};
/// The same while no configuration is known, since nothing can be served
/// without one: running members of the own zone are connected within a few
/// round trips; others are not waited for.
constexpr milliseconds initial_near_timeout{25};
/// Reply timeout: half a megabyte on the slowest links takes a third of the
/// first value. On time-out the next candidate is asked, and so on until one
/// replies.
constexpr milliseconds first_reply_timeout{400};
constexpr milliseconds max_reply_timeout{2000};

} // namespace

config_fetcher::config_fetcher(
    asio::io_context& io, const clock& time, member_links& links,
    std::string availability_zone,
    std::function<void(const cluster_state&)> on_config)
    : m_io(io), m_time(time), m_links(links),
      m_availability_zone(std::move(availability_zone)),
      m_on_config(std::move(on_config)), m_changed(io)
{}

void config_fetcher::set_members(const std::vector<member>& members)
{
    m_zones.clear();
    for (const auto& row : members)
        m_zones[row.m_name] = row.m_availability_zone;
}

void config_fetcher::note_known(std::uint64_t revision)
{
    if (revision <= m_known)
        return;
    m_known = revision;
    std::erase_if(m_announced,
                  [&](const auto& row) { return row.second <= m_known; });
    m_changed.notify();
}

void config_fetcher::note_announced(const std::string& member,
                                    std::uint64_t revision)
{
    if (revision <= m_known)
        return;
    m_announced[member] = revision;
    m_changed.notify();
    if (!std::exchange(m_fetching, true))
        spawn(m_io, "config_fetcher.fetch", fetch());
}

bool config_fetcher::in_own_zone(const std::string& member) const
{
    const auto found = m_zones.find(member);
    return found != m_zones.end() && found->second == m_availability_zone;
}

std::vector<std::string> config_fetcher::sources(bool near_only) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [member, revision] : m_announced)
    {
        if (in_own_zone(member))
            near.push_back(member);
        else if (!near_only)
            far.push_back(member);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void config_fetcher::forget_disconnected()
{
    std::erase_if(m_announced, [&](const auto& row) {
        return !m_links.connected(row.first);
    });
}

task<> config_fetcher::fetch()
{
    const auto far_at =
        m_time.now() + (m_known == 0 ? initial_near_timeout : near_timeout);
    auto timeout = first_reply_timeout;
    std::size_t attempts = 0;
    while (!m_announced.empty())
    {
        const auto candidates = sources(m_time.now() < far_at);
        if (candidates.empty())
            co_await m_changed.wait_until(far_at);
        else
        {
            send_request(candidates[attempts++ % candidates.size()]);
            co_await wait_for_reply(m_time.now() + timeout);
            if (!m_request_failed)
                timeout = std::min(2 * timeout, max_reply_timeout);
        }
        forget_disconnected();
    }
    m_fetching = false;
}

task<> config_fetcher::wait_for_reply(instant deadline)
{
    // Other members that announce it meanwhile are not asked: a configuration
    // can occupy the link for a tenth of a second, and each further copy delays
    // all.
    const auto known = m_known;
    while (m_known == known && !m_request_failed && m_time.now() < deadline)
        co_await m_changed.wait_until(deadline);
}

void config_fetcher::send_request(const std::string& member)
{
    LOG(INFO) << "event=config_asked vm=" << member
              << " revision=" << m_announced[member] << " known=" << m_known;
    m_request_failed = false;
    // Answered whatever the requester's epoch is.
    m_links.call(member, 0, config_request_message{},
                 [this](const std::optional<frame>& reply) {
                     const auto* state =
                         reply ? std::get_if<cluster_state>(&reply->m_body)
                               : nullptr;
                     if (state != nullptr)
                         m_on_config(*state);
                     m_request_failed = state == nullptr;
                     m_changed.notify();
                 });
}

} // namespace pepperturn
