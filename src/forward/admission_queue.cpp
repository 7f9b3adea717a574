// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/admission_queue.hpp"

#include <algorithm>

namespace pepperturn {

admission_queue::admission_queue(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time)
{}

bool admission_queue::has_capacity() const
{
    return m_in_flight < m_limit.m_limit;
}

task<admission_result> admission_queue::acquire(call_rank rank,
                                                milliseconds timeout)
{
    if (m_queue.empty() && has_capacity())
    {
        ++m_in_flight;
        co_return admission_result{true};
    }
    const waiting_call call{rank, ++m_last_sequence};
    const auto ahead = static_cast<std::size_t>(
        std::count_if(m_queue.begin(), m_queue.end(), [&](const auto& other) {
            return precedes(other->m_call, call);
        }));
    admission_result out;
    out.m_expected_wait =
        expected_wait(m_drain_rates[rank], ahead, m_time.now());
    if (out.m_expected_wait > timeout)
        co_return out;
    const auto deadline = m_time.now() + timeout;
    const auto self = std::make_shared<waiter>(m_io, call);
    m_queue.push_back(self);
    admit_waiting();
    while (!self->m_admitted && m_time.now() < deadline)
        co_await self->m_changed.wait_until(deadline);
    out.m_admitted = self->m_admitted;
    if (!out.m_admitted)
        std::erase(m_queue, self);
    co_return out;
}

void admission_queue::release()
{
    --m_in_flight;
    admit_waiting();
}

void admission_queue::record_call(const std::string& route, milliseconds wait,
                                  milliseconds run)
{
    auto& stats = m_route_stats[route];
    stats = add_call(stats, static_cast<double>(wait.count()),
                     static_cast<double>(run.count()));
    m_limit = adjust_limit(m_limit, stats, m_in_flight);
    admit_waiting();
}

void admission_queue::admit_waiting()
{
    while (!m_queue.empty() && has_capacity())
    {
        const auto next =
            std::min_element(m_queue.begin(), m_queue.end(),
                             [](const auto& left, const auto& right) {
                                 return precedes(left->m_call, right->m_call);
                             });
        const auto admitted = *next;
        m_queue.erase(next);
        ++m_in_flight;
        auto& rate = m_drain_rates[admitted->m_call.m_rank];
        rate = add_admission(rate, m_time.now());
        admitted->m_admitted = true;
        admitted->m_changed.notify();
    }
}

} // namespace pepperturn
