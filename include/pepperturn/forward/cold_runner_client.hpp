// SPDX-License-Identifier: BSL-1.0
/// \file
/// Requests permission to send calls to cold runners: those that have just
/// started or whose memory is empty.
///
/// An edge VM that reaches none of the storage VMs that count these calls sends
/// none: a cold runner can serve less than one call a second from each VM.
#pragma once

#include "pepperturn/forward/quota_client.hpp"
#include "pepperturn/tenancy/cold_runner_limit.hpp"

namespace pepperturn {

class cold_runner_client
{
public:
    cold_runner_client(const clock& time, quota_client& quota, double excess,
                       double slack);

    /// Requests permission to send one call immediately.
    /// \param incarnation hash of the runner's incarnation
    /// \param per_s calls a second that such a runner can serve, as configured;
    /// 0: unlimited
    [[nodiscard]] task<bool> acquire(std::uint64_t incarnation, double per_s);

private:
    const clock& m_time;
    quota_client& m_quota;
    double m_excess;
    double m_slack;
};

} // namespace pepperturn
