// SPDX-License-Identifier: BSL-1.0
#include "turn_copier_run.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace pepperturn {

namespace {

using detail::bytes_of;

/// A source that answers nothing for this long is given up.
constexpr milliseconds reply_timeout{2000};
/// Pause after a source refused since too much waits to be sent there.
constexpr milliseconds refused_pause{50};
/// Waiters look again after this, since nothing tells a change of the view.
constexpr milliseconds look_again{100};
constexpr milliseconds progress_interval{1000};
/// The next page of a listing is requested once fewer turns are left.
constexpr std::size_t list_ahead = 1000;
/// Turns in one request, whatever their size.
constexpr std::size_t batch_turns = 512;
/// About what a reservation takes in the log.
constexpr std::size_t reservation_bytes = 100;

/// \param by_key the source reads turns by their keys
frame_body read_request(const std::vector<located_turn>& batch, bool by_key)
{
    read_turns_message keys;
    read_message positions;
    for (const auto& row : batch)
    {
        if (by_key)
            keys.m_keys.push_back(row.m_key);
        else
            positions.m_positions.push_back(row.m_position);
    }
    if (by_key)
        return keys;
    return positions;
}

/// The entries of the first turns of \p batch, as many as the reply has; empty:
/// it is not a reply to that batch.
std::vector<turn_entry> entries_of(const frame& reply,
                                   const std::vector<located_turn>& batch)
{
    std::vector<turn_entry> out;
    if (const auto* turns = std::get_if<turn_entries_message>(&reply.m_body))
        out = turns->m_entries;
    else if (const auto* found = std::get_if<entries_message>(&reply.m_body))
    {
        for (std::size_t i = 0; i < found->m_entries.size(); ++i)
            out.push_back({found->m_entries[i], turn_entry_state::present,
                           i < batch.size() ? batch[i].m_remaining_ms : 0});
    }
    if (out.size() > batch.size())
        out.clear();
    return out;
}

/// Why a reply does not count; empty: it does.
std::string refusal(const std::optional<frame>& reply, std::uint64_t epoch)
{
    if (!reply)
        return "no reply";
    if (reply->m_epoch != epoch)
        return "answered at epoch " + std::to_string(reply->m_epoch);
    if (reply->m_status != frame_status::ok)
        return std::string("answered ") + to_string(reply->m_status);
    return {};
}

} // namespace

turn_copier::turn_copier(asio::io_context& io, const clock& time,
                         member_links& links, turn_server& server,
                         const turn_store& store, const copy_limits& limits)
    : m_io(io), m_time(time), m_links(links), m_server(server), m_store(store),
      m_limits(limits)
{}

bool turn_copier::copied(const std::string& name, std::uint64_t epoch) const
{
    const auto found = m_copied_at.find(name);
    return found != m_copied_at.end() && found->second == epoch;
}

bool turn_copier::is_complete(const copy_plan& plan, std::uint64_t epoch) const
{
    const auto done = [&](const std::string& name) {
        return copied(name, epoch);
    };
    const auto any = std::count_if(plan.m_any.begin(), plan.m_any.end(), done);
    return static_cast<std::uint32_t>(any) >= plan.m_any_needed &&
           std::all_of(plan.m_required.begin(), plan.m_required.end(), done);
}

task<bool> turn_copier::copy(copy_plan plan)
{
    const auto run =
        std::make_shared<copy_run>(m_io, m_server.own_view().m_epoch);
    m_run = run;
    for (const auto& name : plan.m_required)
        begin_source(run, name, plan.m_gathered);
    for (const auto& name : plan.m_any)
        begin_source(run, name, false);
    const auto runs = [&] {
        return std::any_of(run->m_sources.begin(), run->m_sources.end(),
                           [](const auto& row) { return !row->m_ended; });
    };
    auto next_line = m_time.now() + progress_interval;
    while (runs() && !is_complete(plan, run->m_epoch))
    {
        co_await run->m_changed.wait_until(m_time.now() + look_again);
        if (m_time.now() < next_line)
            continue;
        next_line = m_time.now() + progress_interval;
        log_progress(*run);
    }
    run->m_ended = true;
    run->notify_sources();
    m_run.reset();
    co_return is_complete(plan, run->m_epoch) &&
        m_server.own_view().m_epoch == run->m_epoch;
}

void turn_copier::begin_source(const run_ptr& run, const std::string& name,
                               bool gathered)
{
    if (copied(name, run->m_epoch) || !m_links.connected(name))
        return;
    run->m_sources.push_back(
        std::make_shared<source>(m_io, name, gathered, m_time.now()));
    spawn(m_io, "turn_copier.source", copy_source(run, run->m_sources.back()));
}

bool turn_copier::goes_on(const copy_run& run, const source& from) const
{
    return !run.m_ended && !run.m_disk_failed && from.m_failure.empty() &&
           m_server.own_view().m_epoch == run.m_epoch;
}

task<> turn_copier::copy_source(run_ptr run, source_ptr from)
{
    while (goes_on(*run, *from))
    {
        start_requests(run, from);
        if (from->all_inserted())
            break;
        co_await from->m_changed.wait_until(m_time.now() + look_again);
    }
    if (from->m_unreadable > 0)
        from->fail(std::to_string(from->m_unreadable) +
                   " turns are unreadable there");
    if (goes_on(*run, *from))
        co_await finish_source(run, from);
    log_end(*run, *from);
    from->m_ended = true;
    run->m_changed.notify();
}

task<> turn_copier::finish_source(run_ptr run, source_ptr from)
{
    co_await sync(run);
    if (!goes_on(*run, *from))
        co_return;
    const frame_body done = copied_message{};
    const auto reply = co_await m_links.request(
        from->m_name, run->m_epoch, done, m_time.now() + reply_timeout);
    const auto reason = refusal(reply, run->m_epoch);
    if (reason.empty())
        m_copied_at[from->m_name] = run->m_epoch;
    else
        from->fail(reason);
}

void turn_copier::start_requests(const run_ptr& run, const source_ptr& from)
{
    const bool may_list =
        run->m_held == 0 || run->m_held < m_limits.m_held_bytes;
    if (!from->m_listed && !from->m_listing_under_way && may_list &&
        from->m_queue.size() < list_ahead)
    {
        from->m_listing_under_way = true;
        spawn(m_io, "turn_copier.list", request_page(run, from));
    }
    while (from->m_batches < m_limits.m_batches &&
           m_time.now() >= from->m_resume_at)
    {
        auto batch = next_batch(*run, *from);
        if (batch.empty())
            break;
        ++from->m_batches;
        for (const auto& row : batch)
            run->m_requested.insert(row.m_key);
        hold(*run, bytes_of(batch));
        from->m_requested_turns += batch.size();
        from->m_requested_bytes += bytes_of(batch);
        m_counters.m_peak_batches =
            std::max(m_counters.m_peak_batches, from->m_batches);
        spawn(m_io, "turn_copier.read",
              request_batch(run, from, std::move(batch)));
    }
    // Nothing else makes room.
    const bool waits =
        !from->m_queue.empty() && !has_room(*run, from->m_queue.front());
    if (run->m_requested.empty() && (waits || !may_list))
        start_sync(run);
}

task<> turn_copier::request_page(run_ptr run, source_ptr from)
{
    ++m_counters.m_requests;
    const frame_body request =
        list_message{from->m_from, from->m_gathered, from->m_listing};
    const auto reply = co_await m_links.request(
        from->m_name, run->m_epoch, request, m_time.now() + reply_timeout);
    from->m_listing_under_way = false;
    take_page(*run, *from, reply);
    if (run->m_unsynced >= m_limits.m_sync_bytes)
        start_sync(run);
    from->m_changed.notify();
}

void turn_copier::take_page(copy_run& run, source& from,
                            const std::optional<frame>& reply)
{
    if (reply && reply->m_status == frame_status::stale &&
        reply->m_epoch < run.m_epoch)
        m_links.send_view(from.m_name, m_server.own_view());
    const auto reason = refusal(reply, run.m_epoch);
    if (!reason.empty())
    {
        from.fail(reason);
        return;
    }
    const auto* page = std::get_if<listed_message>(&reply->m_body);
    const bool continues =
        page != nullptr && page->m_next > from.m_from &&
        (from.m_from == 0 || page->m_listing == from.m_listing);
    const bool is_empty = page != nullptr && page->m_turns.empty() &&
                          page->m_reservations.empty();
    if (!continues || (is_empty && page->m_more))
    {
        from.fail("sent no page of its listing");
        return;
    }
    if (from.m_from == 0)
    {
        from.m_unlisted_turns = page->m_turn_count;
        from.m_unlisted_bytes = page->m_turn_bytes;
    }
    from.m_unlisted_turns -=
        std::min<std::uint64_t>(from.m_unlisted_turns, page->m_turns.size());
    from.m_unlisted_bytes -=
        std::min(from.m_unlisted_bytes, bytes_of(page->m_turns));
    from.m_listing = page->m_listing;
    from.m_from = page->m_next;
    from.m_listed = !page->m_more;
    for (const auto& row : page->m_turns)
    {
        if (!m_store.has_turn(row.m_key))
            from.m_queue.push_back(row);
    }
    m_server.add_reservations(page->m_reservations);
    const auto bytes = page->m_reservations.size() * reservation_bytes;
    hold(run, bytes);
    run.m_unsynced += bytes;
}

bool turn_copier::has_room(const copy_run& run, const located_turn& next) const
{
    const auto wanted = std::max(m_limits.m_batch_bytes, bytes_of(next));
    return run.m_held == 0 || run.m_held + wanted <= m_limits.m_held_bytes;
}

std::vector<located_turn> turn_copier::next_batch(copy_run& run,
                                                  source& from) const
{
    std::vector<located_turn> batch;
    if (from.m_queue.empty() || from.m_elsewhere.size() > list_ahead)
    {
        // The other source may have failed.
        std::erase_if(from.m_elsewhere, [&](const located_turn& row) {
            const bool waits = run.m_requested.contains(row.m_key);
            if (!waits && !m_store.has_turn(row.m_key))
                from.m_queue.push_back(row);
            return !waits;
        });
    }
    std::size_t bytes = 0;
    while (!from.m_queue.empty() && batch.size() < batch_turns)
    {
        const auto& next = from.m_queue.front();
        const bool requested = run.m_requested.contains(next.m_key);
        if (requested)
            from.m_elsewhere.push_back(next);
        if (!requested && !m_store.has_turn(next.m_key))
        {
            const bool full = !batch.empty() &&
                              bytes + bytes_of(next) > m_limits.m_batch_bytes;
            if (full || (batch.empty() && !has_room(run, next)))
                break;
            bytes += bytes_of(next);
            batch.push_back(next);
        }
        from.m_queue.pop_front();
    }
    return batch;
}

task<> turn_copier::request_batch(run_ptr run, source_ptr from,
                                  std::vector<located_turn> batch)
{
    ++m_counters.m_requests;
    const frame_body request = read_request(batch, from->m_listing != 0);
    const auto reply = co_await m_links.request(
        from->m_name, run->m_epoch, request, m_time.now() + reply_timeout);
    --from->m_batches;
    run->m_held -= bytes_of(batch);
    from->m_requested_turns -= batch.size();
    from->m_requested_bytes -= bytes_of(batch);
    for (const auto& row : batch)
        run->m_requested.erase(row.m_key);
    take_batch(*run, *from, batch, reply);
    if (run->m_unsynced >= m_limits.m_sync_bytes)
        start_sync(run);
    run->notify_sources();
}

void turn_copier::take_batch(copy_run& run, source& from,
                             const std::vector<located_turn>& batch,
                             const std::optional<frame>& reply)
{
    const auto now = m_time.now();
    const auto reason = refusal(reply, run.m_epoch);
    std::size_t done = 0;
    // It refuses while too much waits to be sent there.
    const bool refused = reply && reply->m_epoch == run.m_epoch &&
                         reply->m_status == frame_status::failed;
    if (refused)
    {
        from.m_resume_at = now + refused_pause;
        const auto since = from.m_refused_since.value_or(now);
        from.m_refused_since = since;
        if (now - since > reply_timeout)
            from.fail("refuses to send turns");
    }
    else if (!reason.empty())
        from.fail(reason);
    else
    {
        const auto entries = entries_of(*reply, batch);
        if (entries.empty())
            from.fail("sent no turns that it had listed");
        from.m_refused_since.reset();
        add_entries(run, from, batch, entries);
        done = entries.size();
    }
    from.m_queue.insert(from.m_queue.begin(),
                        batch.begin() + static_cast<std::ptrdiff_t>(done),
                        batch.end());
}

void turn_copier::add_entries(copy_run& run, source& from,
                              const std::vector<located_turn>& batch,
                              const std::vector<turn_entry>& entries)
{
    std::vector<copied_entry> present;
    std::size_t bytes = 0;
    std::size_t gone = 0;
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        const auto& entry = entries[i];
        gone += entry.m_state == turn_entry_state::gone ? 1 : 0;
        // Another source may have it; this one cannot count as copied.
        from.m_unreadable +=
            entry.m_state == turn_entry_state::unreadable ? 1 : 0;
        if (entry.m_state != turn_entry_state::present)
            continue;
        bytes += entry.m_bytes.size();
        present.push_back({entry.m_bytes, milliseconds(entry.m_remaining_ms),
                           batch[i].m_key});
    }
    if (!m_server.add_encoded(present))
        from.fail("sent other turns than were requested");
    hold(run, bytes);
    run.m_unsynced += bytes;
    from.m_turns += present.size();
    from.m_bytes += bytes;
    m_counters.m_turns += present.size();
    m_counters.m_bytes += bytes;
    m_counters.m_skipped += gone;
    LOG_IF(INFO, gone > 0) << "event=copy_skipped from=" << from.m_name
                           << " turns=" << gone
                           << " reason=\"no longer retained there\"";
}

void turn_copier::hold(copy_run& run, std::size_t bytes)
{
    run.m_held += bytes;
    m_counters.m_peak_held_bytes =
        std::max(m_counters.m_peak_held_bytes, run.m_held);
}

void turn_copier::start_sync(const run_ptr& run)
{
    if (run->m_syncing || run->m_unsynced == 0)
        return;
    run->m_syncing = true;
    spawn(m_io, "turn_copier.sync",
          [](turn_copier& self, run_ptr run) -> task<> {
              co_await self.sync(run);
              run->m_syncing = false;
              run->notify_sources();
          }(*this, run));
}

task<> turn_copier::sync(run_ptr run)
{
    ++m_counters.m_syncs;
    const auto bytes = std::exchange(run->m_unsynced, 0);
    const bool good = co_await m_server.synced();
    run->m_held -= bytes;
    run->m_disk_failed = run->m_disk_failed || !good;
    run->notify_sources();
}

} // namespace pepperturn
