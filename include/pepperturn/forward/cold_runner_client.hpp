// SPDX-License-Identifier: BSL-1.0
/// \file
/// Asks for leave to send calls to runners that are cold.
///
/// Whoever hears none of those that count sends them nothing: what they bear is
/// less than one call a second of each VM.
#pragma once

#include "pepperturn/forward/quota_client.hpp"
#include "pepperturn/tenancy/cold_allowance.hpp"

namespace pepperturn {

class cold_runner_client
{
public:
    cold_runner_client(const clock& time, quota_client& owners, double excess,
                       double slack);

    /// Leave to send one call, at once.
    /// \param per_s that such a runner bears, by the configuration; 0: any
    /// number
    /// \param incarnation hash of the runner's
    [[nodiscard]] task<bool> acquire(std::uint64_t incarnation, double per_s);

private:
    const clock& m_time;
    quota_client& m_quota;
    double m_excess;
    double m_slack;
};

} // namespace pepperturn
