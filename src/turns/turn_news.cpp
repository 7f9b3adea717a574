// SPDX-License-Identifier: BSL-1.0
// What a storage VM knows of the world: whom it tells, and what it keeps of it
// on its disk.
#include "pepperturn/cluster/relay_peers.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Who looks for members asks a seed, and so do all VMs that start at once: of
/// a longer list of runners it hears from its sources only, and the seeds'
/// links stay free.
constexpr std::size_t most_runners_for_seekers = 1000;
constexpr const char* state_file = "state";

/// What is known, as the frame that tells it.
std::string encode_state(const cluster_state& state)
{
    constexpr std::size_t length_bytes = 4;
    return encode_frame({0, 0, frame_status::ok, state}).substr(length_bytes);
}

std::optional<cluster_state> decode_state(const std::string& bytes,
                                          std::string& reason)
{
    auto value = decode_frame(bytes, reason);
    if (!value || !std::holds_alternative<cluster_state>(value->m_body))
        return std::nullopt;
    return std::get<cluster_state>(std::move(value->m_body));
}

} // namespace

void turn_server::handle_hello(const std::shared_ptr<peer>& from,
                               const hello_message& hello)
{
    from->m_name = hello.m_name;
    from->m_relay = {hello.m_name, hello.m_relay_address,
                     hello.m_availability_zone};
    if (hello.m_seeks_members &&
        m_state.m_runners.size() > most_runners_for_seekers)
    {
        auto news = full_state(m_state);
        news.m_runners.clear();
        news.m_runners_revision = 0;
        send_reply(from, 0, frame_status::ok, std::move(news));
        return;
    }
    const bool wanted = std::exchange(from->m_subscribed, hello.m_subscribes);
    if (from->m_subscribed && !wanted)
        send_full_update(*from, hello.m_known_runners);
}

void turn_server::send_full_update(const peer& to, std::uint64_t known)
{
    // Hundreds may ask at the same moment, most of them for the same.
    const auto epoch = m_own_view.m_epoch;
    const bool same = m_full_update && m_full_update->m_changes == m_changes &&
                      m_full_update->m_known == known &&
                      m_full_update->m_epoch == epoch;
    if (!same)
        m_full_update = encoded_update{
            m_changes, known, epoch,
            std::make_shared<const std::string>(encode_frame(
                {0, epoch, frame_status::ok, updates_since(m_state, known)}))};
    m_update_bytes += m_full_update->m_bytes->size();
    to.m_link->send(m_full_update->m_bytes);
}

relay_peers_message turn_server::relay_peers_for(const peer& asker) const
{
    std::vector<relay_peer> candidates;
    candidates.reserve(m_peers.size());
    for (const auto& row : m_peers)
        candidates.push_back(row->m_relay);
    return {choose_relay_peers(candidates, asker.m_name,
                               asker.m_relay.m_availability_zone)};
}

void turn_server::apply_state(const cluster_state& news)
{
    const auto change = merge_state(m_state, news);
    if (!change.any())
        return;
    m_state_saved = false;
    ++m_changes;
    const auto* home = find_replica_set(m_state.m_views, m_name);
    const auto own = home == nullptr ? cluster_view{} : *home;
    if (own != m_own_view)
    {
        m_own_view = own;
        save_own_view();
    }
    LOG(INFO) << "event=state_taken config_revision="
              << m_state.m_config_revision
              << " runners_revision=" << m_state.m_runners_revision
              << " runners=" << count_runners(m_state)
              << " moved=" << change.m_runners.size()
              << " views_moved=" << change.m_views.size()
              << " set=" << m_own_view.m_set << " epoch=" << m_own_view.m_epoch;
    send_change(change);
    if (m_on_change)
        m_on_change(change);
}

void turn_server::send_change(const state_change& change)
{
    auto parts = changed_parts(m_state, change);
    // Whoever listens has been told all up to there.
    if (m_sent_runners_revision > 0)
    {
        parts.m_runners_since = m_sent_runners_revision;
        parts.m_runners_revision = m_state.m_runners_revision;
    }
    m_sent_runners_revision = m_state.m_runners_revision;
    const auto bytes = std::make_shared<const std::string>(
        encode_frame({0, m_own_view.m_epoch, frame_status::ok, parts}));
    for (const auto& row : std::set(m_peers))
    {
        if (!row->m_subscribed)
            continue;
        m_update_bytes += bytes->size();
        row->m_link->send(bytes);
    }
}

void turn_server::save_own_view()
{
    // After a restart it must not act under an older view than before.
    std::string reason;
    if (m_log.write_file(state_file, encode_state(m_state), reason))
        return;
    m_disk_good = false;
    LOG(ERROR) << "event=disk_failed reason=\"" << reason << '"';
}

void turn_server::load_state()
{
    const auto bytes = m_log.read_file(state_file);
    if (bytes.empty())
        return;
    std::string reason;
    const auto state = decode_state(bytes, reason);
    if (!state)
    {
        LOG(ERROR) << "event=state_unreadable reason=\"" << reason << '"';
        return;
    }
    apply_state(*state);
    m_state.m_settled_epoch = state->m_settled_epoch;
    m_state.m_tombstones_since = state->m_tombstones_since;
    m_state_saved = true;
}

void turn_server::mark_settled()
{
    const auto newest = newest_epoch(m_state);
    if (m_state.m_settled_epoch == newest)
        return;
    m_state.m_settled_epoch = newest;
    m_state_saved = false;
}

void turn_server::save_state()
{
    if (std::exchange(m_state_saved, true))
        return;
    asio::post(m_writer, [this, bytes = encode_state(m_state)] {
        std::string reason;
        if (!m_log.write_file(state_file, bytes, reason))
            LOG(WARNING) << "event=state_unsaved reason=\"" << reason << '"';
    });
}

void turn_server::send_heartbeat(milliseconds store_age, bool watches)
{
    const auto age = static_cast<std::uint32_t>(store_age.count());
    const auto bytes = std::make_shared<const std::string>(
        encode_frame({0, m_own_view.m_epoch, frame_status::ok,
                      heartbeat_message{age, watches}}));
    for (const auto& row : std::set(m_peers))
        row->m_link->send(bytes);
}

} // namespace pepperturn
