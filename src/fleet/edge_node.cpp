// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/edge_node.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/base/memory_release.hpp"
#include "pepperturn/base/process_limits.hpp"
#include "pepperturn/http/response_head.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// A running seed has replied within this time: several round trips.
constexpr milliseconds seed_reply_delay{15};
/// Interval while nothing can be served yet: a round trip within the region.
constexpr milliseconds first_update_interval{20};
/// Without a configuration after this time, update sources are chosen at the
/// usual ticks only.
constexpr milliseconds first_update_span{3000};
/// New connections are accepted this long after the order to stop: the load
/// balancer checks once a second and removes a VM after two failed checks.
constexpr milliseconds accept_after_stop{3000};
/// Part of the grace period kept for writing the last responses.
constexpr milliseconds exit_margin{400};
constexpr milliseconds drain_check{50};
/// A caller whose request has ended runners waits until another VM knows of
/// it: several round trips.
constexpr milliseconds report_timeout{100};
/// Storage VMs that start at the same time have read their disks and told each
/// other of suspects by then.
constexpr milliseconds suspects_spread{2000};
/// Runners in an update that leaves megabytes of freed memory behind.
constexpr std::size_t long_update = 500;

/// Writes an age, unless nothing was heard yet.
void write_age(std::string& out, const std::string& name, milliseconds age)
{
    if (age != milliseconds::max())
        write_metric(out, name, static_cast<std::uint64_t>(age.count()));
}

} // namespace

edge_node::edge_node(asio::io_context& io, const clock& time,
                     const fleet_settings& settings, wire_names names,
                     state_decoders decoders, state_source& source)
    : m_io(io), m_time(time), m_settings(settings),
      m_decoders(std::move(decoders)), m_source(source),
      m_links(io, time, settings.m_name),
      m_connectivity(
          io, time, settings, m_links,
          [this]() -> const cluster_state& { return m_state; },
          [this] { return m_state_changes; }),
      m_config_fetcher(io, time, m_links, settings.m_availability_zone,
                       [this](const cluster_state& update) {
                           apply_state(cluster_state(update), "fetched");
                       }),
      m_turns(io, time, m_links, settings.m_availability_zone,
              settings.m_disk_losses),
      m_staleness_limits{milliseconds(settings.m_revoke_ms),
                         milliseconds(settings.m_apply_ms)},
      m_freshness_poller(
          io, time, m_links,
          {[this] { return freshness_sources(); },
           [this] { return m_config_revision; },
           [this](const std::string& source, std::uint64_t revision) {
               m_config_fetcher.note_announced(source, revision);
           },
           max_source_age(m_staleness_limits)}),
      m_quota(io, time, m_links),
      m_cold(time, m_quota, settings.m_cold_excess, settings.m_cold_slack),
      m_placements(io, time, m_links, settings.m_place_from_tokens),
      m_proxy(io, time, std::move(names), settings.m_availability_zone,
              m_turns),
      m_status(
          io,
          [this] {
              return m_proxy.has_config() && m_turns.connected() &&
                     !m_stopping && !config_outdated();
          },
          [this] { return metrics_text(); }),
      m_metrics(
          io, [] { return true; }, [this] { return metrics_text(); })
{}

std::string edge_node::metrics_text() const
{
    auto out = m_proxy.metrics_text();
    m_connectivity.write_metrics(out);
    write_metric(out, "runner_entries_told", m_entries_received);
    write_metric(out, "runner_entries_read", m_entries_read);
    write_metric(out, "config_revision", m_config_revision);
    write_age(out, "config_age_ms", config_age());
    write_age(out, "storage_heard_age_ms", storage_heard_age());
    write_metric(out, "following_store", m_own_source ? 1 : 0);
    write_refused_heads(out, "refused_heads");
    return out;
}

bool edge_node::start(std::string& reason)
{
    error_code ec;
    const auto callers = parse_endpoint(m_settings.m_callers_address, ec);
    if (ec)
    {
        reason = "[listen] callers: " + ec.message();
        return false;
    }
    const auto ready = parse_endpoint(m_settings.m_ready_address, ec);
    if (ec)
    {
        reason = "[listen] ready: " + ec.message();
        return false;
    }
    if (!m_proxy.listen(callers, reason) || !m_status.listen(ready, reason) ||
        !m_connectivity.start(reason))
        return false;
    m_metrics.listen_optional(m_settings.m_metrics_address);
    m_proxy.set_memory_limit(m_settings.m_memory_mb);
    m_proxy.set_descriptor_limit(descriptor_limit(m_settings.m_descriptors),
                                 m_settings.m_connections_per_address);
    m_proxy.enable_workspace_admission(
        {[this] { return config_age(); }, m_staleness_limits, &m_quota});
    m_proxy.set_zones(m_settings.m_zones);
    m_turns.set_zones(m_settings.m_zones);
    m_proxy.set_placement_client(m_placements);
    m_proxy.set_cold_client(m_cold);
    m_proxy.set_random_seed(hash64(m_settings.m_name));
    m_links.on_state([this](const std::string& from, cluster_state&& update) {
        const auto revision = update.m_config_revision;
        apply_received_state(std::move(update), from);
        m_config_fetcher.note_announced(from, revision);
    });
    m_links.on_suspects([this](const std::vector<suspect>& rows) {
        m_proxy.learn_suspects(rows);
    });
    m_proxy.crashes().on_report(
        [this](suspect row) { return report_suspect(row); });
    m_source.on_state(
        [this](const cluster_state& update) { apply_store_state(update); });
    m_connectivity.on_state([this](const cluster_state& update) {
        apply_received_state(cluster_state(update), "relay_peer");
        // A long configuration is fetched through a relay peer as well.
        for (const auto& row : m_members)
            m_config_fetcher.note_announced(row.m_name,
                                            update.m_config_revision);
    });
    m_started = m_time.now();
    m_list_progress = m_started;
    m_links.set_max_persistent(m_settings.m_kept_links);
    const auto known_runners = [this] { return m_state.m_runners_revision; };
    m_links.on_hello(known_runners);
    m_connectivity.on_hello(known_runners);
    m_links.connect_seeds(m_settings.m_seeds);
    // Before the fleet is bootstrapped the store has no views.
    if (!m_settings.m_bootstrap)
        spawn(m_io, "edge_node.find_members", find_members());
    spawn(m_io, "edge_node.hasten_news", speed_up_first_updates());
    return true;
}

task<> edge_node::find_members()
{
    co_await sleep_for(m_io, seed_reply_delay);
    if (m_state.m_views.empty())
        co_await m_source.read_views();
}

task<> edge_node::speed_up_first_updates()
{
    while (!m_proxy.has_config() &&
           m_time.now() - m_started < first_update_span)
    {
        choose_update_sources();
        co_await sleep_for(m_io, first_update_interval);
    }
}

task<> edge_node::report_suspect(suspect row)
{
    const auto known = std::make_shared<async_event>(m_io);
    const auto replied = std::make_shared<bool>(false);
    for (const auto& member : m_members)
    {
        if (m_links.reachable_directly(member.m_name))
            m_links.call(member.m_name, 0, suspects_message{{row}},
                         [known, replied](const std::optional<frame>& reply) {
                             *replied = *replied || reply;
                             known->notify();
                         });
    }
    const auto deadline = m_time.now() + report_timeout;
    while (!*replied && m_time.now() < deadline)
        co_await known->wait_until(deadline);
}

void edge_node::apply_received_state(cluster_state&& update,
                                     const std::string& from)
{
    m_entries_received += update.m_runners.size();
    note_list(update);
    apply_state(std::move(update), from);
}

void edge_node::note_list(const cluster_state& update)
{
    if (!update.m_range)
        return;
    m_list_in_parts = true;
    m_list_progress = m_time.now();
}

void edge_node::apply_store_state(const cluster_state& update)
{
    m_entries_read += update.m_runners.size();
    apply_state(cluster_state(update), "store");
}

void edge_node::apply_state(cluster_state&& update, const std::string& from)
{
    const auto change = merge_state(m_state, std::move(update));
    ++m_state_changes;
    m_config_fetcher.note_known(m_state.m_config_revision);
    if (change.m_config)
    {
        std::string reason;
        auto config = m_decoders.m_config(m_state.m_config, reason);
        if (config)
        {
            m_config_revision = m_state.m_config_revision;
            LOG(INFO) << "event=config_received revision=" << m_config_revision
                      << " from=" << from;
            m_proxy.apply_config(std::move(*config), m_config_revision);
            m_freshness_poller.note_config(m_config_revision);
            m_freshness_poller.set_enabled(true);
        }
        else
            LOG(ERROR) << "event=config_unreadable revision="
                       << m_state.m_config_revision << " reason=\"" << reason
                       << '"';
    }
    if (!change.m_runners.empty())
        decode_runners(m_state, change.m_runners, m_decoders,
                       [this](const std::vector<runner_change>& batch) {
                           m_proxy.apply_runner_changes(batch);
                       });
    if (!change.m_evacuations.empty())
        m_proxy.evacuate(evacuated_zones(m_state));
    if (!change.m_views.empty())
        apply_views();
    if (change.any() && m_connectivity.has_subscribers())
        m_connectivity.send_updates(changed_parts(m_state, change));
    m_memory_freed = m_memory_freed || change.m_runners.size() >= long_update;
}

void edge_node::apply_views()
{
    m_members = members_of(m_state.m_views);
    LOG(INFO) << "event=views_taken sets=" << m_state.m_views.size()
              << " members=" << m_members.size();
    // The first VM to be connected must already know whether this VM
    // subscribes to it.
    if (!std::exchange(m_subscribed, true))
        m_subscribed_at = m_time.now();
    choose_update_sources();
    m_links.set_members(m_members);
    m_connectivity.set_members(m_members);
    choose_update_sources();
    m_config_fetcher.set_members(m_members);
    m_turns.follow(m_state.m_views);
    m_quota.set_members(m_members);
    m_placements.set_members(m_members);
}

std::vector<std::string> edge_node::freshness_sources() const
{
    std::vector<std::pair<int, std::string>> ranked;
    for (const auto& row : m_members)
    {
        if (!m_links.connected(row.m_name))
            continue;
        // A VM that has just started knows no watcher yet; every storage VM
        // can reply, only with a greater age.
        const bool watches = m_links.watches_store(row.m_name);
        const bool far =
            row.m_availability_zone != m_settings.m_availability_zone;
        const bool linked = m_links.reachable_directly(row.m_name);
        ranked.emplace_back(
            (linked ? 0 : 4) + (watches ? 0 : 2) + (far ? 1 : 0), row.m_name);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> out;
    out.reserve(ranked.size());
    for (auto& [rank, name] : ranked)
        out.push_back(std::move(name));
    return out;
}

milliseconds edge_node::storage_heard_age() const
{
    return age_of(m_links.store_last_seen(), m_time.now());
}

milliseconds edge_node::config_age() const
{
    auto at = m_freshness_poller.freshness().m_config_confirmed_at;
    const auto& own = m_source.freshness();
    if (own.m_config_revision <= m_config_revision)
        at = std::max(at, own.m_freshness.m_config_confirmed_at);
    return age_of(at, m_time.now());
}

bool edge_node::config_outdated() const
{
    return m_proxy.requires_keys() &&
           config_age() > max_use_age(m_staleness_limits);
}

bool edge_node::usable_source(const std::string& name) const
{
    // While a list takes all of this VM's link, the sources' heartbeats wait
    // behind it. Others would send the same list over the same link.
    const bool list_arriving =
        m_list_in_parts &&
        elapsed(m_list_progress, m_time.now()) < list_progress_timeout;
    return list_arriving && m_links.subscribed_to(name)
               ? !m_links.failed(name)
               : m_links.may_send_updates(name);
}

void edge_node::choose_update_sources()
{
    if (!m_subscribed)
        return;
    auto sources = choose_sources(
        m_members, m_settings.m_name, m_settings.m_availability_zone,
        [this](const std::string& name) { return usable_source(name); },
        m_settings.m_zones);
    // All are silent: either each is frozen, or this VM was.
    if (sources.empty() && !m_members.empty())
        return;
    // Completed by its last part, or by whatever else is complete.
    const bool has_list = m_list_in_parts ? m_state.m_runners_revision > 0
                                          : !m_state.m_runners.empty();
    const auto target_count =
        target_source_count({m_members.size() > m_settings.m_kept_links,
                             has_list && m_proxy.has_config(),
                             elapsed(m_list_progress, m_time.now())});
    sources.resize(std::min(sources.size(), target_count));
    m_links.subscribe(std::move(sources));
}

void edge_node::confirm_config()
{
    const auto age = config_age();
    const bool left_alone =
        m_own_source ||
        (m_subscribed && m_time.now() - m_subscribed_at >= start_delay());
    if (!m_confirming && m_proxy.has_config() && left_alone)
    {
        m_confirming = true;
        freshness_requirement need;
        need.m_required = true;
        need.m_while_paused = true;
        need.m_max_age = max_relayed_age(m_staleness_limits);
        need.m_confirmed_elsewhere = [this] {
            return m_freshness_poller.freshness().m_config_confirmed_at;
        };
        m_source.keep_fresh(std::move(need));
    }
    const bool outdated =
        m_confirming && age > m_staleness_limits.m_max_apply_delay;
    if (outdated == m_config_unconfirmed)
        return;
    m_config_unconfirmed = outdated;
    LOG(INFO) << (outdated ? "event=config_unconfirmed"
                           : "event=config_confirmed")
              << " config_age_ms=" << age_text(age)
              << " config_revision=" << m_config_revision
              << " last_confirmed_by=" << m_freshness_poller.confirmed_by()
              << " storage_heard_age_ms=" << age_text(storage_heard_age());
}

milliseconds edge_node::start_delay() const
{
    return store_read_delay(m_members.size() > m_settings.m_kept_links,
                            m_turns.connected());
}

void edge_node::choose_source()
{
    const auto now = m_time.now();
    const bool relayed =
        storage_heard_age() < max_unheard_time(m_staleness_limits);
    if (!relayed && now - m_started < start_delay())
        return;
    if (relayed != m_own_source)
        return;
    m_own_source = !relayed;
    LOG(INFO) << "event=source_chosen source=" << (relayed ? "relay" : "store")
              << " storage_heard_age_ms=" << age_text(storage_heard_age())
              << " config_age_ms=" << age_text(config_age())
              << " config_revision=" << m_config_revision;
    if (relayed)
        m_source.pause();
    else
        m_source.start();
}

void edge_node::note_suspects()
{
    if (m_proxy.crashes().told())
        return;
    const bool hears = std::any_of(
        m_members.begin(), m_members.end(), [this](const member& row) {
            return m_links.subscribed_to(row.m_name) &&
                   m_links.reachable_directly(row.m_name);
        });
    const auto now = m_time.now();
    if (!hears)
        m_hears_since.reset();
    else if (!m_hears_since)
        m_hears_since = now;
    if (!m_hears_since || elapsed(*m_hears_since, now) < suspects_spread)
        return;
    m_proxy.crashes().note_told();
    LOG(INFO) << "event=suspects_told after_ms="
              << elapsed(m_started, now).count()
              << " known=" << m_proxy.crashes().suspect_count();
}

void edge_node::tick()
{
    const bool callers_freed = m_proxy.tick();
    if (std::exchange(m_memory_freed, false) || callers_freed)
        return_freed_memory();
    confirm_config();
    choose_source();
    choose_update_sources();
    note_suspects();
    m_connectivity.tick();
}

void edge_node::stop()
{
    if (std::exchange(m_stopping, true))
        return;
    LOG(INFO) << "event=stop_begun active=" << m_proxy.active_requests();
    m_proxy.begin_drain();
    m_connectivity.stop_relaying();
    spawn(m_io, "edge_node.drain", drain());
}

task<> edge_node::drain()
{
    const auto begun = m_time.now();
    const auto deadline =
        begun + std::chrono::seconds(m_settings.m_grace_s) - exit_margin;
    while (m_time.now() < deadline)
    {
        if (m_time.now() >= begun + accept_after_stop)
        {
            // If many VMs stop at once, the load balancer keeps using them; it
            // retries a refused connection elsewhere at once.
            m_proxy.stop_accepting();
            m_proxy.close_idle();
            if (m_proxy.active_requests() == 0)
                break;
        }
        co_await sleep_for(m_io, drain_check);
    }
    LOG(INFO) << "event=stop_done active=" << m_proxy.active_requests() << ' '
              << describe(m_proxy.unfinished());
    m_io.stop();
}

} // namespace pepperturn
