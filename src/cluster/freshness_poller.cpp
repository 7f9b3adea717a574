// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/freshness_poller.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Interval between requests while replies are fresh. The store is read every
/// 800 ms by one storage VM, which the other storage VMs poll, and an edge VM
/// polls any of these: ages stay below the 1.4 seconds at which an edge VM asks
/// the store itself if changes have to be in force within two.
constexpr milliseconds poll_interval{250};
/// Interval while the data is not fresh; it doubles up to the usual one.
constexpr milliseconds retry_interval{60};
/// Several times the usual reply time; then the next source is polled.
constexpr milliseconds poll_timeout{150};

} // namespace

freshness_poller::freshness_poller(asio::io_context& io, const clock& time,
                                   member_links& links, hooks what)
    : m_io(io), m_time(time), m_links(links), m_hooks(std::move(what))
{}

void freshness_poller::set_enabled(bool enabled)
{
    m_enabled = enabled;
    if (m_enabled && !std::exchange(m_polling, true))
        spawn(m_io, "freshness_keeper.ask", poll());
}

void freshness_poller::record_config(instant at, const std::string& by)
{
    if (at <= m_freshness.m_config_confirmed_at)
        return;
    m_freshness.m_config_confirmed_at = at;
    m_confirmed_by = by;
}

void freshness_poller::note_config(std::uint64_t revision)
{
    if (!m_early || m_early->m_revision > revision)
        return;
    record_config(m_early->m_at, m_early->m_by);
    m_early.reset();
}

task<> freshness_poller::poll()
{
    auto retry = retry_interval;
    while (m_enabled)
    {
        const bool fresh = co_await poll_once();
        co_await sleep_for(m_io, fresh ? poll_interval : retry);
        retry = fresh ? retry_interval : std::min(2 * retry, poll_interval);
    }
    m_polling = false;
}

void freshness_poller::handle_reply(const std::string& source,
                                    const freshness_message& reported,
                                    instant sent_at)
{
    const auto known = m_hooks.m_known_revision();
    const auto bound =
        derive_freshness(reported, sent_at, known, m_hooks.m_receives_views);
    m_freshness.m_views_confirmed_at =
        std::max(m_freshness.m_views_confirmed_at, bound.m_views_confirmed_at);
    record_config(bound.m_config_confirmed_at, source);
    if (reported.m_config_revision <= known)
        return;
    // With changes in quick succession, most replies come before their
    // configuration does.
    const auto early =
        derive_freshness(reported, sent_at, reported.m_config_revision, false);
    m_early = {reported.m_config_revision, early.m_config_confirmed_at, source};
    m_hooks.m_on_newer_config(source, reported.m_config_revision);
}

task<bool> freshness_poller::poll_once()
{
    const auto sources = m_hooks.m_sources();
    if (sources.empty())
        co_return false;
    const auto& source = sources[m_next_source % sources.size()];
    const auto sent_at = m_time.now();
    const auto reply = co_await m_links.request(
        source, 0, freshness_request_message{}, sent_at + poll_timeout);
    const auto* message =
        reply ? std::get_if<freshness_message>(&reply->m_body) : nullptr;
    if (message != nullptr)
        handle_reply(source, *message, sent_at);
    const bool fresh = age_of(m_freshness.m_config_confirmed_at,
                              m_time.now()) <= m_hooks.m_max_source_age;
    if (!fresh)
        ++m_next_source;
    co_return fresh;
}

} // namespace pepperturn
