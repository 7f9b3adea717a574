// SPDX-License-Identifier: BSL-1.0
// What a VM reads at intervals: load and evictions of the runners, the
// platform's list of VMs and runners, and the newest configuration.
#include "pepperturn/base/log_fields.hpp"
#include "pepperturn/daemon/node.hpp"
#include "pepperturn/net/upstream_client.hpp"
#include "pepperturn/policy/lua_policy.hpp"

#include <glog/logging.h>

namespace pepperturn {

void node::poll_runners()
{
    const auto config = current();
    for (const auto& [name, info] : config->m_runners)
    {
        const auto upstream = config->m_upstreams.find(info.m_upstream);
        if (upstream == config->m_upstreams.end() ||
            upstream->second.m_kind != call_kind::chat)
            continue;
        auto& poll = m_polls[name];
        if (!poll.m_load_open)
        {
            poll.m_load_open = true;
            read_load(info, [this, name = name](const load_reported& load) {
                m_loop->post([this, name, load] {
                    m_polls[name].m_load_open = false;
                    handle(load);
                });
            });
        }
        // Evictions matter less than load: every other time.
        poll.m_skip_events = !poll.m_skip_events;
        if (poll.m_events_open || poll.m_skip_events)
            continue;
        poll.m_events_open = true;
        read_cache_events(info, poll.m_events_seen,
                          [this, name = name](const cache_news& news) {
                              m_loop->post([this, name, news] {
                                  auto& row = m_polls[name];
                                  row.m_events_open = false;
                                  if (!news.m_answered)
                                      return;
                                  row.m_events_seen = news.m_newest;
                                  if (news.m_gap)
                                      handle(cache_gap{name, news.m_restarted});
                                  for (const auto& key : news.m_evicted)
                                      handle(cache_evicted{name, key});
                              });
                          });
    }
}

void node::poll_platform()
{
    if (m_platform_open)
        return;
    m_platform_open = true;
    read_platform(m_settings.m_platform.m_url,
                  [this](const platform_list& list) {
                      m_loop->post([this, list] {
                          m_platform_open = false;
                          if (list.m_answered)
                              handle(list.m_listed);
                      });
                  });
}

void node::poll_config()
{
    const auto mine = current()->m_revision;
    // A peer may know a revision that an unreachable store does not show.
    for (const auto& [id, row] : m_scheduler.state().m_vms)
    {
        if (row.m_heartbeat.m_config_revision <= mine || !alive(id) ||
            id == m_settings.m_vm.m_id)
            continue;
        m_loop->fetch_config(row.m_info.m_address, mine,
                             [this](const std::optional<std::string>& text) {
                                 std::string reason;
                                 if (!text || text->empty())
                                     return;
                                 if (const auto revision =
                                         decode_revision(*text, reason))
                                     take_revision(*revision);
                             });
        break;
    }
    if (m_config_open)
        return;
    m_config_open = true;
    m_configs.read_newest(
        mine,
        [this](const std::optional<std::optional<config_revision>>& found) {
            m_loop->post([this, found] {
                m_config_open = false;
                if (found && *found)
                    take_revision(**found);
            });
        });
}

void node::take_revision(const config_revision& revision)
{
    if (revision.m_revision <= current()->m_revision)
        return;
    std::vector<std::string> errors;
    auto parsed = parse_deployment(revision, errors);
    if (!parsed)
    {
        LOG(ERROR) << "event=config_refused revision=" << revision.m_revision
                   << " reason=" << quoted(errors.front());
        return;
    }
    std::string reason;
    auto rules = make_policy(revision.m_policy, revision.m_revision, reason);
    if (rules)
        m_scheduler.set_policy(std::move(*rules));
    else
        LOG(ERROR) << "event=policy_refused revision=" << revision.m_revision
                   << " reason=" << quoted(reason);
    m_revision_text = encode_revision(revision);
    handle(deployment_changed{*parsed});
    const std::lock_guard lock(m_deployment_mutex);
    m_deployment = std::make_shared<deployment>(std::move(*parsed));
}

void node::refresh_config()
{
    m_loop->post([this] { poll_config(); });
}

std::string node::on_peer_config(std::uint64_t after)
{
    return current()->m_revision > after ? m_revision_text : std::string{};
}

} // namespace pepperturn
