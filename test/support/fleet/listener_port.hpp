// SPDX-License-Identifier: BSL-1.0
/// \file
/// Ports for listeners that start some time after their port was chosen.
#pragma once

#include "pepperturn/base/async.hpp"

#include <fstream>
#include <optional>
#include <random>

namespace pepperturn::test {

namespace detail {

/// Below are ports of well-known services.
inline constexpr int lowest_port = 10000;

/// The first port that the kernel gives to outgoing connections.
inline int first_outgoing_port()
{
    int first = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> first;
    return first;
}

} // namespace detail

/// Binds a socket to an unused port that no outgoing connection is given: one
/// of that range may be taken before its listener starts, or while it restarts.
/// \returns empty if none was found
[[nodiscard]] inline std::optional<tcp::socket>
claim_listener_port(asio::io_context& io, std::mt19937& random)
{
    constexpr int max_draws = 1000;
    const int end = detail::first_outgoing_port();
    for (int i = 0; i < max_draws && end > detail::lowest_port; ++i)
    {
        std::uniform_int_distribution<int> ports(detail::lowest_port, end - 1);
        const auto port = static_cast<std::uint16_t>(ports(random));
        tcp::socket claim(io, tcp::v4());
        error_code ec;
        claim.bind({asio::ip::address_v4::loopback(), port}, ec);
        if (!ec)
            return claim;
    }
    return std::nullopt;
}

} // namespace pepperturn::test
