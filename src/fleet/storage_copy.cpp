// SPDX-License-Identifier: BSL-1.0
// How a storage VM copies what other members of its replica set store.
#include "pepperturn/fleet/storage_node.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr milliseconds copy_timeout{2000};
/// Turns that are requested at once; the reply has as many as one frame may
/// hold.
constexpr std::size_t read_batch = 128;

} // namespace

task<bool> storage_node::copy_turns(std::string name,
                                    std::vector<located_turn> turns)
{
    std::size_t done = 0;
    while (done < turns.size())
    {
        const auto end = std::min(done + read_batch, turns.size());
        read_message positions;
        for (auto i = done; i < end; ++i)
            positions.m_positions.push_back(turns[i].m_position);
        const frame_body request = std::move(positions);
        const auto reply =
            co_await m_links.request(name, m_server->own_view().m_epoch,
                                     request, m_time.now() + copy_timeout);
        const auto* entries = reply && reply->m_status == frame_status::ok
                                  ? std::get_if<entries_message>(&reply->m_body)
                                  : nullptr;
        // A reply has as many of the entries as one frame may hold.
        if (entries == nullptr || entries->m_entries.empty() ||
            entries->m_entries.size() > end - done)
            co_return false;
        std::vector<copied_entry> copied;
        copied.reserve(entries->m_entries.size());
        for (const auto& bytes : entries->m_entries)
            copied.push_back(
                {bytes, milliseconds(turns[done++].m_remaining_ms)});
        m_server->add_encoded(copied);
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
        const frame_body request = list_message{from, gathered};
        const auto reply =
            co_await m_links.request(name, m_server->own_view().m_epoch,
                                     request, m_time.now() + copy_timeout);
        if (reply && reply->m_status == frame_status::stale &&
            reply->m_epoch < epoch)
            m_links.send_view(name, m_server->own_view());
        const auto* page = reply && reply->m_status == frame_status::ok
                               ? std::get_if<listed_message>(&reply->m_body)
                               : nullptr;
        if (page == nullptr || m_server->own_view().m_epoch != epoch)
            co_return false;
        std::vector<located_turn> missing;
        for (const auto& turn : page->m_turns)
        {
            if (!m_store->has_turn(turn.m_key))
                missing.push_back(turn);
        }
        m_server->add_reservations(page->m_reservations);
        copied += missing.size();
        from = page->m_next;
        more = page->m_more;
        if (!co_await copy_turns(name, std::move(missing)))
            co_return false;
    }
    if (!co_await m_server->synced())
        co_return false;
    const frame_body done = copied_message{};
    const auto reply = co_await m_links.request(name, epoch, done,
                                                m_time.now() + copy_timeout);
    if (!reply || reply->m_status != frame_status::ok)
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
        if (count >= plan.m_any_needed)
            break;
        const bool done = co_await copy_once(name, view.m_epoch, false);
        count += done ? 1 : 0;
    }
    if (count >= plan.m_any_needed && all_required &&
        m_server->own_view().m_epoch == view.m_epoch)
    {
        m_caught_up_at = view.m_epoch;
        m_server->mark_gathered(view.m_epoch);
    }
    m_copying = false;
}

} // namespace pepperturn
