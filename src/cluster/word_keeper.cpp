// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/word_keeper.hpp"

namespace pepperturn {

namespace {

/// Between questions while the word is fresh: with the 600 ms between two
/// looks at the store, words are a second old at most, so that an outage of
/// the store is served through for three and a half of five seconds.
constexpr milliseconds ask_interval{400};
/// Between questions while it is not.
constexpr milliseconds retry_interval{60};
/// Several times what an answer takes; then the next source is asked.
constexpr milliseconds ask_patience{150};
/// A source whose word is older than this has lost the store.
constexpr milliseconds fresh_word{1500};

} // namespace

word_keeper::word_keeper(asio::io_context& io, const clock& time,
                         member_links& links, hooks what)
    : m_io(io), m_time(time), m_links(links), m_hooks(std::move(what))
{}

void word_keeper::want(bool wanted)
{
    m_wanted = wanted;
    if (m_wanted && !std::exchange(m_asking, true))
        spawn(m_io, "word_keeper.ask", keep_asking());
}

void word_keeper::note(const store_word& own)
{
    m_word = newest(m_word, own);
}

task<> word_keeper::keep_asking()
{
    while (m_wanted)
    {
        const bool fresh = co_await ask_once();
        co_await sleep_for(m_io, fresh ? ask_interval : retry_interval);
    }
    m_asking = false;
}

task<bool> word_keeper::ask_once()
{
    const auto sources = m_hooks.m_sources();
    if (sources.empty())
        co_return false;
    const auto& source = sources[m_next_source % sources.size()];
    const auto asked = m_time.now();
    const auto answer = co_await m_links.ask(source, 0, want_word_message{},
                                             asked + ask_patience);
    const auto* told =
        answer ? std::get_if<word_message>(&answer->m_body) : nullptr;
    if (told != nullptr)
    {
        ++m_answers;
        note(take_word(*told, asked, m_hooks.m_known_revision(),
                       m_hooks.m_hears_views));
        if (told->m_config_revision > m_hooks.m_known_revision())
            m_hooks.m_on_newer(source, told->m_config_revision);
    }
    const bool fresh = age_of(m_word.m_config_at, m_time.now()) <= fresh_word;
    if (!fresh)
        ++m_next_source;
    co_return fresh;
}

} // namespace pepperturn
