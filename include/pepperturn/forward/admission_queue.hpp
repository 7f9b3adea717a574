// SPDX-License-Identifier: BSL-1.0
/// \file
/// Limits an edge VM's concurrent calls to engines; calls beyond the limit wait
/// in a queue ordered by rank.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/scheduling/admission.hpp"

#include <map>
#include <memory>
#include <string>

namespace pepperturn {

/// The result of waiting for a slot.
struct admission_result
{
    bool m_admitted = false;
    /// Estimated time until the calls ahead in the queue are admitted.
    milliseconds m_expected_wait{0};
};

/// The limit adapts to the first-byte latency of each route.
class admission_queue
{
public:
    admission_queue(asio::io_context& io, const clock& time);

    /// Waits for a slot for at most \p timeout, or not at all if the expected
    /// wait is longer. An admitted call must end with \ref release.
    [[nodiscard]] task<admission_result> acquire(call_rank rank,
                                                 milliseconds timeout);
    void release();
    /// Updates the limit with the times of a finished call.
    /// \param route name; calls of one route take about as long
    /// \param wait time to the first byte
    /// \param run time from the first byte to the end
    void record_call(const std::string& route, milliseconds wait,
                     milliseconds run);

    [[nodiscard]] std::size_t waiting() const
    {
        return m_queue.size();
    }
    [[nodiscard]] double limit() const
    {
        return m_limit.m_limit;
    }

private:
    struct waiter
    {
        waiter(asio::io_context& io, const waiting_call& call)
            : m_call(call), m_changed(io)
        {}
        waiting_call m_call;
        async_event m_changed;
        bool m_admitted = false;
    };

    [[nodiscard]] bool has_capacity() const;
    void admit_waiting();

    asio::io_context& m_io;
    const clock& m_time;
    std::map<std::string, call_latency> m_route_stats;
    concurrency_limit m_limit;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_last_sequence = 0;
    std::vector<std::shared_ptr<waiter>> m_queue;
    /// Admissions of calls of each rank.
    std::map<call_rank, admission_rate> m_drain_rates;
};

} // namespace pepperturn
