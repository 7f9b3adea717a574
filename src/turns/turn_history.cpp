// SPDX-License-Identifier: BSL-1.0
// How an edge VM fetches the turns that a request continues from: from the
// replica set of its program, and from other sets where the program continues
// from a turn of another program.
#include "turn_round.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// How long one member may take to send a part of a history before the next
/// member is tried.
constexpr milliseconds fetch_timeout{150};
/// How long the search for a turn in all other replica sets may take: a
/// hundred times what it usually takes.
constexpr milliseconds search_timeout{400};

} // namespace

task<turn_client::search_result>
turn_client::search_elsewhere(std::string turn, std::uint32_t excluded_set,
                              std::uint32_t retention_ms, instant deadline)
{
    struct search
    {
        explicit search(asio::io_context& io) : m_changed(io) {}
        async_event m_changed;
        std::size_t m_pending = 0;
        bool m_reply_missing = false;
        std::vector<turn_record> m_history;
    };
    const auto state = std::make_shared<search>(m_io);
    const fetch_message message{turn, retention_ms};
    const auto take = [state](const std::optional<frame>& reply) {
        --state->m_pending;
        const auto* fetched = reply && reply->m_status == frame_status::ok
                                  ? std::get_if<fetched_message>(&reply->m_body)
                                  : nullptr;
        state->m_reply_missing = state->m_reply_missing || fetched == nullptr;
        if (fetched != nullptr && state->m_history.empty())
            state->m_history = fetched->m_history;
        state->m_changed.notify();
    };
    for (const auto& set : m_sets)
    {
        if (set.m_view.m_set == excluded_set)
            continue;
        for (const auto& row : set.m_view.m_members)
        {
            if (row.m_state == member_state::joining ||
                row.m_state == member_state::lost)
                continue;
            ++state->m_pending;
            m_links.call(row.m_name, set.m_view.m_epoch, message, take);
        }
    }
    const auto search_deadline =
        std::min(deadline, m_time.now() + search_timeout);
    while (state->m_pending > 0 && state->m_history.empty() &&
           m_time.now() < search_deadline)
        co_await state->m_changed.wait_until(search_deadline);
    search_result out;
    out.m_not_found = state->m_history.empty() && state->m_pending == 0 &&
                      !state->m_reply_missing && !m_sets.empty() &&
                      m_sets.size() == m_sets.front().m_view.m_set_count;
    out.m_history = std::move(state->m_history);
    co_return out;
}

task<std::vector<turn_record>>
turn_client::fetch_in_set(id_key program, std::string turn,
                          std::uint32_t retention_ms, instant deadline)
{
    const auto* set = set_for(program);
    const auto view = set == nullptr ? cluster_view{} : set->m_view;
    // A local: GCC 12 destroys aggregate temporaries of an awaiting
    // expression twice.
    const frame_body message = fetch_message{std::move(turn), retention_ms};
    for (const auto& row : view.m_members)
    {
        if (row.m_state == member_state::joining ||
            !m_links.connected(row.m_name))
            continue;
        const auto reply = co_await m_links.request(
            row.m_name, view.m_epoch, message,
            std::min(deadline, m_time.now() + fetch_timeout));
        const auto* fetched =
            reply ? std::get_if<fetched_message>(&reply->m_body) : nullptr;
        if (fetched != nullptr && !fetched->m_history.empty())
            co_return fetched->m_history;
    }
    co_return std::vector<turn_record>{};
}

task<bool> turn_client::complete_history(id_key program, std::string parent,
                                         std::uint32_t retention_ms,
                                         std::vector<turn_record>& history,
                                         instant deadline)
{
    // Newest first until the end, so that missing turns can be appended.
    while (true)
    {
        const std::string missing =
            history.empty() ? parent : history.back().m_parent;
        if (missing.empty())
            break;
        auto more =
            co_await fetch_in_set(program, missing, retention_ms, deadline);
        if (more.empty() && m_time.now() < deadline)
        {
            // The history began in a program that another set stores.
            const auto* program_set = set_for(program);
            const auto excluded_set =
                program_set == nullptr ? 0 : program_set->m_view.m_set;
            auto found = co_await search_elsewhere(missing, excluded_set,
                                                   retention_ms, deadline);
            more = std::move(found.m_history);
        }
        if (more.empty() || m_time.now() >= deadline)
            co_return false;
        history.insert(history.end(), more.begin(), more.end());
    }
    std::reverse(history.begin(), history.end());
    co_return true;
}

task<turn_client::search_result>
turn_client::find_history(std::shared_ptr<round> work, begin_request request,
                          instant deadline)
{
    search_result out;
    if (work->parent_found())
    {
        const auto* nearest = work->begun(work->m_history_member);
        if (nearest != nullptr)
            out.m_history = nearest->m_history;
    }
    else
    {
        if (!all_lack_parent(*work))
            co_return out;
        const auto* program_set = set_for(request.m_program);
        const auto excluded_set =
            program_set == nullptr ? 0 : program_set->m_view.m_set;
        out = co_await search_elsewhere(request.m_parent, excluded_set,
                                        request.m_retention_ms, deadline);
        if (out.m_history.empty())
            co_return out;
    }
    const bool complete = co_await complete_history(
        request.m_program, request.m_parent, request.m_retention_ms,
        out.m_history, deadline);
    if (!complete)
        out.m_history.clear();
    co_return out;
}

} // namespace pepperturn
