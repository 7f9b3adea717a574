// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/config_fetcher.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A member of the own zone announces the same within this time, unless it is
/// behind or away: members read the store at most 150 ms apart.
constexpr milliseconds near_patience{160};
/// Half a megabyte on the slowest links takes a tenth of this.
constexpr milliseconds ask_patience{400};

} // namespace

config_fetcher::config_fetcher(asio::io_context& io, const clock& time,
                               member_links& links,
                               std::string availability_zone,
                               std::function<void(const cluster_state&)> take)
    : m_io(io), m_time(time), m_links(links),
      m_availability_zone(std::move(availability_zone)), m_take(std::move(take))
{}

void config_fetcher::follow(const cluster_view& view)
{
    m_view = view;
}

void config_fetcher::note_known(std::uint64_t revision)
{
    m_known = std::max(m_known, revision);
    std::erase_if(m_announced,
                  [&](const auto& row) { return row.second <= m_known; });
}

void config_fetcher::note_announced(const std::string& member,
                                    std::uint64_t revision)
{
    if (revision <= m_known)
        return;
    m_announced[member] = revision;
    if (!std::exchange(m_fetching, true))
        spawn(m_io, "config_fetcher.fetch", fetch());
}

bool config_fetcher::is_near(const std::string& member) const
{
    const auto* row = find_member(m_view, member);
    return row != nullptr && row->m_availability_zone == m_availability_zone;
}

std::vector<std::string> config_fetcher::sources(bool near_only) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [member, revision] : m_announced)
    {
        if (is_near(member))
            near.push_back(member);
        else if (!near_only)
            far.push_back(member);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

task<> config_fetcher::fetch()
{
    const auto far_at = m_time.now() + near_patience;
    while (!m_announced.empty())
    {
        const bool near_only = m_time.now() < far_at;
        const auto candidates = sources(near_only);
        if (candidates.empty())
        {
            constexpr milliseconds pause{20};
            co_await sleep_for(m_io, pause);
            continue;
        }
        co_await ask(candidates.front());
    }
    m_fetching = false;
}

task<> config_fetcher::ask(std::string member)
{
    const auto before = m_known;
    const frame_body question = want_config_message{};
    const auto answer =
        co_await m_links.ask(member, question, m_time.now() + ask_patience);
    const auto* told =
        answer ? std::get_if<cluster_state>(&answer->m_body) : nullptr;
    if (told != nullptr)
        m_take(*told);
    LOG(INFO) << "event=config_asked vm=" << member
              << " revision=" << (told != nullptr ? told->m_config_revision : 0)
              << " known=" << before;
    // Whoever did not help is not asked again before it announces more.
    m_announced.erase(member);
}

} // namespace pepperturn
