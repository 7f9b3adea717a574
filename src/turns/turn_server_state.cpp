// SPDX-License-Identifier: BSL-1.0
// The cluster state of a storage VM: its subscribers, and the copy on its disk.
#include "pepperturn/cluster/relay_peers.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

/// VMs that look for members contact a seed, all at once when many start
/// together. A longer list of runners is sent to them only by their update
/// sources, so that the links of the seeds are not saturated.
constexpr std::size_t max_runners_for_seekers = 1000;
constexpr const char* state_file = "state";

/// Encodes the state as the frame that sends it, without the length prefix.
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
        m_state.m_runners.size() > max_runners_for_seekers)
    {
        auto update = full_state(m_state);
        update.m_runners.clear();
        update.m_runners_revision = 0;
        send_reply(from, 0, frame_status::ok, std::move(update));
        return;
    }
    const bool was_subscribed =
        std::exchange(from->m_subscribed, hello.m_subscribes);
    if (!from->m_subscribed)
        m_lists.cancel(from->m_link);
    if (!from->m_subscribed || was_subscribed)
        return;
    if (hello.m_accepts_parts &&
        needs_full_list(m_state, hello.m_known_runners))
        m_lists.start(from->m_link, from->m_name);
    else
        send_full_update(*from, hello.m_known_runners);
    auto suspects = m_suspects.list(m_time.now());
    if (!suspects.empty())
        send_reply(from, 0, frame_status::ok,
                   suspects_message{std::move(suspects)});
}

void turn_server::send_full_update(const peer& to, std::uint64_t known)
{
    // Hundreds may subscribe at the same moment, most of them from the same
    // revision.
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

relay_peers_message turn_server::relay_peers_for(const peer& requester) const
{
    std::vector<relay_peer> candidates;
    candidates.reserve(m_peers.size());
    for (const auto& row : m_peers)
        candidates.push_back(row->m_relay);
    return {choose_relay_peers(candidates, requester.m_name,
                               requester.m_relay.m_availability_zone)};
}

void turn_server::apply_state(const cluster_state& update)
{
    const auto change = merge_state(m_state, update);
    if (!change.any())
        return;
    m_state_saved = false;
    ++m_changes;
    const auto* own_set = find_replica_set(m_state.m_views, m_name);
    const auto own = own_set == nullptr ? cluster_view{} : *own_set;
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
    // Every subscriber has been sent everything up to that revision. A list
    // that this VM has taken since shows no runner that came and went
    // meanwhile; subscribers may know it from others.
    if (m_sent_runners_revision > 0 &&
        m_state.m_tombstones_since > m_sent_runners_revision)
    {
        add_all_changes(m_state, m_sent_runners_revision, parts);
        parts.m_exhaustive = true;
    }
    else if (m_sent_runners_revision > 0)
    {
        parts.m_runners_since = m_sent_runners_revision;
        parts.m_runners_revision = m_state.m_runners_revision;
    }
    m_sent_runners_revision = m_state.m_runners_revision;
    send_to_subscribers(
        {0, m_own_view.m_epoch, frame_status::ok, std::move(parts)});
}

void turn_server::send_to_subscribers(const frame& value)
{
    const auto bytes = std::make_shared<const std::string>(encode_frame(value));
    for (const auto& row : std::set(m_peers))
    {
        if (!row->m_subscribed)
            continue;
        m_update_bytes += bytes->size();
        row->m_link->send(bytes);
    }
}

void turn_server::apply_suspects(const std::vector<suspect>& rows)
{
    const auto news = m_suspects.merge(rows, m_time.now());
    if (news.empty())
        return;
    LOG(INFO) << "event=suspects_taken new=" << news.size()
              << " known=" << m_suspects.size();
    send_to_subscribers(
        {0, m_own_view.m_epoch, frame_status::ok, suspects_message{news}});
    if (m_on_suspects)
        m_on_suspects(news);
}

void turn_server::on_suspects(
    std::function<void(const std::vector<suspect>&)> handler)
{
    m_on_suspects = std::move(handler);
}

void turn_server::save_own_view()
{
    // After a restart this VM must not act under an older view than before.
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
                      heartbeat_message{age, watches, own_frame_version}}));
    for (const auto& row : std::set(m_peers))
        row->m_link->send(bytes);
}

} // namespace pepperturn
