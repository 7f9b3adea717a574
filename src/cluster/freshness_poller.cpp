// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/freshness_poller.hpp"

namespace pepperturn {

namespace {

/// Interval between requests while replies are fresh: with 600 ms between two
/// reads of the store, ages are at most a second, so that requests are served
/// through an outage of the store for three and a half of five seconds.
constexpr milliseconds poll_interval{400};
/// Interval while the data is not fresh.
constexpr milliseconds retry_interval{60};
/// Several times the usual reply time; then the next source is polled.
constexpr milliseconds poll_timeout{150};
/// A source whose data is older than this has lost the store.
constexpr milliseconds fresh_limit{1500};

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

void freshness_poller::record(const freshness_bound& own)
{
    m_freshness = newest(m_freshness, own);
}

task<> freshness_poller::poll()
{
    while (m_enabled)
    {
        const bool fresh = co_await poll_once();
        co_await sleep_for(m_io, fresh ? poll_interval : retry_interval);
    }
    m_polling = false;
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
    {
        record(derive_freshness(*message, sent_at, m_hooks.m_known_revision(),
                                m_hooks.m_receives_views));
        if (message->m_config_revision > m_hooks.m_known_revision())
            m_hooks.m_on_newer_config(source, message->m_config_revision);
    }
    const bool fresh =
        age_of(m_freshness.m_config_confirmed_at, m_time.now()) <= fresh_limit;
    if (!fresh)
        ++m_next_source;
    co_return fresh;
}

} // namespace pepperturn
