// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/cold_runner_client.hpp"

namespace pepperturn {

cold_runner_client::cold_runner_client(const clock& time, quota_client& quota,
                                       double excess, double slack)
    : m_time(time), m_quota(quota), m_excess(excess), m_slack(slack)
{}

task<bool> cold_runner_client::acquire(std::uint64_t incarnation, double per_s)
{
    if (per_s <= 0)
        co_return true;
    const auto requested = m_time.now();
    const auto request =
        cold_runner_request(incarnation, {per_s, m_excess, m_slack});
    const auto grant = co_await m_quota.acquire(request);
    co_return grant.m_outcome ==
        quota_outcome::granted&& m_time.now() - requested <= max_cold_grant_age;
}

} // namespace pepperturn
