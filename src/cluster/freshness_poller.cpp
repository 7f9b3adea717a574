// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/freshness_poller.hpp"

namespace pepperturn {

namespace {

/// Between questions while the answers are fresh: with the 600 ms between two
/// looks at the store, ages are a second at most, so that an outage of
/// the store is served through for three and a half of five seconds.
constexpr milliseconds ask_interval{400};
/// Between questions while it is not.
constexpr milliseconds retry_interval{60};
/// Several times what an answer takes; then the next source is asked.
constexpr milliseconds ask_patience{150};
/// A source that is older than this has lost the store.
constexpr milliseconds fresh_limit{1500};

} // namespace

freshness_poller::freshness_poller(asio::io_context& io, const clock& time,
                                   member_links& links, hooks what)
    : m_io(io), m_time(time), m_links(links), m_hooks(std::move(what))
{}

void freshness_poller::set_enabled(bool wanted)
{
    m_enabled = wanted;
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
        co_await sleep_for(m_io, fresh ? ask_interval : retry_interval);
    }
    m_polling = false;
}

task<bool> freshness_poller::poll_once()
{
    const auto sources = m_hooks.m_sources();
    if (sources.empty())
        co_return false;
    const auto& source = sources[m_next_source % sources.size()];
    const auto asked = m_time.now();
    const auto answer = co_await m_links.request(
        source, 0, want_freshness_message{}, asked + ask_patience);
    const auto* told =
        answer ? std::get_if<freshness_message>(&answer->m_body) : nullptr;
    if (told != nullptr)
    {
        record(derive_freshness(*told, asked, m_hooks.m_known_revision(),
                                m_hooks.m_receives_views));
        if (told->m_config_revision > m_hooks.m_known_revision())
            m_hooks.m_on_newer_config(source, told->m_config_revision);
    }
    const bool fresh =
        age_of(m_freshness.m_config_confirmed_at, m_time.now()) <= fresh_limit;
    if (!fresh)
        ++m_next_source;
    co_return fresh;
}

} // namespace pepperturn
