// SPDX-License-Identifier: BSL-1.0
/// \file
/// State of one copy, shared by the files that implement it.
#pragma once

#include "pepperturn/fleet/turn_copier.hpp"

#include <algorithm>
#include <deque>
#include <unordered_set>

namespace pepperturn {

namespace detail {

/// Assumed where the source does not tell the size of an entry.
constexpr std::size_t usual_entry_bytes = 8192;

inline std::size_t bytes_of(const located_turn& row)
{
    return row.m_bytes == 0 ? usual_entry_bytes : row.m_bytes;
}

template <class Rows> std::uint64_t bytes_of(const Rows& rows)
{
    std::uint64_t out = 0;
    for (const auto& row : rows)
        out += bytes_of(row);
    return out;
}

} // namespace detail

/// A member that is copied from.
struct turn_copier::source
{
    source(asio::io_context& io, std::string name, bool gathered, instant begun)
        : m_name(std::move(name)), m_gathered(gathered), m_begun(begun),
          m_changed(io)
    {}

    [[nodiscard]] bool all_inserted() const
    {
        return m_listed && m_queue.empty() && m_elsewhere.empty() &&
               m_batches == 0;
    }
    [[nodiscard]] std::uint64_t turns_left() const
    {
        return m_unlisted_turns + m_queue.size() + m_elsewhere.size() +
               m_requested_turns;
    }
    [[nodiscard]] std::uint64_t bytes_left() const
    {
        return m_unlisted_bytes + detail::bytes_of(m_queue) +
               detail::bytes_of(m_elsewhere) + m_requested_bytes;
    }
    [[nodiscard]] std::uint64_t bytes_per_s(instant now) const
    {
        constexpr std::uint64_t ms_per_s = 1000;
        const auto ms = (now - m_begun) / milliseconds(1);
        return m_bytes * ms_per_s /
               static_cast<std::uint64_t>(std::max<decltype(ms)>(ms, 1));
    }
    void fail(std::string reason)
    {
        if (m_failure.empty())
            m_failure = std::move(reason);
    }

    std::string m_name;
    bool m_gathered;
    instant m_begun;
    /// Identity of the listing, and the first row of its next page.
    std::uint64_t m_listing = 0;
    std::uint64_t m_from = 0;
    bool m_listed = false;
    bool m_listing_under_way = false;
    /// Listed, lacking here, and not requested yet.
    std::deque<located_turn> m_queue;
    /// The same, but requested of another source.
    std::vector<located_turn> m_elsewhere;
    std::size_t m_batches = 0;
    /// In the batches that are under way.
    std::uint64_t m_requested_turns = 0;
    std::uint64_t m_requested_bytes = 0;
    /// In the pages that are not here yet.
    std::uint64_t m_unlisted_turns = 0;
    std::uint64_t m_unlisted_bytes = 0;
    /// No turns are requested before this, since the source refused.
    instant m_resume_at{};
    std::optional<instant> m_refused_since;
    std::size_t m_unreadable = 0;
    std::uint64_t m_turns = 0;
    std::uint64_t m_bytes = 0;
    /// Why the exchange ended; empty: it has not failed.
    std::string m_failure;
    bool m_ended = false;
    async_event m_changed;
};

/// What the sources of one copy share.
struct turn_copier::copy_run
{
    copy_run(asio::io_context& io, std::uint64_t epoch)
        : m_epoch(epoch), m_changed(io)
    {}

    void notify_sources()
    {
        for (const auto& row : m_sources)
            row->m_changed.notify();
    }

    std::uint64_t m_epoch;
    std::vector<source_ptr> m_sources;
    /// Turns that are requested of any source.
    std::unordered_set<id_key, id_key_hash> m_requested;
    /// Bytes that are requested or not synced yet.
    std::size_t m_held = 0;
    /// Of these, the ones that no sync has begun for.
    std::size_t m_unsynced = 0;
    bool m_syncing = false;
    bool m_disk_failed = false;
    bool m_ended = false;
    async_event m_changed;
};

} // namespace pepperturn
