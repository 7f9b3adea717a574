// SPDX-License-Identifier: BSL-1.0
// What a turn client knew when a turn was refused or stored, for the log.
#include "turn_round.hpp"

#include <algorithm>

namespace pepperturn {

begin_evidence turn_client::observe(const round& work) const
{
    begin_evidence out;
    out.m_asked_epoch = work.m_epoch;
    const auto* set = set_for(work.m_program);
    if (set == nullptr)
        return out;
    out.m_set = set->m_view.m_set;
    out.m_epoch = set->m_view.m_epoch;
    out.m_view_age = elapsed(set->m_since, m_time.now());
    out.m_quorums = set->m_quorums;
    // The replies are dropped once they have told where the history is.
    if (work.m_rows.empty())
        return out;
    for (const auto& row : set->m_view.m_members)
    {
        const auto asked = work.m_rows.find(row.m_name);
        const auto* begun = work.begun(row.m_name);
        auto reply = asked == work.m_rows.end() ? member_reply::not_asked
                                                : asked->second.m_last;
        if (begun != nullptr && begun->m_parent_found)
            reply = member_reply::found;
        else if (reply == member_reply::not_asked &&
                 !m_links.connected(row.m_name))
            reply = member_reply::no_link;
        out.m_members.push_back({row.m_name, row.m_state, reply});
    }
    return out;
}

void turn_client::observe_links(begin_evidence& out) const
{
    out.m_known_sets = m_sets.size();
    out.m_set_count = m_sets.empty() ? 0 : m_sets.front().m_view.m_set_count;
    instant heard_at{};
    for (const auto& set : m_sets)
    {
        for (const auto& row : set.m_view.m_members)
        {
            ++out.m_all_members;
            out.m_linked += m_links.connected(row.m_name) ? 1 : 0;
            heard_at = std::max(heard_at, m_links.last_seen(row.m_name));
        }
    }
    out.m_heard = out.m_all_members == 0 ? milliseconds(-1)
                                         : elapsed(heard_at, m_time.now());
}

begin_evidence turn_client::isolation() const
{
    begin_evidence out;
    out.m_fault = begin_fault::isolated;
    observe_links(out);
    return out;
}

begin_fault turn_client::fault_of(const round& work,
                                  const search_result& found) const
{
    if (found.m_out_of_memory)
        return begin_fault::out_of_memory;
    if (found.m_no_page_slot)
        return begin_fault::no_page_slot;
    if (found.m_late)
        return begin_fault::history_late;
    if (!found.m_missing.empty())
        return found.m_ancestor_absent ? begin_fault::ancestor_absent
                                       : begin_fault::ancestor_unreached;
    if (found.m_not_found)
        return begin_fault::parent_absent;
    const auto& elsewhere = found.m_elsewhere;
    const bool all_replied = elsewhere.m_absent == elsewhere.m_asked &&
                             !m_sets.empty() &&
                             m_sets.size() == m_sets.front().m_view.m_set_count;
    if (elsewhere.m_sets > 0)
        return all_replied ? begin_fault::parent_uncertain
                           : begin_fault::search_incomplete;
    if (set_for(work.m_program) == nullptr)
        return begin_fault::no_view;
    if (!wrote_enough(work))
        return begin_fault::too_few_writers;
    if (!read_enough(work))
        return begin_fault::too_few_readers;
    return all_lack_parent(work) ? begin_fault::search_incomplete
                                 : begin_fault::parent_uncertain;
}

begin_evidence turn_client::explain(const round& work,
                                    const search_result& found) const
{
    auto out = observe(work);
    observe_links(out);
    out.m_fault = fault_of(work, found);
    out.m_missing = found.m_missing;
    out.m_in_set = found.m_in_set;
    out.m_elsewhere = found.m_elsewhere;
    return out;
}

} // namespace pepperturn
