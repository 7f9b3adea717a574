// SPDX-License-Identifier: BSL-1.0
// How an edge VM fetches the turns that a request continues from: from the
// replica set of its program, and from other sets where the program continues
// from a turn of another program.
#include "turn_round.hpp"

#include <algorithm>
#include <iterator>

namespace pepperturn {

namespace {

/// How long one member may take to send a part of a history before the next
/// member is asked too.
constexpr milliseconds fetch_timeout{150};
/// How long the last one that was asked may take: the largest turn over the
/// slowest links.
constexpr milliseconds slow_fetch_timeout{500};
/// How long the search for a turn in all other replica sets may take: a
/// hundred times what it usually takes.
constexpr milliseconds search_timeout{400};
/// Pause before a search that could not ask every member is repeated, doubled
/// each time: most members are connected to, or are told the newer view, by
/// then.
constexpr milliseconds search_retry_interval{60};
/// How long a page may take, waiting for other requests' pages included.
constexpr milliseconds page_timeout{1000};
/// Pause before members that were busy are asked for a page again.
constexpr milliseconds page_retry_interval{60};
/// Pages that are fetched at a time, of all requests.
constexpr unsigned max_fetching_pages = 2;

std::uint64_t bytes_of(const turn_record& turn)
{
    return turn.m_input.size() + turn.m_output.size();
}

std::uint64_t bytes_of(const std::vector<turn_record>& history)
{
    std::uint64_t out = 0;
    for (const auto& turn : history)
        out += bytes_of(turn);
    return out;
}

/// True if a member in this state has all copies that it ever counted with.
bool is_reader(member_state state)
{
    return state == member_state::full || state == member_state::leaving;
}

/// True if a turn that the members of \p lacks do not store was never
/// acknowledged by their set: every reader lacks it, they are as many as know
/// every write, and none may have been lost.
bool proves_absence(const cluster_view& view, const quorum_sizes& quorums,
                    const std::function<bool(const std::string&)>& lacks)
{
    return view.m_gap_epoch == 0 && is_read_quorum(view, quorums, lacks) &&
           std::all_of(view.m_members.begin(), view.m_members.end(),
                       [&](const member& row) {
                           return !is_reader(row.m_state) || lacks(row.m_name);
                       });
}

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
        /// Set and member of those that report that they do not store it.
        std::set<std::pair<std::uint32_t, std::string>> m_lacking;
        std::vector<turn_record> m_history;
        reply_tally m_tally;
    };
    const auto state = std::make_shared<search>(m_io);
    const fetch_message message{turn, retention_ms};
    // The views may be replaced meanwhile; members reply under the epoch of
    // these.
    const auto sets = m_sets;
    for (const auto& set : sets)
    {
        if (set.m_view.m_set == excluded_set)
            continue;
        ++state->m_tally.m_sets;
        for (const auto& row : set.m_view.m_members)
        {
            if (!is_reader(row.m_state))
            {
                ++state->m_tally.m_skipped;
                continue;
            }
            ++state->m_tally.m_asked;
            ++state->m_pending;
            const auto take = [state,
                               from = std::pair{set.m_view.m_set, row.m_name}](
                                  const std::optional<frame>& reply) {
                --state->m_pending;
                state->m_tally.add(reply);
                const auto* fetched =
                    reply && reply->m_status == frame_status::ok
                        ? std::get_if<fetched_message>(&reply->m_body)
                        : nullptr;
                if (fetched != nullptr && fetched->m_history.empty())
                    state->m_lacking.insert(from);
                else if (fetched != nullptr && state->m_history.empty())
                    state->m_history = fetched->m_history;
                state->m_changed.notify();
            };
            m_links.call(row.m_name, set.m_view.m_epoch, message, take);
        }
    }
    const auto search_deadline =
        std::min(deadline, m_time.now() + search_timeout);
    while (state->m_pending > 0 && state->m_history.empty() &&
           m_time.now() < search_deadline)
        co_await state->m_changed.wait_until(search_deadline);
    search_result out;
    out.m_not_found =
        state->m_history.empty() && !sets.empty() &&
        sets.size() == sets.front().m_view.m_set_count &&
        std::all_of(sets.begin(), sets.end(), [&](const set_row& set) {
            const auto lacks = [&](const std::string& name) {
                return state->m_lacking.contains({set.m_view.m_set, name});
            };
            return set.m_view.m_set == excluded_set ||
                   proves_absence(set.m_view, set.m_quorums, lacks);
        });
    out.m_history = std::move(state->m_history);
    out.m_elsewhere = state->m_tally;
    co_return out;
}

std::vector<std::string> turn_client::readers_of(const set_row& set) const
{
    std::vector<std::string> out{nearest_member(set)};
    for (const auto& row : set.m_view.m_members)
    {
        if (row.m_state != member_state::joining && row.m_name != out.front())
            out.push_back(row.m_name);
    }
    std::erase_if(out, [this](const std::string& name) {
        return name.empty() || !m_links.connected(name);
    });
    return out;
}

task<turn_client::search_result>
turn_client::fetch_in_set(id_key program, std::string turn,
                          std::uint32_t retention_ms, instant deadline)
{
    struct fetch
    {
        explicit fetch(asio::io_context& io) : m_changed(io) {}
        async_event m_changed;
        std::size_t m_pending = 0;
        /// Members that report that they do not store it.
        std::set<std::string> m_lacking;
        search_result m_result;
    };
    const auto state = std::make_shared<fetch>(m_io);
    const auto* known_set = set_for(program);
    if (known_set == nullptr)
        co_return std::move(state->m_result);
    const auto set = std::make_shared<const set_row>(*known_set);
    const auto epoch = set->m_view.m_epoch;
    const fetch_message message{std::move(turn), retention_ms};
    const auto take = [state](const std::string& name,
                              std::optional<frame> reply) {
        --state->m_pending;
        auto& result = state->m_result;
        result.m_in_set.add(reply);
        auto* fetched =
            reply ? std::get_if<fetched_message>(&reply->m_body) : nullptr;
        result.m_busy =
            result.m_busy || (reply && reply->m_status == frame_status::failed);
        if (fetched != nullptr && fetched->m_history.empty())
            state->m_lacking.insert(name);
        else if (fetched != nullptr && result.m_history.empty())
            result.m_history = std::move(fetched->m_history);
        state->m_changed.notify();
    };
    // Then another set has acknowledged it: the others are not waited for.
    const auto set_lacks_it = [state, set] {
        return is_read_quorum(set->m_view, set->m_quorums,
                              [&](const std::string& name) {
                                  return state->m_lacking.contains(name);
                              });
    };
    const auto names = readers_of(*set);
    auto& tally = state->m_result.m_in_set;
    tally.m_sets = 1;
    tally.m_skipped =
        static_cast<std::uint32_t>(set->m_view.m_members.size() - names.size());
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        ++state->m_pending;
        ++tally.m_asked;
        m_links.call(names[i], epoch, message,
                     [take, name = names[i]](std::optional<frame> reply) {
                         take(name, std::move(reply));
                     });
        // A page that is slow to arrive may come all the same: another member
        // is asked beside it.
        const auto patience =
            i + 1 < names.size() ? fetch_timeout : slow_fetch_timeout;
        const auto until = std::min(deadline, m_time.now() + patience);
        while (state->m_pending > 0 && state->m_result.m_history.empty() &&
               !set_lacks_it() && m_time.now() < until)
            co_await state->m_changed.wait_until(until);
        if (set_lacks_it())
        {
            state->m_result.m_busy = false;
            break;
        }
        if (!state->m_result.m_history.empty() || m_time.now() >= deadline)
            break;
    }
    co_return std::move(state->m_result);
}

task<bool> turn_client::acquire_page(instant deadline)
{
    if (m_fetching_pages < max_fetching_pages)
    {
        ++m_fetching_pages;
        co_return true;
    }
    const auto waiter = std::make_shared<page_waiter>(m_io);
    m_page_waiters.push_back(waiter);
    while (!waiter->m_granted && m_time.now() < deadline)
        co_await waiter->m_granted_event.wait_until(deadline);
    std::erase(m_page_waiters, waiter);
    co_return waiter->m_granted;
}

void turn_client::release_page()
{
    if (m_page_waiters.empty())
    {
        --m_fetching_pages;
        return;
    }
    // Passed on at once: a later request must not take it first.
    const auto next = m_page_waiters.front();
    m_page_waiters.pop_front();
    next->m_granted = true;
    next->m_granted_event.notify();
}

task<turn_client::search_result>
turn_client::fetch_page(id_key program, std::string turn,
                        std::uint32_t retention_ms, instant deadline)
{
    search_result out;
    const bool acquired = co_await acquire_page(deadline);
    out.m_no_page_slot = !acquired;
    if (!acquired)
        co_return out;
    out = co_await fetch_in_set(program, turn, retention_ms, deadline);
    if (out.m_history.empty() && !out.m_busy && m_time.now() < deadline)
    {
        // The history began in a program that another set stores.
        const auto* program_set = set_for(program);
        const auto excluded_set =
            program_set == nullptr ? 0 : program_set->m_view.m_set;
        const auto in_set = out.m_in_set;
        out = co_await search_elsewhere(turn, excluded_set, retention_ms,
                                        deadline);
        out.m_in_set = in_set;
        // Some could not be asked: it is looked for again.
        out.m_busy = out.m_history.empty() && !out.m_not_found;
    }
    release_page();
    co_return out;
}

task<turn_client::search_result>
turn_client::await_page(id_key program, std::string turn,
                        std::uint32_t retention_ms, instant deadline)
{
    const auto give_up = std::min(deadline, m_time.now() + page_timeout);
    while (true)
    {
        auto page = co_await fetch_page(program, turn, retention_ms, give_up);
        const bool wait = page.m_history.empty() && page.m_busy;
        if (!wait || m_time.now() + page_retry_interval >= give_up)
            co_return page;
        co_await sleep_for(m_io, page_retry_interval);
    }
}

void turn_client::note_missing(search_result& found, const std::string& turn,
                               const search_result& page)
{
    found.m_missing = turn;
    // Not m_not_found, which is said of the parent and decides the answer.
    found.m_ancestor_absent =
        page.m_not_found && page.m_in_set.m_absent == page.m_in_set.m_asked;
    found.m_in_set = page.m_in_set;
    found.m_elsewhere = page.m_elsewhere;
    found.m_no_page_slot = page.m_no_page_slot;
    found.m_late = !page.m_history.empty();
}

task<turn_client::search_result>
turn_client::complete_history(id_key program, std::string parent,
                              std::uint32_t retention_ms, search_result found,
                              instant deadline, history_options options)
{
    auto& history = found.m_history;
    auto bytes = bytes_of(history);
    // Newest first until the end, so that missing turns can be appended.
    while (true)
    {
        if (options.m_admit && !options.m_admit(bytes))
        {
            found.m_out_of_memory = true;
            break;
        }
        const std::string missing =
            history.empty() ? parent : history.back().m_parent;
        if (missing.empty())
        {
            std::reverse(history.begin(), history.end());
            co_return found;
        }
        auto page =
            co_await await_page(program, missing, retention_ms, deadline);
        if (page.m_history.empty() || m_time.now() >= deadline)
        {
            note_missing(found, missing, page);
            break;
        }
        bytes += bytes_of(page.m_history);
        history.insert(history.end(),
                       std::make_move_iterator(page.m_history.begin()),
                       std::make_move_iterator(page.m_history.end()));
    }
    history.clear();
    co_return found;
}

task<turn_client::search_result>
turn_client::search_parent(std::shared_ptr<round> work, begin_request request,
                           instant deadline)
{
    work->m_request_all_at = m_time.now();
    // Each search asks all members of all sets.
    for (auto pause = search_retry_interval;; pause *= 2)
    {
        send_round(work);
        const auto* program_set = set_for(request.m_program);
        const auto excluded_set =
            program_set == nullptr ? 0 : program_set->m_view.m_set;
        auto out = co_await search_elsewhere(request.m_parent, excluded_set,
                                             request.m_retention_ms, deadline);
        if (!out.m_history.empty() || work->parent_found())
            co_return out;
        // A turn is known to be missing only if every member reports it.
        if (out.m_not_found && all_lack_parent(*work))
            co_return out;
        out.m_not_found = false;
        const auto next = m_time.now() + pause;
        if (next >= deadline)
            co_return out;
        // Members that refuse reply at once, and would wake it each time.
        while (m_time.now() < next && !work->parent_found())
            co_await work->m_changed.wait_until(next);
        if (work->parent_found())
            co_return out;
    }
}

task<turn_client::search_result>
turn_client::find_history(std::shared_ptr<round> work, begin_request request,
                          instant begin_deadline, instant deadline,
                          history_options options)
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
        out = co_await search_parent(work, request, begin_deadline);
        if (out.m_history.empty() && !work->parent_found())
            co_return out;
    }
    work->m_rows.clear();
    co_return co_await complete_history(request.m_program, request.m_parent,
                                        request.m_retention_ms, std::move(out),
                                        deadline, std::move(options));
}

} // namespace pepperturn
