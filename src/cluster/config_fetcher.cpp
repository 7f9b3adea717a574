// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/config_fetcher.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A member of the own zone announces the same within this time, unless it is
/// behind or away: members read the store at most 150 ms apart.
constexpr milliseconds near_patience{160};
/// Without any configuration nothing is served: members of the own zone that
/// run are connected to within some round trips, others are not waited for.
constexpr milliseconds start_patience{25};
/// Half a megabyte on the slowest links takes a third of this; then the next
/// one is asked, and so on until somebody has answered.
constexpr milliseconds first_patience{400};
constexpr milliseconds longest_patience{2000};

} // namespace

config_fetcher::config_fetcher(asio::io_context& io, const clock& time,
                               member_links& links,
                               std::string availability_zone,
                               std::function<void(const cluster_state&)> take)
    : m_io(io), m_time(time), m_links(links),
      m_availability_zone(std::move(availability_zone)),
      m_on_config(std::move(take)), m_changed(io)
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
        m_time.now() + (m_known == 0 ? start_patience : near_patience);
    auto patience = first_patience;
    std::size_t asked = 0;
    while (!m_announced.empty())
    {
        const auto candidates = sources(m_time.now() < far_at);
        if (candidates.empty())
            co_await m_changed.wait_until(far_at);
        else
        {
            send_request(candidates[asked++ % candidates.size()]);
            co_await wait_for_reply(m_time.now() + patience);
            if (!m_request_failed)
                patience = std::min(2 * patience, longest_patience);
        }
        forget_disconnected();
    }
    m_fetching = false;
}

task<> config_fetcher::wait_for_reply(instant until)
{
    // Others that announce it meanwhile are not asked: a configuration may
    // fill the link for a tenth of a second, and each further copy delays all.
    const auto known = m_known;
    while (m_known == known && !m_request_failed && m_time.now() < until)
        co_await m_changed.wait_until(until);
}

void config_fetcher::send_request(const std::string& member)
{
    LOG(INFO) << "event=config_asked vm=" << member
              << " revision=" << m_announced[member] << " known=" << m_known;
    m_request_failed = false;
    // Answered whatever the asker's epoch is.
    m_links.call(member, 0, want_config_message{},
                 [this](const std::optional<frame>& answer) {
                     const auto* told =
                         answer ? std::get_if<cluster_state>(&answer->m_body)
                                : nullptr;
                     if (told != nullptr)
                         m_on_config(*told);
                     m_request_failed = told == nullptr;
                     m_changed.notify();
                 });
}

} // namespace pepperturn
