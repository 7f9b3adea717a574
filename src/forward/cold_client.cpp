// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/cold_client.hpp"

namespace pepperturn {

cold_client::cold_client(const clock& time, quota_client& owners, double excess,
                         double slack)
    : m_time(time), m_owners(owners), m_excess(excess), m_slack(slack)
{}

task<bool> cold_client::take(std::uint64_t incarnation, double per_s)
{
    if (per_s <= 0)
        co_return true;
    const auto asked = m_time.now();
    const auto question =
        cold_question(incarnation, {per_s, m_excess, m_slack});
    const auto grant = co_await m_owners.take(question);
    co_return grant.m_outcome ==
        quota_outcome::granted&& m_time.now() - asked <= longest_cold_use;
}

} // namespace pepperturn
