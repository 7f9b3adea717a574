// SPDX-License-Identifier: BSL-1.0
// A storage VM's part in its replica set: bootstrap and changes of the view.
#include "pepperturn/fleet/storage_node.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr milliseconds membership_interval{150};
/// A VM that looks for a set treats members as gone that it could not connect
/// to for this long: several attempts, and a restart.
constexpr milliseconds connect_patience{1200};
/// The initial views are written once no VM has announced itself for this
/// long: VMs start within tenths of a second of each other. Later ones join.
constexpr milliseconds bootstrap_quiet_period{1000};
/// VMs attempt the bootstrap one after the other, so that usually only one
/// writes the initial views.
constexpr milliseconds bootstrap_step{200};
/// After a conflicting change of view, the stored view is usually received
/// within this time; each attempt is a billed call.
constexpr milliseconds conflict_timeout{700};

/// Number of members in each state; a joining one that lacks copies and a lost
/// one whose disk is lost for good apart from the others.
std::string describe_states(const cluster_view& view)
{
    std::map<std::string, int> counts;
    for (const auto& row : view.m_members)
    {
        switch (row.m_state)
        {
        case member_state::full:
            ++counts["full"];
            break;
        case member_state::leaving:
            ++counts["leaving"];
            break;
        case member_state::joining:
            ++counts[row.m_intact ? "joining" : "joining_emptied"];
            break;
        case member_state::lost:
            ++counts[row.m_disk == 0 ? "lost_disk" : "lost"];
            break;
        }
    }
    std::string out;
    for (const auto& [state, count] : counts)
    {
        out += out.empty() ? "" : ",";
        out += state;
        out += ':';
        out += std::to_string(count);
    }
    return out;
}

} // namespace

member storage_node::self() const
{
    return {m_settings.m_name, m_settings.m_frames_address,
            m_settings.m_availability_zone, m_disk, member_state::joining};
}

membership_facts storage_node::gather_facts(const cluster_view& view) const
{
    membership_facts facts;
    facts.m_self = self();
    facts.m_bootstrap = m_settings.m_bootstrap;
    facts.m_view_known = true;
    facts.m_retire = is_retired(m_server->state(), m_settings.m_name);
    facts.m_caught_up_at = m_caught_up_at;
    facts.m_copied_by = m_server->copied_by(view.m_epoch);
    facts.m_disk_losses = m_settings.m_disk_losses;
    const auto now = m_time.now();
    facts.m_gap_over =
        m_longest_retention && now - m_gap_since > *m_longest_retention;
    // A VM outside the set gets no heartbeats from its members.
    if (find_member(view, m_settings.m_name) == nullptr)
        return facts;
    auto silent = judge_silence(
        contacts_of(view), {m_settings.m_disk_losses, now < m_isolated_until,
                            m_longest_retention, elapsed(m_view_since, now)});
    facts.m_unresponsive = std::move(silent.m_unresponsive);
    facts.m_gone = std::move(silent.m_gone);
    facts.m_unreachable = std::move(silent.m_unreachable);
    return facts;
}

std::vector<member_contact>
storage_node::contacts_of(const cluster_view& view) const
{
    std::vector<member_contact> out;
    out.reserve(view.m_members.size());
    for (const auto& row : view.m_members)
    {
        if (row.m_name == m_settings.m_name)
            continue;
        const auto last_seen =
            std::max(m_started, m_links.last_seen(row.m_name));
        out.push_back({row.m_name, row.m_state == member_state::lost,
                       m_links.connected(row.m_name),
                       elapsed(last_seen, m_time.now())});
    }
    return out;
}

task<> storage_node::maintain_membership()
{
    while (!m_stopping)
    {
        if (m_server->disk_good() && m_server->state().m_views.empty())
            co_await bootstrap_fleet();
        else if (m_server->disk_good())
        {
            note_view();
            forget_reconnected();
            if (!m_copying &&
                should_copy(m_server->own_view(), m_settings.m_name,
                            m_caught_up_at, m_settings.m_disk_losses))
            {
                m_copying = true;
                spawn(m_io, "storage_node.copy", copy_all());
            }
            co_await change_view();
        }
        co_await sleep_for(m_io, membership_interval);
    }
}

void storage_node::note_view()
{
    const auto& view = m_server->own_view();
    if (std::exchange(m_view_epoch, view.m_epoch) != view.m_epoch)
        m_view_since = m_time.now();
    const auto epoch = view.m_gap_epoch;
    if (std::exchange(m_gap_epoch, epoch) == epoch)
        return;
    m_gap_since = m_time.now();
    LOG(WARNING) << "event=view_gap set=" << m_server->own_view().m_set
                 << " epoch=" << m_server->own_view().m_epoch
                 << " since_epoch=" << epoch;
}

void storage_node::forget_reconnected()
{
    for (const auto& row : m_server->own_view().m_members)
    {
        const auto number = m_links.live_connection(row.m_name);
        auto& known = m_connections[row.m_name];
        if (number == 0 || number == known)
            continue;
        if (std::exchange(known, number) != 0 && m_copier->forget(row.m_name))
            m_caught_up_at = 0;
    }
}

task<> storage_node::bootstrap_fleet()
{
    // Only a first start may find an empty store; otherwise an empty store
    // means that it was read wrongly.
    if (!m_settings.m_bootstrap)
        co_return;
    if (!m_announced && (m_source.synced() || !may_bootstrap()))
        m_announced = co_await m_source.announce(self());
    if (!m_source.synced())
        co_return;
    auto vms = m_source.announced();
    const auto own =
        std::find_if(vms.begin(), vms.end(), [&](const member& row) {
            return row.m_name == m_settings.m_name;
        });
    if (own == vms.end())
        co_return;
    const auto earliest = m_source.last_announced() + bootstrap_quiet_period +
                          (own - vms.begin()) * bootstrap_step;
    if (m_time.now() < earliest)
        co_return;
    auto views = initial_views(std::move(vms), m_settings.m_disk_losses);
    const auto sets = views.size();
    const auto result = co_await m_source.write_initial_views(std::move(views));
    LOG(INFO) << "event=fleet_founded sets=" << sets
              << " outcome=" << result.m_reason;
    m_next_change = m_time.now() + conflict_timeout;
}

bool storage_node::awaits_connections(const std::vector<member>& members) const
{
    const auto now = m_time.now();
    return std::any_of(members.begin(), members.end(), [&](const member& row) {
        return row.m_name != m_settings.m_name &&
               !m_links.connected(row.m_name) &&
               now - m_links.last_seen(row.m_name) < connect_patience;
    });
}

std::optional<cluster_view> storage_node::view_to_maintain() const
{
    const auto& own = m_server->own_view();
    if (!own.m_members.empty())
        return own;
    const auto& views = m_server->state().m_views;
    if (awaits_connections(members_of(views)))
        return std::nullopt;
    const auto set = set_to_join(
        views, self(), m_settings.m_disk_losses,
        [this](const std::string& name) { return m_links.connected(name); });
    const auto found =
        std::find_if(views.begin(), views.end(), [&](const cluster_view& row) {
            return set && row.m_set == *set;
        });
    if (found == views.end())
        return std::nullopt;
    return *found;
}

task<> storage_node::report_emptied()
{
    if (!m_emptied_reported)
        m_emptied_reported =
            co_await m_source.report_emptying(m_settings.m_name, true);
}

task<> storage_node::change_view()
{
    if (is_retired(m_server->state(), m_settings.m_name) &&
        !m_emptying_reported)
        m_emptying_reported =
            co_await m_source.report_emptying(m_settings.m_name, false);
    // This does not depend on whether there is a set that it could join.
    const auto& views = m_server->state().m_views;
    if (m_server->own_view().m_members.empty() &&
        is_emptied(views.front(), gather_facts(views.front())))
    {
        co_await report_emptied();
        co_return;
    }
    const auto view = view_to_maintain();
    if (!view)
        co_return;
    const auto facts = gather_facts(*view);
    auto next = desired_view(*view, facts);
    const bool outdated = view->m_epoch <= m_outdated_epoch;
    if (!next || (outdated && m_time.now() < m_next_change))
        co_return;
    next = append_step(*view, std::move(*next));
    const auto result = co_await m_source.swap_view(*next, view->m_epoch);
    LOG(INFO) << "event=view_swap set=" << view->m_set
              << " epoch=" << view->m_epoch
              << " members=" << next->m_members.size()
              << " states=" << describe_states(*next)
              << " gap_epoch=" << next->m_gap_epoch
              << " outcome=" << result.m_reason
              << " next_epoch=" << result.m_epoch;
    if (result.m_outcome != swap_outcome::written)
    {
        m_outdated_epoch = std::max(m_outdated_epoch, view->m_epoch);
        m_next_change = m_time.now() + conflict_timeout;
        co_return;
    }
    cluster_state update;
    next->m_epoch = result.m_epoch;
    update.m_views = {std::move(*next)};
    apply_state(update);
}

void storage_node::detect_isolation()
{
    if (is_isolated(contacts_of(m_server->own_view()),
                    m_settings.m_disk_losses))
        m_isolated_until = m_time.now() + unresponsive_timeout;
}

} // namespace pepperturn
