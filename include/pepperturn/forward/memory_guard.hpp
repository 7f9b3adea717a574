// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps what an edge VM holds for callers and runners within its memory; see
/// scheduling/read_pressure.hpp for what is done at which level.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/buffer_budget.hpp"

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
    void set_memory(std::uint32_t memory_mb);
    [[nodiscard]] const std::shared_ptr<buffer_budget>& budget() const
    {
        return m_budget;
    }
    [[nodiscard]] pressure_level level() const
    {
        return m_budget->level();
    }
    /// \param body bytes that are still to come
    [[nodiscard]] bool may_read_body(std::uint64_t body) const;
    /// Held up for a moment while the VM is under pressure.
    [[nodiscard]] task<> throttle();
    /// Waits until slow readers have made room for more of an answer, for as
    /// long as a runner keeps one that is not read; reserves that room. Where
    /// it is short the oldest request goes on alone.
    /// \param bytes of the answer's next piece
    /// \returns false if there is no room
    [[nodiscard]] task<bool>
    wait_for_capacity(std::shared_ptr<buffer_account> held,
                      std::uint64_t bytes);
    /// Waits until an answer that is ready may be left unread by its caller.
    /// \param bytes that are held if it does not read
    /// \returns false if there is no room by then
    [[nodiscard]] task<bool> wait_for_delivery_capacity(std::uint64_t bytes,
                                                        instant until);
    /// Counts a request that was refused for want of memory.
    void count_refused_request()
    {
        ++m_refused_requests;
    }
    /// Figures for operators, one line each.
    void write_metrics(std::string& out) const;

private:
    [[nodiscard]] bool try_reserve(buffer_account& held, std::uint64_t bytes);
    void handle_level(pressure_level level);
    /// Counts room that was refused; tells it once a second for each kind.
    void handle_refused(buffer_kind kind, std::uint64_t asked);
    /// Cuts the slowest readers for as long as that is needed.
    task<> disconnect_slow_readers();
    void disconnect_slowest();

    asio::io_context& m_io;
    const clock& m_time;
    std::shared_ptr<buffer_budget> m_budget;
    std::uint64_t m_refused_requests = 0;
    std::array<std::uint64_t, buffer_kind_count> m_refused_reservations{};
    /// When that was last told.
    std::array<std::optional<instant>, buffer_kind_count> m_last_logged{};
    bool m_disconnecting = false;
};

} // namespace pepperturn
