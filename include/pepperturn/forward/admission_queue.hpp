// SPDX-License-Identifier: BSL-1.0
/// \file
/// Calls wait here for a place at the engines.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/scheduling/admission.hpp"

#include <map>
#include <memory>
#include <string>

namespace pepperturn {

/// How waiting for a place ended.
struct admission_result
{
    bool m_admitted = false;
    /// What the line ahead was expected to take.
    milliseconds m_expected_wait{0};
};

class admission_queue
{
public:
    admission_queue(asio::io_context& io, const clock& time);

    /// Waits for a place, not at all if \p patience would not do. Who is
    /// admitted calls \ref leave in the end.
    [[nodiscard]] task<admission_result> acquire(call_rank rank,
                                                 milliseconds patience);
    void release();
    /// \param route calls of one route take about as long
    /// \param wait until the first byte
    /// \param run from there to the end
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
    /// Of calls of each rank.
    std::map<call_rank, admission_rate> m_drain_rates;
};

} // namespace pepperturn
