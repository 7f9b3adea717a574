// SPDX-License-Identifier: BSL-1.0
/// \file
/// A proxy that has no storage VM.
#pragma once

#include "support/fleet/proxy_world.hpp"

namespace pepperturn::test {

namespace detail {

struct lonely_links
{
    asio::io_context m_own_io{1};
    system_clock m_own_time;
    member_links m_own_links{m_own_io, m_own_time, "edge"};
    turn_client m_own_turns{m_own_io, m_own_time, m_own_links, "z", 1};
};

} // namespace detail

class lonely_edge : private detail::lonely_links, public proxy_world
{
public:
    lonely_edge() : proxy_world(m_own_io, m_own_turns) {}
};

} // namespace pepperturn::test
