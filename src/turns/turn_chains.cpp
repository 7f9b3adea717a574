// SPDX-License-Identifier: BSL-1.0
// How an edge VM gets the turns that a request goes on from: of the program's
// own replica set, and of others where a program goes on from another one's.
#include "turn_round.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// How long one member may take over a part of a chain before the next is
/// asked.
constexpr milliseconds fetch_patience{150};
/// How long all other replica sets may take over the search for a turn:
/// a hundred times what they usually take.
constexpr milliseconds search_patience{400};

} // namespace

task<turn_client::search_result>
turn_client::search_elsewhere(std::string turn, std::uint32_t besides,
                              std::uint32_t retention_ms, instant until)
{
    struct search
    {
        explicit search(asio::io_context& io) : m_changed(io) {}
        async_event m_changed;
        std::size_t m_open = 0;
        bool m_unsure = false;
        std::vector<turn_record> m_chain;
    };
    const auto state = std::make_shared<search>(m_io);
    const fetch_message question{turn, retention_ms};
    const auto take = [state](const std::optional<frame>& answer) {
        --state->m_open;
        const auto* fetched =
            answer && answer->m_status == frame_status::ok
                ? std::get_if<fetched_message>(&answer->m_body)
                : nullptr;
        state->m_unsure = state->m_unsure || fetched == nullptr;
        if (fetched != nullptr && state->m_chain.empty())
            state->m_chain = fetched->m_history;
        state->m_changed.notify();
    };
    for (const auto& set : m_sets)
    {
        if (set.m_view.m_set == besides)
            continue;
        for (const auto& row : set.m_view.m_members)
        {
            if (row.m_state == member_state::joining ||
                row.m_state == member_state::lost)
                continue;
            ++state->m_open;
            m_links.call(row.m_name, set.m_view.m_epoch, question, take);
        }
    }
    const auto give_up = std::min(until, m_time.now() + search_patience);
    while (state->m_open > 0 && state->m_chain.empty() &&
           m_time.now() < give_up)
        co_await state->m_changed.wait_until(give_up);
    search_result out;
    out.m_not_found = state->m_chain.empty() && state->m_open == 0 &&
                      !state->m_unsure && !m_sets.empty() &&
                      m_sets.size() == m_sets.front().m_view.m_set_count;
    out.m_history = std::move(state->m_chain);
    co_return out;
}

task<std::vector<turn_record>>
turn_client::fetch_in_set(id_key program, std::string turn,
                          std::uint32_t retention_ms, instant until)
{
    const auto* set = set_for(program);
    const auto view = set == nullptr ? cluster_view{} : set->m_view;
    // A local: GCC 12 destroys aggregate temporaries of an awaiting
    // expression twice.
    const frame_body question = fetch_message{std::move(turn), retention_ms};
    for (const auto& row : view.m_members)
    {
        if (row.m_state == member_state::joining ||
            !m_links.connected(row.m_name))
            continue;
        const auto answer = co_await m_links.request(
            row.m_name, view.m_epoch, question,
            std::min(until, m_time.now() + fetch_patience));
        const auto* fetched =
            answer ? std::get_if<fetched_message>(&answer->m_body) : nullptr;
        if (fetched != nullptr && !fetched->m_history.empty())
            co_return fetched->m_history;
    }
    co_return std::vector<turn_record>{};
}

task<bool> turn_client::complete_history(id_key program, std::string parent,
                                         std::uint32_t retention_ms,
                                         std::vector<turn_record>& chain,
                                         instant until)
{
    // Newest first until the end, so that what is missing is appended.
    while (true)
    {
        const std::string missing =
            chain.empty() ? parent : chain.back().m_parent;
        if (missing.empty())
            break;
        auto more =
            co_await fetch_in_set(program, missing, retention_ms, until);
        if (more.empty() && m_time.now() < until)
        {
            // The line began in a program that another set keeps.
            const auto* home = set_for(program);
            const auto besides = home == nullptr ? 0 : home->m_view.m_set;
            auto found = co_await search_elsewhere(missing, besides,
                                                   retention_ms, until);
            more = std::move(found.m_history);
        }
        if (more.empty() || m_time.now() >= until)
            co_return false;
        chain.insert(chain.end(), more.begin(), more.end());
    }
    std::reverse(chain.begin(), chain.end());
    co_return true;
}

task<turn_client::search_result>
turn_client::find_history(std::shared_ptr<round> work, begin_request request,
                          instant until)
{
    search_result out;
    if (work->parent_found())
    {
        const auto* near = work->begun(work->m_history_member);
        if (near != nullptr)
            out.m_history = near->m_history;
    }
    else
    {
        if (!all_lack_parent(*work))
            co_return out;
        const auto* home = set_for(request.m_program);
        const auto besides = home == nullptr ? 0 : home->m_view.m_set;
        out = co_await search_elsewhere(request.m_parent, besides,
                                        request.m_retention_ms, until);
        if (out.m_history.empty())
            co_return out;
    }
    const bool whole =
        co_await complete_history(request.m_program, request.m_parent,
                                  request.m_retention_ms, out.m_history, until);
    if (!whole)
        out.m_history.clear();
    co_return out;
}

} // namespace pepperturn
