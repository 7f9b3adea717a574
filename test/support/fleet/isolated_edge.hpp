// SPDX-License-Identifier: BSL-1.0
/// \file
/// A proxy without storage VMs.
#pragma once

#include "support/fleet/proxy_fixture.hpp"

namespace pepperturn::test {

namespace detail {

struct isolated_links
{
    asio::io_context m_own_io{1};
    system_clock m_own_time;
    member_links m_own_links{m_own_io, m_own_time, "edge"};
    turn_client m_own_turns{m_own_io, m_own_time, m_own_links, "z", 1};
};

} // namespace detail

class isolated_edge : private detail::isolated_links, public proxy_fixture
{
public:
    explicit isolated_edge(bool told = true)
        : proxy_fixture(m_own_io, m_own_turns, told)
    {}

    /// Limits cold runners to \p per_s calls per second, with no owner
    /// reachable to count them.
    void limit_cold(double per_s)
    {
        auto changed = config(2);
        changed.m_services["svc"].m_cold_requests_per_s = per_s;
        m_proxy.apply_config(std::move(changed));
        m_proxy.set_cold_client(m_cold);
    }

private:
    quota_client m_quota{m_own_io, m_own_time, m_own_links};
    cold_runner_client m_cold{m_own_time, m_quota, 1.5, 5};
};

} // namespace pepperturn::test
