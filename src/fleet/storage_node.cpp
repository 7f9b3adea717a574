// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_node.hpp"

#include <algorithm>
#include <glog/logging.h>
#include <random>
#include <thread>

namespace pepperturn {

namespace {

/// A sixteenth of the smallest disk, so that space comes back in steps.
constexpr std::uint32_t segment_bytes = 16U << 20U;
constexpr milliseconds beat_interval{500};
constexpr milliseconds expiry_interval{2000};
/// Of the tolerances for limits that are given out, see limiter_settings.
constexpr double spare_share = 0.9;
constexpr double excess_share = 0.75;
/// Edge VMs that start beside this one ask for what it knows, and can serve
/// nothing before; a configuration of a thousand routes takes a tenth of a
/// second to read on a small share of a core.
constexpr milliseconds first_answers{30};
/// The loop has its turn after each stretch that is read of the disk; all
/// pauses together are some tens of milliseconds.
constexpr milliseconds load_pause{1};
/// A storage VM that is no seed hears of the fleet from one by then; else it
/// takes part in founding it.
constexpr milliseconds founders_patience{5000};
/// Answers under way go out before the process ends.
constexpr milliseconds stop_linger{150};

std::uint64_t draw_identity()
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
                           state_decoders decoders, world_source& source)
    : m_io(io), m_time(time), m_settings(settings), m_source(source),
      m_status(
          io, [this] { return m_loaded; }, [this] { return metrics_text(); }),
      m_links(io, time, settings.m_name),
      m_config_fetcher(io, time, m_links, settings.m_availability_zone,
                       [this](const cluster_state& news) { take_state(news); }),
      m_decoders(std::move(decoders)),
      m_freshness_keeper(
          io, time, m_links,
          {[this] { return freshness_sources(); },
           [this] { return m_server->state().m_config_revision; },
           [this](const std::string& source, std::uint64_t revision) {
               m_config_fetcher.note_announced(source, revision);
           },
           true}),
      m_staleness_limits{milliseconds(settings.m_revoke_ms),
                         milliseconds(settings.m_apply_ms)},
      m_limiter({.m_slack = spare_share * settings.m_quota_slack,
                 .m_excess = excess_share * settings.m_quota_excess}),
      m_places(time, settings.m_zones)
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
        // On one core it would hold up the loop for as long as it reads, and
        // with it all that ask what this VM knows of the world.
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
        // What it lacks may have counted: it joins like an empty disk.
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
    spawn(m_io, "storage_node.membership", look_after_membership());
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
    // After what the VM is for, should both name the same port.
    m_status.listen_beside(m_settings.m_metrics_address);
    return true;
}

std::string storage_node::metrics_text() const
{
    std::string out;
    if (m_loaded)
    {
        write_metric(out, "turns", m_store->turn_count());
        write_metric(out, "programs", m_store->program_count());
    }
    const auto heard = store_heard();
    if (heard != instant{})
        write_metric(out, "store_age_ms",
                     static_cast<std::uint64_t>((m_time.now() - heard) /
                                                milliseconds(1)));
    write_metric(out, "watching_store", m_source.running() ? 1 : 0);
    write_metric(out, "limited_workspaces", m_limiter.size());
    for (const auto outcome :
         {quota_outcome::granted, quota_outcome::over_limit,
          quota_outcome::not_owner})
        write_metric(out, std::string("quota_") + to_string(outcome),
                     m_limiter.count(outcome));
    m_places.write_metrics(out);
    out += workspace_text();
    m_server->write_metrics(out);
    return out;
}

bool storage_node::start(std::string& reason)
{
    m_started = m_time.now();
    m_log = std::make_unique<turn_log>(m_settings.m_data_folder, segment_bytes);
    m_store = std::make_unique<turn_store>(*m_log);
    m_fresh_disk = draw_identity();
    const auto identity = m_log->identity(m_fresh_disk, reason);
    if (!identity)
        return false;
    m_disk = *identity;
    m_server = std::make_unique<turn_server>(m_io, m_time, m_settings.m_name,
                                             *m_log, *m_store);
    if (!listen(reason))
        return false;
    m_server->on_change([this](const state_change& change) {
        if (!change.m_views.empty())
            follow_views();
        if (change.m_config && m_answering)
            follow_config();
        if (!change.m_runners.empty())
            m_places.take_changes(decode_runners(m_server->state(),
                                                 change.m_runners, m_decoders));
        if (!change.m_evacuations.empty())
            m_places.evacuate(evacuated_zones(m_server->state()));
    });
    m_server->on_request([this](std::uint64_t asker, const frame_body& question,
                                const turn_server::reply_sender& reply) {
        return answer(asker, question, reply);
    });
    m_server->on_disconnect(
        [this](std::uint64_t asker) { m_places.note_gone(asker); });
    m_links.on_hello([this] { return m_server->state().m_runners_revision; });
    m_links.on_state(
        [this](const std::string& from, const cluster_state& news) {
            take_state(news);
            m_source.learn(news);
            m_config_fetcher.note_announced(from, news.m_config_revision);
        });
    m_source.on_state([this](const cluster_state& news) { take_state(news); });
    m_server->load_state();
    // What is on the disk says whose the limits were until now.
    const auto& kept = m_server->state();
    m_owners = restore_knowledge(
        kept.m_views, kept.m_settled_epoch == newest_epoch(kept), m_started,
        m_staleness_limits.m_max_revoke_delay);
    // An entry that lapsed while every VM was down has time to come back.
    m_source.learn(m_server->state());
    if (m_settings.m_bootstrap && m_server->state().m_views.empty())
        m_source.await_founding();
    // In a large fleet that starts anew, the watchers alone read the store.
    if (m_watch_order.size() > m_settings.m_kept_links)
        choose_watching();
    // Seeds found the fleet, and tell the others.
    else if (may_found() || !m_watch_order.empty())
        m_source.start();
    else
        m_links.connect_seeds(m_settings.m_seeds);
    load_disk();
    spawn(m_io, "storage_node.follow_config", follow_first_config());
    return true;
}

task<> storage_node::follow_first_config()
{
    co_await sleep_for(m_io, first_answers);
    m_answering = true;
    follow_config();
}

void storage_node::take_state(const cluster_state& news)
{
    m_server->apply_state(news);
    m_config_fetcher.note_known(m_server->state().m_config_revision);
}

void storage_node::follow_views()
{
    const auto members = members_of(m_server->state().m_views);
    m_watch_order = watch_order(members);
    const auto watchers = m_watch_order.begin() +
                          static_cast<std::ptrdiff_t>(
                              std::min(m_watch_order.size(), watch_candidates));
    m_news_sources =
        storage_sources(members, m_settings.m_name, m_settings.m_kept_links);
    // The watchers' beats tell how old the news are, whoever passes them on.
    std::set<std::string> heard(m_watch_order.begin(), watchers);
    heard.insert(m_news_sources.begin(), m_news_sources.end());
    std::vector<member> wanted;
    for (const auto& row : members)
    {
        if (find_member(m_server->own_view(), row.m_name) != nullptr ||
            heard.contains(row.m_name))
            wanted.push_back(row);
    }
    const auto takeover = m_staleness_limits.m_max_revoke_delay;
    if (!apply_views(m_owners, m_server->state().m_views, m_time.now(),
                     takeover))
        LOG(WARNING) << "event=views_missed owners=unknown for_ms="
                     << takeover.count();
    choose_news();
    m_links.set_members(wanted);
    m_config_fetcher.set_members(members);
}

void storage_node::choose_news()
{
    const bool silent = std::none_of(
        m_news_sources.begin(), m_news_sources.end(),
        [this](const auto& name) { return m_links.may_reach(name); });
    // All that pass the news on in this zone are away: the watchers tell.
    const auto watchers = std::min(m_watch_order.size(), watch_candidates);
    m_links.subscribe(silent ? std::vector<std::string>(
                                   m_watch_order.begin(),
                                   m_watch_order.begin() +
                                       static_cast<std::ptrdiff_t>(watchers))
                             : m_news_sources);
}

bool storage_node::may_found() const
{
    const auto& seeds = m_settings.m_seeds;
    return !m_settings.m_bootstrap || seeds.empty() ||
           std::find(seeds.begin(), seeds.end(), m_settings.m_frames_address) !=
               seeds.end() ||
           m_time.now() - m_started >= founders_patience;
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
    // Before there are views, nobody can tell whom to hear.
    const auto facts = gather_watch_facts();
    const bool wanted =
        m_watch_order.empty() ? may_found() : should_watch(facts);
    if (wanted == m_source.running())
        return;
    LOG(INFO) << "event=watching_chosen watching=" << wanted
              << " position=" << facts.m_position.value_or(m_watch_order.size())
              << " fresh_watchers=" << facts.m_fresh_watchers
              << " too_few_for_ms=" << facts.m_too_few_for.count();
    if (wanted)
        m_source.start();
    else
        m_source.pause();
}

instant storage_node::store_heard() const
{
    const auto own = m_source.synced() ? m_source.last_heard() : instant{};
    // Only from those that watch: what others pass on would go in circles.
    return std::max(own, m_links.store_last_watched());
}

void storage_node::tick()
{
    const auto now = m_time.now();
    note_isolation();
    choose_watching();
    if (!m_news_sources.empty())
        choose_news();
    keep_fresh();
    m_places.tick();
    if (now >= m_next_beat)
    {
        m_next_beat = now + beat_interval;
        m_source.note_heard_elsewhere(m_links.store_last_watched());
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - store_heard());
        constexpr milliseconds most{UINT32_MAX};
        m_server->send_heartbeat(std::min(age, most), m_source.running());
    }
    if (now >= m_next_expiry)
    {
        m_next_expiry = now + expiry_interval;
        if (is_settled(m_owners, now, m_staleness_limits.m_max_revoke_delay))
            m_server->mark_settled();
        m_server->save_state();
        if (m_loaded)
            m_store->expire(now);
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
