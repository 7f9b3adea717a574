// SPDX-License-Identifier: BSL-1.0
/// \file
/// Copies what other members of a replica set store: from several at once, with
/// some batches under way to each, within bounds of memory.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/cluster/membership.hpp"
#include "pepperturn/turns/turn_server.hpp"

namespace pepperturn {

/// Bounds of a copy. Of entries whose size the source does not tell, a usual
/// size is assumed.
struct copy_limits
{
    /// Bytes of entries that one request asks for, but for one larger entry.
    std::size_t m_batch_bytes = 512U << 10U;
    /// Requests for turns that are under way to one source.
    std::size_t m_batches = 4;
    /// Bytes that are requested or not synced yet, from all sources together,
    /// but for one larger entry.
    std::size_t m_held_bytes = 8U << 20U;
    /// Bytes that are synced at once.
    std::size_t m_sync_bytes = 2U << 20U;
};

/// Counts since the process began.
struct copy_counters
{
    std::uint64_t m_requests = 0;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_turns = 0;
    std::uint64_t m_bytes = 0;
    /// Turns that a source listed and no longer retained when it was asked.
    std::uint64_t m_skipped = 0;
    /// The most that were under way or not synced at a time, see copy_limits.
    std::size_t m_peak_batches = 0;
    std::size_t m_peak_held_bytes = 0;
};

/// How far a copy is. What several sources list is counted once, by the one
/// that has the most left.
struct copy_progress
{
    /// Sources that are being copied from.
    std::uint64_t m_sources = 0;
    std::uint64_t m_turns_left = 0;
    std::uint64_t m_bytes_left = 0;
    /// Since the copy began.
    std::uint64_t m_bytes_per_s = 0;

    friend bool operator==(const copy_progress&,
                           const copy_progress&) = default;
};

class turn_copier
{
public:
    turn_copier(asio::io_context& io, const clock& time, member_links& links,
                turn_server& server, const turn_store& store,
                const copy_limits& limits = {});

    /// Copies from the members of \p plan at the present epoch, except from
    /// those that were copied at it before.
    /// \returns false if that could not be completed, or the view has changed.
    /// What is there by then is not copied again.
    [[nodiscard]] task<bool> copy(copy_plan plan);

    /// Forgets that a member was copied from: it has restarted, and does not
    /// know of that any more.
    /// \returns false if it was not
    bool forget(const std::string& name)
    {
        return m_copied_at.erase(name) > 0;
    }
    [[nodiscard]] const copy_counters& counters() const
    {
        return m_counters;
    }
    /// What the present copy has left, as far as its listings tell.
    [[nodiscard]] copy_progress progress() const;
    /// Appends counters and the progress, one line each.
    void write_metrics(std::string& out) const;

private:
    struct source;
    struct copy_run;
    using run_ptr = std::shared_ptr<copy_run>;
    using source_ptr = std::shared_ptr<source>;

    [[nodiscard]] bool copied(const std::string& name,
                              std::uint64_t epoch) const;
    [[nodiscard]] bool is_complete(const copy_plan& plan,
                                   std::uint64_t epoch) const;
    void begin_source(const run_ptr& run, const std::string& name,
                      bool gathered);
    [[nodiscard]] bool goes_on(const copy_run& run, const source& from) const;
    task<> copy_source(run_ptr run, source_ptr from);
    /// Waits for the sync and reports to the source that it was copied.
    task<> finish_source(run_ptr run, source_ptr from);
    void log_end(const copy_run& run, const source& from);
    void log_progress(const copy_run& run) const;
    void start_requests(const run_ptr& run, const source_ptr& from);
    task<> request_page(run_ptr run, source_ptr from);
    void take_page(copy_run& run, source& from,
                   const std::optional<frame>& reply);
    /// The next turns to request; empty: none, or the bounds are reached.
    [[nodiscard]] std::vector<located_turn> next_batch(copy_run& run,
                                                       source& from) const;
    [[nodiscard]] bool has_room(const copy_run& run,
                                const located_turn& next) const;
    task<> request_batch(run_ptr run, source_ptr from,
                         std::vector<located_turn> batch);
    void take_batch(copy_run& run, source& from,
                    const std::vector<located_turn>& batch,
                    const std::optional<frame>& reply);
    /// Inserts what a source sent for the first turns of \p batch.
    void add_entries(copy_run& run, source& from,
                     const std::vector<located_turn>& batch,
                     const std::vector<turn_entry>& entries);
    void hold(copy_run& run, std::size_t bytes);
    void start_sync(const run_ptr& run);
    task<> sync(run_ptr run);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    turn_server& m_server;
    const turn_store& m_store;
    copy_limits m_limits;
    copy_counters m_counters;
    /// The present copy, if there is one.
    std::weak_ptr<const copy_run> m_run;
    /// Epoch in which all data of another member was copied.
    std::map<std::string, std::uint64_t> m_copied_at;
    /// Why the last exchange with a source ended, and when that was logged.
    struct logged_end
    {
        std::string m_reason;
        instant m_at{};
    };
    std::map<std::string, logged_end> m_logged;
};

} // namespace pepperturn
