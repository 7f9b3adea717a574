// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_node.hpp"

#include "pepperturn/http/response_head.hpp"
#include <algorithm>
#include <glog/logging.h>
#include <random>
#include <thread>

namespace pepperturn {

namespace {

/// A sixteenth of the smallest disk, so that space comes back in steps.
constexpr std::uint32_t segment_bytes = 16U << 20U;
constexpr milliseconds heartbeat_interval{500};
constexpr milliseconds expiry_interval{2000};
/// Shares of the tolerances for limits that owners grant, see limiter_settings.
constexpr double slack_share = 0.9;
constexpr double excess_share = 0.75;
/// Edge VMs starting at the same time request this VM's state, and can serve
/// nothing before; a configuration of a thousand routes takes a tenth of a
/// second to decode on a small share of a core.
constexpr milliseconds first_replies_delay{30};
/// Pause after each chunk read from disk, so that the event loop can run; all
/// pauses together take some tens of milliseconds.
constexpr milliseconds load_pause{1};
/// A storage VM that is not a seed has learned of the fleet from one by then;
/// otherwise it takes part in the bootstrap.
constexpr milliseconds bootstrap_timeout{5000};
/// Replies in flight are sent before the process ends.
constexpr milliseconds stop_linger{150};

std::uint64_t random_identity()
{
    std::random_device device;
    std::uint64_t value = 0;
    while (value == 0)
        value = std::uint64_t{device()} << 32U | device();
    // Positive in every reader of the view's text.
    return value >> 1U;
}

} // namespace

storage_node::storage_node(asio::io_context& io, const clock& time,
                           const fleet_settings& settings,
                           state_decoders decoders, state_source& source)
    : m_io(io), m_time(time), m_settings(settings), m_source(source),
      m_status(
          io, [this] { return m_loaded; }, [this] { return metrics_text(); }),
      m_links(io, time, settings.m_name),
      m_config_fetcher(
          io, time, m_links, settings.m_availability_zone,
          [this](const cluster_state& update) { apply_state(update); }),
      m_decoders(std::move(decoders)),
      m_staleness_limits{milliseconds(settings.m_revoke_ms),
                         milliseconds(settings.m_apply_ms)},
      m_freshness_poller(
          io, time, m_links,
          {[this] { return freshness_sources(); },
           [this] { return m_server->state().m_config_revision; },
           [this](const std::string& source, std::uint64_t revision) {
               m_config_fetcher.note_announced(source, revision);
           },
           max_source_age(m_staleness_limits), true}),
      m_limiter({.m_slack = slack_share * settings.m_quota_slack,
                 .m_excess = excess_share * settings.m_quota_excess}),
      m_placements(time, settings.m_zones)
{}

storage_node::~storage_node()
{
    m_loader.join();
}

void storage_node::load_disk()
{
    asio::post(m_loader, [this] {
        bool damaged = false;
        std::string reason;
        // On one core, reading without pauses would block the loop, and with
        // it all VMs that request this VM's state.
        const auto pause = [] { std::this_thread::sleep_for(load_pause); };
        if (m_store->load(m_time.now(), damaged, reason, pause))
            reason.clear();
        else if (reason.empty())
            reason = "unreadable";
        asio::post(m_io,
                   [this, damaged, reason] { disk_loaded(damaged, reason); });
    });
}

void storage_node::disk_loaded(bool damaged, const std::string& reason)
{
    std::string fault = reason;
    if (damaged && fault.empty())
    {
        // Lost records may have been needed for a quorum: the VM joins as with
        // an empty disk.
        LOG(ERROR) << "event=disk_damaged disk=" << m_disk;
        if (m_log->set_identity(m_fresh_disk, fault))
            m_disk = m_fresh_disk;
    }
    if (!fault.empty())
    {
        LOG(ERROR) << "event=disk_failed reason=\"" << fault << '"';
        return;
    }
    LOG(INFO) << "event=disk_opened disk=" << m_disk
              << " empty=" << (m_disk == m_fresh_disk)
              << " turns=" << m_store->turn_count()
              << " programs=" << m_store->program_count()
              << " ms=" << (m_time.now() - m_started) / milliseconds(1);
    m_loaded = true;
    m_server->open(m_disk);
    spawn(m_io, "storage_node.membership", maintain_membership());
}

bool storage_node::listen(std::string& reason)
{
    error_code ec;
    const auto frames = parse_endpoint(m_settings.m_frames_address, ec);
    if (ec)
    {
        reason = "[listen] frames: " + ec.message();
        return false;
    }
    if (!m_server->listen(frames, reason))
        return false;
    // After the frames' listener, which has priority if both name one port.
    m_status.listen_optional(m_settings.m_metrics_address);
    return true;
}

std::string storage_node::metrics_text() const
{
    std::string out;
    if (m_loaded)
    {
        write_metric(out, "turns", m_store->turn_count());
        write_metric(out, "programs", m_store->program_count());
        write_metric(out, "unconfirmed_expiries", m_unconfirmed_expiries);
    }
    const auto last_contact = last_store_contact();
    if (last_contact != instant{})
        write_metric(out, "store_age_ms",
                     static_cast<std::uint64_t>((m_time.now() - last_contact) /
                                                milliseconds(1)));
    write_metric(out, "watching_store", m_source.running() ? 1 : 0);
    write_metric(out, "limited_workspaces", m_limiter.size());
    for (const auto outcome :
         {quota_outcome::granted, quota_outcome::over_limit,
          quota_outcome::not_owner})
        write_metric(out, std::string("quota_") + to_string(outcome),
                     m_limiter.count(outcome));
    m_placements.write_metrics(out);
    out += workspace_text();
    m_copier->write_metrics(out);
    m_server->write_metrics(out);
    write_refused_heads(out, "refused_heads");
    return out;
}

bool storage_node::start(std::string& reason)
{
    m_started = m_time.now();
    m_log = std::make_unique<turn_log>(m_settings.m_data_folder, segment_bytes);
    m_store = std::make_unique<turn_store>(*m_log);
    m_fresh_disk = random_identity();
    const auto identity = m_log->identity(m_fresh_disk, reason);
    if (!identity)
        return false;
    m_disk = *identity;
    m_server = std::make_unique<turn_server>(m_io, m_time, m_settings.m_name,
                                             *m_log, *m_store);
    m_copier = std::make_unique<turn_copier>(m_io, m_time, m_links, *m_server,
                                             *m_store);
    if (!listen(reason))
        return false;
    m_server->on_change([this](const state_change& change) {
        if (!change.m_views.empty())
            update_connections();
        if (change.m_config && m_answering)
            update_config();
        if (!change.m_runners.empty())
            decode_runners(m_server->state(), change.m_runners, m_decoders,
                           [this](const std::vector<runner_change>& batch) {
                               m_placements.apply_changes(batch);
                           });
        if (!change.m_evacuations.empty())
            m_placements.evacuate(evacuated_zones(m_server->state()));
    });
    m_server->on_request([this](std::uint64_t requester,
                                const frame_body& request,
                                const turn_server::reply_sender& reply) {
        return handle_request(requester, request, reply);
    });
    // What a subscriber reports reaches the VMs that this one subscribes to.
    m_server->on_suspects([this](const std::vector<suspect>& news) {
        for (const auto& source : m_update_sources)
            m_links.notify(source, suspects_message{news});
    });
    m_links.on_suspects([this](const std::vector<suspect>& rows) {
        m_server->apply_suspects(rows);
    });
    m_server->on_disconnect([this](std::uint64_t requester) {
        m_placements.release_connection(requester);
    });
    m_links.on_hello([this] { return m_server->state().m_runners_revision; });
    m_links.on_state(
        [this](const std::string& from, const cluster_state& update) {
            apply_state(update);
            m_source.merge_remote_state(update);
            m_config_fetcher.note_announced(from, update.m_config_revision);
        });
    m_source.on_state(
        [this](const cluster_state& update) { apply_state(update); });
    m_server->load_state();
    // The stored views tell which VMs owned the limits until now.
    const auto& stored = m_server->state();
    m_owners = restore_knowledge(
        stored.m_views, stored.m_settled_epoch == newest_epoch(stored),
        m_started, m_staleness_limits.m_max_revoke_delay);
    // An entry that expired while all VMs were down has time to be renewed.
    m_source.merge_remote_state(m_server->state());
    if (m_settings.m_bootstrap && m_server->state().m_views.empty())
        m_source.await_bootstrap();
    // In a large fleet that restarts, only the watchers read the store.
    if (m_watch_order.size() > m_settings.m_kept_links)
        choose_watching();
    // Seeds bootstrap the fleet, and send their state to the others.
    else if (may_bootstrap() || !m_watch_order.empty())
        m_source.start();
    else
        m_links.connect_seeds(m_settings.m_seeds);
    load_disk();
    spawn(m_io, "storage_node.follow_config", load_first_config());
    return true;
}

task<> storage_node::load_first_config()
{
    co_await sleep_for(m_io, first_replies_delay);
    m_answering = true;
    update_config();
}

void storage_node::apply_state(const cluster_state& update)
{
    m_server->apply_state(update);
    m_config_fetcher.note_known(m_server->state().m_config_revision);
}

void storage_node::update_connections()
{
    const auto members = members_of(m_server->state().m_views);
    m_watch_order = watch_order(members);
    const auto watchers = m_watch_order.begin() +
                          static_cast<std::ptrdiff_t>(
                              std::min(m_watch_order.size(), watch_candidates));
    m_update_sources =
        storage_sources(members, m_settings.m_name, m_settings.m_kept_links);
    // The watchers' heartbeats carry the age of the state, whichever VM
    // forwards the updates.
    std::set<std::string> required(m_watch_order.begin(), watchers);
    required.insert(m_update_sources.begin(), m_update_sources.end());
    // A VM outside all sets looks for the one that has lost a member.
    const auto& own = m_server->own_view();
    std::vector<member> targets;
    for (const auto& row : members)
    {
        if (own.m_members.empty() || find_member(own, row.m_name) != nullptr ||
            required.contains(row.m_name))
            targets.push_back(row);
    }
    const auto takeover = m_staleness_limits.m_max_revoke_delay;
    if (!apply_views(m_owners, m_server->state().m_views, m_time.now(),
                     takeover))
        LOG(WARNING) << "event=views_missed owners=unknown for_ms="
                     << takeover.count();
    choose_update_sources();
    m_links.set_members(targets);
    m_config_fetcher.set_members(members);
}

void storage_node::choose_update_sources()
{
    const bool all_unreachable = std::none_of(
        m_update_sources.begin(), m_update_sources.end(),
        [this](const auto& name) { return m_links.may_send_updates(name); });
    // If no update source of this zone is reachable, subscribe to the watchers.
    const auto watchers = std::min(m_watch_order.size(), watch_candidates);
    m_links.subscribe(
        all_unreachable
            ? std::vector<std::string>(
                  m_watch_order.begin(),
                  m_watch_order.begin() + static_cast<std::ptrdiff_t>(watchers))
            : m_update_sources);
}

bool storage_node::may_bootstrap() const
{
    const auto& seeds = m_settings.m_seeds;
    return !m_settings.m_bootstrap || seeds.empty() ||
           std::find(seeds.begin(), seeds.end(), m_settings.m_frames_address) !=
               seeds.end() ||
           m_time.now() - m_started >= bootstrap_timeout;
}

watch_facts storage_node::gather_watch_facts()
{
    watch_facts facts;
    const auto own = std::find(m_watch_order.begin(), m_watch_order.end(),
                               m_settings.m_name);
    if (own != m_watch_order.end())
        facts.m_position =
            static_cast<std::size_t>(own - m_watch_order.begin());
    const auto before =
        std::min(facts.m_position.value_or(m_watch_order.size()),
                 std::min(m_watch_order.size(), watch_candidates));
    for (std::size_t i = 0; i < before; ++i)
        facts.m_fresh_watchers +=
            m_links.watches_store(m_watch_order[i]) ? 1 : 0;
    const auto now = m_time.now();
    if (facts.m_fresh_watchers >= min_watchers)
        m_too_few_since.reset();
    else if (!m_too_few_since)
        m_too_few_since = now;
    if (m_too_few_since)
        facts.m_too_few_for = elapsed(*m_too_few_since, now);
    return facts;
}

void storage_node::choose_watching()
{
    // Before there are views, no watch order is known.
    const auto facts = gather_watch_facts();
    const bool should_run =
        m_watch_order.empty() ? may_bootstrap() : should_watch(facts);
    if (should_run == m_source.running())
        return;
    LOG(INFO) << "event=watching_chosen watching=" << should_run
              << " position=" << facts.m_position.value_or(m_watch_order.size())
              << " fresh_watchers=" << facts.m_fresh_watchers
              << " too_few_for_ms=" << facts.m_too_few_for.count();
    if (should_run)
        m_source.start();
    else
        m_source.pause();
}

instant storage_node::last_store_contact() const
{
    const auto own = m_source.synced() ? m_source.last_contact() : instant{};
    // Only from watchers: times forwarded by others would circulate. A time at
    // which everything was confirmed does not grow younger by circulating.
    return std::max(
        {own, m_links.store_last_watched(), freshness().m_views_confirmed_at});
}

void storage_node::tell_suspects()
{
    if (!m_loaded)
        return;
    for (const auto& source : m_update_sources)
    {
        const auto number = m_links.live_connection(source);
        auto& told = m_suspects_told[source];
        if (number == 0 || std::exchange(told, number) == number)
            continue;
        auto rows = m_server->suspects();
        if (!rows.empty())
            m_links.notify(source, suspects_message{std::move(rows)});
    }
}

void storage_node::tick()
{
    const auto now = m_time.now();
    detect_isolation();
    choose_watching();
    if (!m_update_sources.empty())
        choose_update_sources();
    update_freshness_polling();
    tell_suspects();
    m_placements.tick();
    if (now >= m_next_heartbeat)
    {
        m_next_heartbeat = now + heartbeat_interval;
        m_source.record_remote_contact(m_links.store_last_watched());
        const auto age = std::chrono::duration_cast<milliseconds>(
            now - last_store_contact());
        constexpr milliseconds max_age{UINT32_MAX};
        m_server->send_heartbeat(std::min(age, max_age), m_source.running());
    }
    if (now >= m_next_expiry)
    {
        m_next_expiry = now + expiry_interval;
        if (is_settled(m_owners, now, m_staleness_limits.m_max_revoke_delay))
            m_server->mark_settled();
        m_server->save_state();
        if (m_loaded && !std::exchange(m_expiring, true))
            spawn(m_io, "storage_node.expire", remove_expired_rows());
    }
}

void storage_node::stop()
{
    if (std::exchange(m_stopping, true))
        return;
    LOG(INFO) << "event=stop_begun";
    spawn(m_io, "storage_node.stop", [](storage_node& self) -> task<> {
        co_await sleep_for(self.m_io, stop_linger);
        (void)co_await self.m_server->synced();
        self.m_server->stop();
        LOG(INFO) << "event=stop_done";
        self.m_io.stop();
    }(*this));
}

} // namespace pepperturn
