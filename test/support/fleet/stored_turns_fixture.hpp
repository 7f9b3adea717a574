// SPDX-License-Identifier: BSL-1.0
/// \file
/// Storage VMs, and a proxy whose streaming routes store their turns.
#pragma once

#include "support/fleet/proxy_fixture.hpp"
#include "support/fleet/storage_fixture.hpp"

namespace pepperturn::test {

inline constexpr const char* last_chunk_text = "\r\n0\r\n\r\n";

class stored_turns_fixture : public storage_fixture, public proxy_fixture
{
public:
    stored_turns_fixture() : proxy_fixture(storage_fixture::m_io, m_client)
    {
        start_three();
        auto config = proxy_fixture::config(2);
        for (auto& row : config.m_routes)
        {
            row.m_stateful = row.m_kind == route_kind::stream;
            row.m_retention = milliseconds(60000);
        }
        REQUIRE(m_proxy.apply_config(config));
        m_proxy.set_runners({{"r1", "svc", m_first.address(), "z", 4, false}});
    }

    /// Takes a turn of one program that continues \p parent.
    std::string take_turn(const std::string& id, const std::string& parent)
    {
        auto lines = std::string("Pepperturn-Program: p\r\n"
                                 "Pepperturn-Token-Count: 10,8\r\n");
        if (!parent.empty())
            lines += "Pepperturn-Parent-Turn: " + parent + "\r\n";
        auto request = post("/stream/", "in;", lines);
        request.replace(request.find("Call: c1"), 8, "Call: " + id);
        // Their heartbeats, which a long turn before this one has missed.
        for (const auto& [name, vm] : m_vms)
            vm->m_node->tick();
        REQUIRE(proxy_fixture::wait_for([&] { return m_client.connected(); }));
        connect();
        send(request);
        CHECK(proxy_fixture::wait_for([&] {
            return has(m_received, last_chunk_text) || m_ended ||
                   ((has(m_received, "HTTP/1.1 4") ||
                     has(m_received, "HTTP/1.1 5")) &&
                    has(m_received, "\r\n\r\n"));
        }));
        return m_received;
    }
};
} // namespace pepperturn::test
