// SPDX-License-Identifier: BSL-1.0
// A storage VM's part in admission: how fresh its state is, and its shares of
// the workspaces' limits.
#include "pepperturn/fleet/storage_node.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// The watchers together confirm the configuration this often: so often that
/// with the polls between VMs it stays below the age at which edge VMs ask the
/// store themselves. Each read is billed.
constexpr int check_interval_tenths = 4;
/// The same where keys may be revoked: an eighth of the five seconds for which
/// a revoked key may be used.
constexpr milliseconds key_check_interval{600};
/// A watcher queries the store this much later than the one before it in the
/// watch order: it has asked that one by then.
constexpr milliseconds check_stagger{450};
/// Watchers further back wait no longer than this many steps: the first ones
/// may all have failed.
constexpr std::ptrdiff_t max_stagger_steps = 3;

/// Whether any service limits the call rate of its cold runners.
bool has_cold_limits(const routing_config& config)
{
    return std::any_of(
        config.m_services.begin(), config.m_services.end(),
        [](const auto& row) { return row.second.m_cold_requests_per_s > 0; });
}

} // namespace

std::vector<std::string> storage_node::freshness_sources() const
{
    // Views known to these VMs are received here before their replies.
    std::vector<std::string> out;
    const auto count = std::min(m_watch_order.size(), watch_candidates);
    for (std::size_t i = 0; i < count; ++i)
    {
        if (m_watch_order[i] != m_settings.m_name &&
            m_links.watches_store(m_watch_order[i]))
            out.push_back(m_watch_order[i]);
    }
    return out;
}

void storage_node::update_config()
{
    const auto& state = m_server->state();
    if (m_decoded_config_revision != state.m_config_revision)
    {
        m_decoded_config_revision = state.m_config_revision;
        std::string reason;
        const auto config = m_decoders.m_config(state.m_config, reason);
        if (config)
        {
            m_counts_shares = config->m_directory || has_cold_limits(*config);
            m_placements.apply_config(*config);
            for (const auto& row : config->m_routes)
                m_longest_retention =
                    std::max(m_longest_retention.value_or(milliseconds{0}),
                             stored_retention(row));
            m_workspace_names.clear();
            if (config->m_directory)
                for (const auto& row : config->m_directory->m_workspaces)
                    m_workspace_names[hash64(row.m_name)] = row.m_name;
        }
        else
            LOG(ERROR) << "event=config_unreadable revision="
                       << state.m_config_revision << " reason=\"" << reason
                       << '"';
    }
    update_freshness_polling();
}

void storage_node::update_freshness_polling()
{
    const auto own = std::find(m_watch_order.begin(), m_watch_order.end(),
                               m_settings.m_name);
    const auto steps = std::min<std::ptrdiff_t>(own - m_watch_order.begin(),
                                                max_stagger_steps);
    freshness_requirement need;
    need.m_required = m_source.running();
    need.m_confirmed_elsewhere = [this] {
        return m_freshness_poller.freshness().m_config_confirmed_at;
    };
    const auto interval =
        m_staleness_limits.m_max_apply_delay * check_interval_tenths / 10;
    need.m_max_age =
        (m_counts_shares ? std::min(interval, key_check_interval) : interval) +
        check_stagger * steps;
    m_source.keep_fresh(std::move(need));
    m_freshness_poller.set_enabled(true);
}

freshness_bound storage_node::freshness() const
{
    const auto& own = m_source.freshness();
    if (own.m_config_revision > m_server->state().m_config_revision)
        return m_freshness_poller.freshness();
    return newest(own.m_freshness, m_freshness_poller.freshness());
}

bool storage_node::handle_request(std::uint64_t requester,
                                  const frame_body& request,
                                  const turn_server::reply_sender& reply)
{
    if (std::holds_alternative<freshness_request_message>(request))
        reply(report_freshness(freshness(), m_server->state().m_config_revision,
                               m_time.now()));
    else if (const auto* quota = std::get_if<quota_request>(&request))
        reply(count_request(*quota));
    else if (const auto* placement = std::get_if<placement_request>(&request))
        m_placements.handle_request(requester, *placement, reply);
    else if (const auto* report = std::get_if<placement_report>(&request))
    {
        m_placements.handle_report(*report);
        reply(appended_message{});
    }
    else
        return false;
    return true;
}

std::string storage_node::workspace_text() const
{
    std::vector<named_counts> rows;
    for (const auto& [workspace, counts] : m_limiter.counts())
    {
        const auto found = m_workspace_names.find(workspace);
        rows.push_back({found == m_workspace_names.end()
                            ? std::to_string(workspace)
                            : found->second,
                        counts});
    }
    return text_of(std::move(rows));
}

quota_reply storage_node::count_request(const quota_request& request)
{
    const auto now = m_time.now();
    const auto& self = m_settings.m_name;
    const auto& history = m_owners.m_history;
    const auto workspace = request.m_workspace;
    const auto takeover = m_staleness_limits.m_max_revoke_delay;
    const auto owner_count = owner_count_for(request);
    const auto remaining = remaining_use_time(
        m_staleness_limits, freshness().m_views_confirmed_at, now);
    const double share = remaining ? share_of(history, self, workspace, now,
                                              takeover, owner_count)
                                   : 0;
    const auto granting_from =
        std::max(m_started, granting_since(history, self, workspace, share,
                                           takeover, owner_count));
    return m_limiter.handle(limit_queue_timeout(request, remaining), share,
                            granting_from, now);
}

} // namespace pepperturn
