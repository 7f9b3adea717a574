// SPDX-License-Identifier: BSL-1.0
// A storage VM's part in what callers may do: how fresh what it knows of the
// store is, and this VM's shares of the limits of workspaces.
#include "pepperturn/fleet/storage_node.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A watcher asks the store this much later than the one before it in the
/// order: it has asked that one by then.
constexpr milliseconds check_stagger{450};
/// Those further back wait no longer than this many turns: the first ones may
/// all be gone.
constexpr std::ptrdiff_t most_turns = 3;

/// Some of its runners bear few calls while they are cold.
bool has_cold_limits(const routing_config& config)
{
    return std::any_of(
        config.m_services.begin(), config.m_services.end(),
        [](const auto& row) { return row.second.m_cold_requests_per_s > 0; });
}

} // namespace

std::vector<std::string> storage_node::freshness_sources() const
{
    // All that these know of views comes here before their answers.
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

void storage_node::follow_config()
{
    const auto& state = m_server->state();
    if (m_config_looked_at != state.m_config_revision)
    {
        m_config_looked_at = state.m_config_revision;
        std::string reason;
        const auto config = m_decoders.m_config(state.m_config, reason);
        if (config)
        {
            m_counts_shares = config->m_directory || has_cold_limits(*config);
            m_places.take_config(*config);
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
    keep_fresh();
}

void storage_node::keep_fresh()
{
    // Where nothing is shared out, nothing hangs on its age.
    const auto own = std::find(m_watch_order.begin(), m_watch_order.end(),
                               m_settings.m_name);
    m_source.keep_fresh(
        {m_counts_shares && m_source.running(),
         [this] {
             return m_freshness_keeper.freshness().m_config_confirmed_at;
         },
         check_stagger * std::min<std::ptrdiff_t>(own - m_watch_order.begin(),
                                                  most_turns)});
    m_freshness_keeper.set_enabled(m_counts_shares);
}

freshness_bound storage_node::freshness() const
{
    const auto& own = m_source.freshness();
    if (own.m_config_revision > m_server->state().m_config_revision)
        return m_freshness_keeper.freshness();
    return newest(own.m_freshness, m_freshness_keeper.freshness());
}

bool storage_node::answer(std::uint64_t asker, const frame_body& question,
                          const turn_server::reply_sender& reply)
{
    if (std::holds_alternative<freshness_request_message>(question))
        reply(report_freshness(freshness(), m_server->state().m_config_revision,
                               m_time.now()));
    else if (const auto* asked = std::get_if<quota_request>(&question))
        reply(count_request(*asked));
    else if (const auto* place = std::get_if<placement_request>(&question))
        m_places.ask(asker, *place, reply);
    else if (const auto* ended = std::get_if<placement_report>(&question))
    {
        m_places.report(*ended);
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

quota_reply storage_node::count_request(const quota_request& question)
{
    const auto now = m_time.now();
    const auto& self = m_settings.m_name;
    const auto& history = m_owners.m_history;
    const auto workspace = question.m_workspace;
    const auto takeover = m_staleness_limits.m_max_revoke_delay;
    const auto wanted = owner_count_for(question);
    const auto left = remaining_use_time(m_staleness_limits,
                                         freshness().m_views_confirmed_at, now);
    const double share =
        left ? share_of(history, self, workspace, now, takeover, wanted) : 0;
    const auto since =
        std::max(m_started, granting_since(history, self, workspace, share,
                                           takeover, wanted));
    return m_limiter.handle(limit_queue_timeout(question, left), share, since,
                            now);
}

} // namespace pepperturn
