// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/turn_evidence.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Members that a line names.
constexpr std::size_t max_members = 12;
/// Characters of an id in a line.
constexpr std::size_t max_id = 64;

const char* text_of(member_state state)
{
    switch (state)
    {
    case member_state::joining:
        return "joining";
    case member_state::full:
        return "full";
    case member_state::leaving:
        return "leaving";
    case member_state::lost:
        return "lost";
    }
    return "unknown";
}

std::string text_of(const reply_tally& tally)
{
    return "sets:" + std::to_string(tally.m_sets) +
           " asked:" + std::to_string(tally.m_asked) +
           " skipped:" + std::to_string(tally.m_skipped) +
           " found:" + std::to_string(tally.m_found) +
           " absent:" + std::to_string(tally.m_absent) +
           " no_link:" + std::to_string(tally.m_no_link) +
           " stale:" + std::to_string(tally.m_stale) +
           " refused:" + std::to_string(tally.m_refused) +
           " none:" + std::to_string(tally.waiting());
}

std::string text_of(const std::vector<member_evidence>& members)
{
    std::string out;
    const auto count = std::min(members.size(), max_members);
    for (std::size_t i = 0; i < count; ++i)
    {
        out += out.empty() ? "" : " ";
        out += members[i].m_name + ':' + text_of(members[i].m_state) + ':' +
               to_string(members[i].m_reply);
    }
    if (count < members.size())
        out += " more:" + std::to_string(members.size() - count);
    return out;
}

} // namespace

const char* to_string(begin_fault fault)
{
    switch (fault)
    {
    case begin_fault::none:
        return "none";
    case begin_fault::over_budget:
        return "over_budget";
    case begin_fault::isolated:
        return "isolated";
    case begin_fault::no_view:
        return "no_view";
    case begin_fault::too_few_writers:
        return "too_few_writers";
    case begin_fault::too_few_readers:
        return "too_few_readers";
    case begin_fault::parent_uncertain:
        return "parent_uncertain";
    case begin_fault::parent_absent:
        return "parent_absent";
    case begin_fault::search_incomplete:
        return "search_incomplete";
    case begin_fault::ancestor_absent:
        return "ancestor_absent";
    case begin_fault::ancestor_unreached:
        return "ancestor_unreached";
    case begin_fault::no_page_slot:
        return "no_page_slot";
    case begin_fault::history_late:
        return "history_late";
    case begin_fault::out_of_memory:
        return "out_of_memory";
    }
    return "unknown";
}

const char* to_string(member_reply reply)
{
    switch (reply)
    {
    case member_reply::not_asked:
        return "not_asked";
    case member_reply::none:
        return "none";
    case member_reply::no_link:
        return "no_link";
    case member_reply::stale:
        return "stale";
    case member_reply::not_member:
        return "not_member";
    case member_reply::failed:
        return "failed";
    case member_reply::ok:
        return "ok";
    case member_reply::found:
        return "found";
    }
    return "unknown";
}

member_reply reply_of(const std::optional<frame>& reply)
{
    if (!reply)
        return member_reply::no_link;
    switch (reply->m_status)
    {
    case frame_status::ok:
        return member_reply::ok;
    case frame_status::stale:
        return member_reply::stale;
    case frame_status::not_member:
        return member_reply::not_member;
    case frame_status::failed:
        return member_reply::failed;
    }
    return member_reply::failed;
}

void reply_tally::add(const std::optional<frame>& reply)
{
    switch (reply_of(reply))
    {
    case member_reply::no_link:
        ++m_no_link;
        return;
    case member_reply::stale:
        ++m_stale;
        return;
    case member_reply::ok:
        break;
    default:
        ++m_refused;
        return;
    }
    const auto* fetched = std::get_if<fetched_message>(&reply->m_body);
    if (fetched == nullptr)
        ++m_refused;
    else if (fetched->m_history.empty())
        ++m_absent;
    else
        ++m_found;
}

std::string describe(const begin_evidence& evidence)
{
    std::string out =
        "set=" + (evidence.m_set ? std::to_string(*evidence.m_set) : "none") +
        " epoch=" + std::to_string(evidence.m_epoch) +
        " asked_epoch=" + std::to_string(evidence.m_asked_epoch) +
        " view_ms=" + std::to_string(evidence.m_view_age.count()) +
        " write_quorum=" + std::to_string(evidence.m_quorums.m_write) +
        " read_quorum=" + std::to_string(evidence.m_quorums.m_read) +
        " members=\"" + text_of(evidence.m_members) + '"';
    if (!evidence.m_missing.empty())
        out += " missing=" + caller_turn_id(evidence.m_missing) + " in_set=\"" +
               text_of(evidence.m_in_set) + '"';
    if (evidence.m_elsewhere.m_sets > 0)
        out += " elsewhere=\"" + text_of(evidence.m_elsewhere) + '"';
    if (evidence.m_fault == begin_fault::none)
        return out;
    return out + " sets=" + std::to_string(evidence.m_known_sets) + '/' +
           std::to_string(evidence.m_set_count) +
           " linked=" + std::to_string(evidence.m_linked) + '/' +
           std::to_string(evidence.m_all_members) +
           " heard_ms=" + std::to_string(evidence.m_heard.count());
}

std::string caller_turn_id(const std::string& turn)
{
    // The name of a workspace comes before it, on a line of its own.
    const auto end = turn.rfind('\n');
    return turn.substr(end == std::string::npos ? 0 : end + 1, max_id);
}

} // namespace pepperturn
