// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps the bytes that an edge VM buffers for callers and runners within its
/// memory; scheduling/memory_pressure.hpp says what is done at which level.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/forward/buffer_budget.hpp"

#include <optional>

namespace pepperturn {

/// Throttles, refuses and disconnects by the current pressure level.
class memory_guard
{
public:
    memory_guard(asio::io_context& io, const clock& time);
    ~memory_guard();
    memory_guard(const memory_guard&) = delete;
    memory_guard& operator=(const memory_guard&) = delete;

    /// \param memory_mb memory for this process in MB; 0: unknown
    void set_memory(std::uint32_t memory_mb);
    [[nodiscard]] const std::shared_ptr<buffer_budget>& budget() const
    {
        return m_budget;
    }
    [[nodiscard]] pressure_level level() const
    {
        return m_budget->level();
    }
    /// \param body bytes still to be received
    [[nodiscard]] bool may_read_body(std::uint64_t body) const;
    /// Delays a new connection briefly while the VM is under memory pressure.
    [[nodiscard]] task<> throttle();
    /// Waits until slow readers have freed memory for more of a response, for
    /// as long as a runner keeps a response that is not read, and reserves it.
    /// While memory is short only the oldest blocked request proceeds.
    /// \param bytes of the response's next piece
    /// \returns false if no memory was freed in time
    [[nodiscard]] task<bool>
    wait_for_capacity(std::shared_ptr<buffer_account> account,
                      std::uint64_t bytes);
    /// Waits until there is memory for a complete response, in case its caller
    /// does not read it.
    /// \param bytes to buffer in that case
    /// \returns false if there is none by \p deadline
    [[nodiscard]] task<bool> wait_for_delivery_capacity(std::uint64_t bytes,
                                                        instant deadline);
    /// Whether much memory has been freed since this last returned true, so
    /// that it is worth being returned to the system.
    [[nodiscard]] bool freed_much();
    /// Counts a request that was refused for lack of memory.
    void count_refused_request()
    {
        ++m_refused_requests;
    }
    /// Appends metrics, one line each.
    void write_metrics(std::string& out) const;

private:
    [[nodiscard]] bool try_reserve(buffer_account& account,
                                   std::uint64_t bytes);
    void handle_level(pressure_level level);
    /// Counts a refused reservation; logs at most one a second for each kind.
    void handle_refused(buffer_kind kind, std::uint64_t requested);
    /// Disconnects the slowest readers while the level requires it.
    task<> disconnect_slow_readers();
    void disconnect_slowest();

    asio::io_context& m_io;
    const clock& m_time;
    std::shared_ptr<buffer_budget> m_budget;
    instant m_last_freed{};
    std::uint64_t m_refused_requests = 0;
    std::array<std::uint64_t, buffer_kind_count> m_refused_reservations{};
    /// When a refusal of each kind was last logged.
    std::array<std::optional<instant>, buffer_kind_count> m_last_logged{};
    bool m_disconnecting = false;
};

} // namespace pepperturn
