// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/engine_gate.hpp"

#include <algorithm>

namespace pepperturn {

engine_gate::engine_gate(asio::io_context& io, const clock& time)
    : m_io(io), m_time(time)
{}

bool engine_gate::has_room() const
{
    return m_under_way < m_limit.m_limit;
}

task<gate_result> engine_gate::enter(call_rank rank, milliseconds patience)
{
    if (m_line.empty() && has_room())
    {
        ++m_under_way;
        co_return gate_result{true};
    }
    const waiting_call call{rank, ++m_number};
    const auto ahead = static_cast<std::size_t>(
        std::count_if(m_line.begin(), m_line.end(), [&](const auto& other) {
            return goes_before(other->m_call, call);
        }));
    gate_result out;
    out.m_expected = expected_wait(m_drains[rank], ahead, m_time.now());
    if (out.m_expected > patience)
        co_return out;
    const auto until = m_time.now() + patience;
    const auto self = std::make_shared<waiter>(m_io, call);
    m_line.push_back(self);
    admit_waiting();
    while (!self->m_admitted && m_time.now() < until)
        co_await self->m_changed.wait_until(until);
    out.m_admitted = self->m_admitted;
    if (!out.m_admitted)
        std::erase(m_line, self);
    co_return out;
}

void engine_gate::leave()
{
    --m_under_way;
    admit_waiting();
}

void engine_gate::note_call(const std::string& route, milliseconds wait,
                            milliseconds run)
{
    auto& pace = m_paces[route];
    pace = add_call(pace, static_cast<double>(wait.count()),
                    static_cast<double>(run.count()));
    m_limit = adjust_limit(m_limit, pace, m_under_way);
    admit_waiting();
}

void engine_gate::admit_waiting()
{
    while (!m_line.empty() && has_room())
    {
        const auto next = std::min_element(
            m_line.begin(), m_line.end(),
            [](const auto& left, const auto& right) {
                return goes_before(left->m_call, right->m_call);
            });
        const auto admitted = *next;
        m_line.erase(next);
        ++m_under_way;
        auto& drain = m_drains[admitted->m_call.m_rank];
        drain = add_admission(drain, m_time.now());
        admitted->m_admitted = true;
        admitted->m_changed.notify();
    }
}

} // namespace pepperturn
