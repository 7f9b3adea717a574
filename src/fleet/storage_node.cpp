// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/fleet/storage_node.hpp"

#include <glog/logging.h>
#include <random>

namespace pepperturn {

namespace {

/// A sixteenth of the smallest disk, so that space comes back in steps.
constexpr std::uint32_t segment_bytes = 16U << 20U;
constexpr milliseconds beat_interval{500};
constexpr milliseconds expiry_interval{2000};
constexpr milliseconds membership_interval{150};
/// Ten beats: a restart or a freeze is over by then, a loss is not.
constexpr milliseconds silence_limit{5000};
/// Three beats.
constexpr milliseconds isolation_limit{1600};
constexpr milliseconds copy_patience{2000};
/// Turns in one question: about a megabyte, a few milliseconds of work.
constexpr std::size_t read_batch = 128;
/// Answers under way go out before the process ends.
constexpr milliseconds stop_linger{150};
/// The fleet is founded once nobody has announced itself for this long: VMs
/// start within tenths of a second of each other. Who comes later joins.
constexpr milliseconds founding_quiet{1000};
/// VMs found one after the other, so that one of them usually does it.
constexpr milliseconds founding_step{200};
/// After a change of view was refused, the view that stands there is usually
/// heard of within this; each try is a priced call.
constexpr milliseconds conflict_patience{700};

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
                           const fleet_settings& settings, world_source& source)
    : m_io(io), m_time(time), m_settings(settings), m_source(source),
      m_status(
          io, [this] { return m_loaded; }, [this] { return metrics_text(); }),
      m_links(io, time, settings.m_name),
      m_config_fetcher(io, time, m_links, settings.m_availability_zone,
                       [this](const cluster_state& news) { take_state(news); })
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
        if (m_store->load(m_time.now(), damaged, reason))
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
    });
    m_links.on_state(
        [this](const std::string& from, const cluster_state& news) {
            take_state(news);
            m_source.learn(news);
            m_config_fetcher.note_announced(from, news.m_config_revision);
        });
    m_source.on_state([this](const cluster_state& news) { take_state(news); });
    m_server->load_state();
    // An entry that lapsed while every VM was down has time to come back.
    m_source.learn(m_server->state());
    m_source.start();
    load_disk();
    return true;
}

void storage_node::take_state(const cluster_state& news)
{
    m_server->take_state(news);
    m_config_fetcher.note_known(m_server->state().m_config_revision);
}

void storage_node::follow_views()
{
    const auto members = members_of(m_server->state().m_views);
    m_watch_order = watch_order(members);
    const auto candidates = std::min(m_watch_order.size(), watch_candidates);
    const std::vector<std::string> sources(
        m_watch_order.begin(),
        m_watch_order.begin() + static_cast<std::ptrdiff_t>(candidates));
    std::vector<member> wanted;
    for (const auto& row : members)
    {
        if (find_member(m_server->own_view(), row.m_name) != nullptr ||
            std::find(sources.begin(), sources.end(), row.m_name) !=
                sources.end())
            wanted.push_back(row);
    }
    m_links.subscribe(sources);
    m_links.follow(wanted);
    m_config_fetcher.follow(members);
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
        facts.m_fresh += m_links.watches_store(m_watch_order[i]) ? 1 : 0;
    const auto now = m_time.now();
    if (facts.m_fresh >= least_watchers)
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
    const bool wanted = m_watch_order.empty() || should_watch(facts);
    if (wanted == m_source.running())
        return;
    LOG(INFO) << "event=watching_chosen watching=" << wanted
              << " position=" << facts.m_position.value_or(m_watch_order.size())
              << " fresh_watchers=" << facts.m_fresh
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
    return std::max(own, m_links.store_watched());
}

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
    // Who is outside the set does not listen to its members.
    if (find_member(view, m_settings.m_name) == nullptr)
        return facts;
    for (const auto& row : view.m_members)
    {
        const auto heard = std::max(m_started, m_links.last_heard(row.m_name));
        if (row.m_name == m_settings.m_name)
            continue;
        if (now - heard > silence_limit && now >= m_isolated_until)
            facts.m_silent.insert(row.m_name);
        if (now - heard > isolation_limit || !m_links.connected(row.m_name))
            facts.m_unheard.insert(row.m_name);
    }
    return facts;
}

task<> storage_node::look_after_membership()
{
    while (!m_stopping)
    {
        if (m_server->disk_good() && m_server->state().m_views.empty())
            co_await found_fleet();
        else if (m_server->disk_good())
        {
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

task<> storage_node::found_fleet()
{
    // Only a first start may begin with nothing; else an empty store means
    // that it was read wrongly.
    if (!m_settings.m_bootstrap || !m_source.synced())
        co_return;
    if (!m_announced)
        m_announced = co_await m_source.announce(self());
    auto vms = m_source.announced();
    const auto own =
        std::find_if(vms.begin(), vms.end(), [&](const member& row) {
            return row.m_name == m_settings.m_name;
        });
    if (own == vms.end())
        co_return;
    const auto turn = m_source.last_announced() + founding_quiet +
                      (own - vms.begin()) * founding_step;
    if (m_time.now() < turn)
        co_return;
    auto views = found_sets(std::move(vms), m_settings.m_disk_losses);
    const auto sets = views.size();
    const auto result = co_await m_source.found(std::move(views));
    LOG(INFO) << "event=fleet_founded sets=" << sets
              << " outcome=" << result.m_reason;
    m_next_change = m_time.now() + conflict_patience;
}

std::optional<cluster_view> storage_node::view_to_look_after() const
{
    const auto& own = m_server->own_view();
    if (!own.m_members.empty())
        return own;
    const auto& views = m_server->state().m_views;
    const auto set = set_to_join(views, self(), m_settings.m_disk_losses);
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
    // Whether there is a set that it could join is another matter.
    const auto& views = m_server->state().m_views;
    if (m_server->own_view().m_members.empty() &&
        is_emptied(views.front(), gather_facts(views.front())))
    {
        co_await report_emptied();
        co_return;
    }
    const auto view = view_to_look_after();
    if (!view)
        co_return;
    const auto facts = gather_facts(*view);
    auto next = wanted_view(*view, facts);
    const bool outdated = view->m_epoch <= m_outdated_epoch;
    if (!next || (outdated && m_time.now() < m_next_change))
        co_return;
    const auto result = co_await m_source.swap_view(*next, view->m_epoch);
    LOG(INFO) << "event=view_swap set=" << view->m_set
              << " epoch=" << view->m_epoch
              << " members=" << next->m_members.size()
              << " outcome=" << result.m_reason
              << " next_epoch=" << result.m_epoch;
    if (result.m_outcome != swap_outcome::written)
    {
        m_outdated_epoch = std::max(m_outdated_epoch, view->m_epoch);
        m_next_change = m_time.now() + conflict_patience;
        co_return;
    }
    cluster_state news;
    next->m_epoch = result.m_epoch;
    news.m_views = {std::move(*next)};
    take_state(news);
}

task<bool> storage_node::copy_turns(std::string name,
                                    std::vector<std::uint64_t> positions)
{
    for (std::size_t begin = 0; begin < positions.size(); begin += read_batch)
    {
        const auto end = std::min(begin + read_batch, positions.size());
        const frame_body question = read_message{
            {positions.begin() + static_cast<std::ptrdiff_t>(begin),
             positions.begin() + static_cast<std::ptrdiff_t>(end)}};
        const auto answer =
            co_await m_links.ask(name, m_server->own_view().m_epoch, question,
                                 m_time.now() + copy_patience);
        const auto* entries =
            answer && answer->m_status == frame_status::ok
                ? std::get_if<entries_message>(&answer->m_body)
                : nullptr;
        if (entries == nullptr || entries->m_entries.size() < end - begin)
            co_return false;
        m_server->take_encoded(entries->m_entries);
        if (!co_await m_server->synced())
            co_return false;
    }
    co_return true;
}

task<bool> storage_node::copy_from(std::string name, std::uint64_t epoch,
                                   bool gathered)
{
    std::uint64_t from = 0;
    bool more = true;
    std::size_t copied = 0;
    const auto begun = m_time.now();
    while (more)
    {
        const frame_body question = list_message{from, gathered};
        const auto answer =
            co_await m_links.ask(name, m_server->own_view().m_epoch, question,
                                 m_time.now() + copy_patience);
        if (answer && answer->m_status == frame_status::stale &&
            answer->m_epoch < epoch)
            m_links.tell_view(name, m_server->own_view());
        const auto* page = answer && answer->m_status == frame_status::ok
                               ? std::get_if<listed_message>(&answer->m_body)
                               : nullptr;
        if (page == nullptr || m_server->own_view().m_epoch != epoch)
            co_return false;
        std::vector<std::uint64_t> missing;
        for (const auto& turn : page->m_turns)
        {
            if (!m_store->has_turn(turn.m_key))
                missing.push_back(turn.m_position);
        }
        m_server->take_reservations(page->m_reservations);
        copied += missing.size();
        from = page->m_next;
        more = page->m_more;
        if (!co_await copy_turns(name, std::move(missing)))
            co_return false;
    }
    if (!co_await m_server->synced())
        co_return false;
    const frame_body done = copied_message{};
    const auto answer =
        co_await m_links.ask(name, epoch, done, m_time.now() + copy_patience);
    if (!answer || answer->m_status != frame_status::ok)
        co_return false;
    LOG(INFO) << "event=copied_all from=" << name << " epoch=" << epoch
              << " turns=" << copied
              << " ms=" << (m_time.now() - begun) / milliseconds(1);
    co_return true;
}

task<bool> storage_node::copy_once(std::string name, std::uint64_t epoch,
                                   bool gathered)
{
    if (m_copied_at[name] == epoch)
        co_return true;
    if (!m_links.connected(name))
        co_return false;
    const bool copied = co_await copy_from(name, epoch, gathered);
    if (copied)
        m_copied_at[name] = epoch;
    co_return copied;
}

task<> storage_node::copy_all()
{
    const auto view = m_server->own_view();
    const auto plan =
        plan_copy(view, m_settings.m_name, m_settings.m_disk_losses);
    bool all_required = true;
    for (const auto& name : plan.m_required)
    {
        const bool done =
            co_await copy_once(name, view.m_epoch, plan.m_gathered);
        all_required = all_required && done;
    }
    std::uint32_t count = 0;
    for (const auto& name : plan.m_any)
    {
        if (count >= plan.m_enough)
            break;
        const bool done = co_await copy_once(name, view.m_epoch, false);
        count += done ? 1 : 0;
    }
    if (count >= plan.m_enough && all_required &&
        m_server->own_view().m_epoch == view.m_epoch)
    {
        m_caught_up_at = view.m_epoch;
        m_server->note_gathered(view.m_epoch);
    }
    m_copying = false;
}

void storage_node::note_isolation()
{
    std::uint32_t unheard = 0;
    const auto now = m_time.now();
    for (const auto& row : m_server->own_view().m_members)
    {
        if (row.m_name != m_settings.m_name &&
            row.m_state != member_state::lost &&
            now - m_links.last_heard(row.m_name) > isolation_limit)
            ++unheard;
    }
    // More than may be lost at once: it is this VM that was cut off.
    if (unheard > m_settings.m_disk_losses)
        m_isolated_until = now + silence_limit;
}

void storage_node::tick()
{
    const auto now = m_time.now();
    note_isolation();
    choose_watching();
    if (now >= m_next_beat)
    {
        m_next_beat = now + beat_interval;
        m_source.note_heard_elsewhere(m_links.store_watched());
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - store_heard());
        constexpr milliseconds most{UINT32_MAX};
        m_server->send_beat(std::min(age, most), m_source.running());
    }
    if (now >= m_next_expiry)
    {
        m_next_expiry = now + expiry_interval;
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
