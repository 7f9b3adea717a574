// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/member_silence.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Three heartbeats.
constexpr milliseconds isolation_timeout{1600};
/// A member is not waited for, if the set cannot recover otherwise, once it has
/// been silent for the longest retention and this: whatever it alone may hold
/// has expired by then.
constexpr milliseconds gone_margin{30000};
/// Members that are cut off from an isolated VM, but not from the platform's
/// store, undo its changes of the view within the time after which they take it
/// for unresponsive. If none does for this long, they are gone.
constexpr milliseconds undo_timeout{30000};

/// True if silence says that the others are gone, and not that this VM is cut
/// off from them.
bool may_presume_gone(const silence_facts& facts)
{
    return facts.m_longest_retention &&
           (!facts.m_isolated || facts.m_view_unchanged_for > undo_timeout);
}

} // namespace

bool is_isolated(const std::vector<member_contact>& contacts,
                 std::uint32_t disk_losses)
{
    const auto silent = std::count_if(
        contacts.begin(), contacts.end(), [](const member_contact& row) {
            return !row.m_lost && row.m_silent_for > isolation_timeout;
        });
    return static_cast<std::uint32_t>(silent) > disk_losses;
}

silent_members judge_silence(const std::vector<member_contact>& contacts,
                             const silence_facts& facts)
{
    silent_members out;
    const bool presumes_gone = may_presume_gone(facts);
    for (const auto& row : contacts)
    {
        if (row.m_silent_for > unresponsive_timeout && !facts.m_isolated)
            out.m_unresponsive.insert(row.m_name);
        if (presumes_gone &&
            row.m_silent_for > *facts.m_longest_retention + gone_margin)
            out.m_gone.insert(row.m_name);
        if (row.m_silent_for > isolation_timeout || !row.m_connected)
            out.m_unreachable.insert(row.m_name);
    }
    return out;
}

} // namespace pepperturn
