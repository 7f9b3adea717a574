// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps what an edge VM holds for callers and runners within its memory; see
/// scheduling/read_pressure.hpp for what is done at which level.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/held_bytes.hpp"

#include <optional>

namespace pepperturn {

class memory_guard
{
public:
    memory_guard(asio::io_context& io, const clock& time);
    ~memory_guard();
    memory_guard(const memory_guard&) = delete;
    memory_guard& operator=(const memory_guard&) = delete;

    /// \param memory_mb of the VM, for this process; 0: not told
    void bound_by(std::uint32_t memory_mb);
    [[nodiscard]] const std::shared_ptr<held_book>& book() const
    {
        return m_book;
    }
    [[nodiscard]] pressure_level level() const
    {
        return m_book->level();
    }
    /// \param body bytes that are still to come
    [[nodiscard]] bool may_read_body(std::uint64_t body) const;
    /// Held up for a moment while the VM is under pressure.
    [[nodiscard]] task<> pause();
    /// Waits until slow readers have made room for more of an answer, for as
    /// long as a runner keeps one that is not read; reserves that room. Where
    /// it is short the oldest request goes on alone.
    /// \param bytes of the answer's next piece
    /// \returns false if there is no room
    [[nodiscard]] task<bool> wait_for_room(std::shared_ptr<held_account> held,
                                           std::uint64_t bytes);
    /// Waits until an answer that is ready may be left unread by its caller.
    /// \param bytes that are held if it does not read
    /// \returns false if there is no room by then
    [[nodiscard]] task<bool> wait_to_deliver(std::uint64_t bytes,
                                             instant until);
    /// Counts a request that was refused for want of memory.
    void note_refused()
    {
        ++m_refused;
    }
    /// Figures for operators, one line each.
    void write_metrics(std::string& out) const;

private:
    [[nodiscard]] bool take_room(held_account& held, std::uint64_t bytes);
    void take_level(pressure_level level);
    /// Counts room that was refused; tells it once a second for each kind.
    void take_refused(held_kind kind, std::uint64_t asked);
    /// Cuts the slowest readers for as long as that is needed.
    task<> relieve();
    void cut_slowest();

    asio::io_context& m_io;
    const clock& m_time;
    std::shared_ptr<held_book> m_book;
    std::uint64_t m_refused = 0;
    std::array<std::uint64_t, held_kinds> m_no_room{};
    /// When that was last told.
    std::array<std::optional<instant>, held_kinds> m_told{};
    bool m_relieving = false;
};

} // namespace pepperturn
