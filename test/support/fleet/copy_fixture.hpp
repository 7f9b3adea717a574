// SPDX-License-Identifier: BSL-1.0
/// \file
/// Members of one replica set that serve copies to a VM, without the rest of
/// their processes.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/turns/turn_server.hpp"

#include "support/fleet/loop.hpp"
#include "support/fleet/scratch_folder.hpp"

#include <catch2/catch.hpp>
#include <filesystem>

namespace pepperturn::test {

/// The turns of one member, in its folder.
class copied_member
{
public:
    copied_member(asio::io_context& io, const clock& time,
                  const std::string& name, const std::string& folder,
                  std::uint16_t port)
        : m_port(port), m_time(time), m_log(folder, segment_bytes),
          m_store(m_log), m_server(io, time, name, m_log, m_store)
    {
        std::string reason;
        bool damaged = false;
        REQUIRE(m_log.identity(1, reason));
        REQUIRE(m_store.load(time.now(), damaged, reason));
        REQUIRE(
            m_server.listen({asio::ip::address_v4::loopback(), port}, reason));
        m_server.open(1);
    }

    /// Stores turns, synced, without a frame for each.
    void add_turns(int first, int count, std::uint32_t retention_ms,
                   std::size_t input_bytes = 100)
    {
        for (int i = first; i < first + count; ++i)
        {
            const auto id = "t" + std::to_string(i);
            m_store.append(
                {retention_ms,
                 turn_record{id, "", std::string(input_bytes, 'a'), "out",
                             "run", key_of("p" + id), key_of(id), 1}},
                m_time.now());
        }
        sync();
    }
    void sync()
    {
        const auto batches = m_log.take_pending();
        std::string reason;
        REQUIRE(m_log.write_batches(batches, reason));
        m_log.written(batches);
    }
    /// Removes what was stored for a short time, and the segments that hold
    /// little else.
    void expire_short()
    {
        const auto end = m_time.now() + milliseconds(2 * short_retention_ms);
        for (int i = 0; i < 600; ++i)
        {
            m_store.expire(end);
            sync();
        }
    }

    static constexpr std::uint32_t short_retention_ms = 1000;
    /// Some tens of the turns that add_turns stores.
    static constexpr std::uint32_t segment_bytes = 16384;

    std::uint16_t m_port;
    const clock& m_time;
    turn_log m_log;
    turn_store m_store;
    turn_server m_server;
};

class copy_fixture
{
public:
    static constexpr std::uint32_t short_retention =
        copied_member::short_retention_ms;
    static constexpr std::uint32_t long_retention = 600000;
    static constexpr std::uint64_t epoch = 7;

    copy_fixture()
    {
        REQUIRE_FALSE(m_folder.empty());
        m_view.m_epoch = epoch;
    }
    ~copy_fixture()
    {
        m_links.stop();
        m_members.clear();
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    copy_fixture(const copy_fixture&) = delete;
    copy_fixture& operator=(const copy_fixture&) = delete;

    static std::string name(int number)
    {
        return "t" + std::to_string(number);
    }
    static id_key key(int number)
    {
        return key_of(name(number));
    }

    copied_member& add(const std::string& name,
                       member_state state = member_state::full)
    {
        const auto port = free_port(m_io);
        auto& out = m_members[name];
        out = std::make_unique<copied_member>(m_io, m_time, name,
                                              m_folder + '/' + name, port);
        m_view.m_members.push_back(
            {name, "127.0.0.1:" + std::to_string(port), name, 1, state});
        return *out;
    }
    /// Tells all members the view and connects to them.
    void start()
    {
        cluster_state state;
        state.m_views = {m_view};
        for (const auto& [name, row] : m_members)
            row->m_server.apply_state(state);
        m_links.set_members(m_view.m_members);
        for (const auto& row : m_view.m_members)
        {
            if (row.m_name == self)
                continue;
            REQUIRE(
                run_until(m_io, [&] { return m_links.connected(row.m_name); }));
        }
    }
    std::optional<frame> request(const std::string& name, frame_body body)
    {
        const auto reply =
            run_task(m_io, m_links.request(name, epoch, std::move(body),
                                           m_time.now() + milliseconds(5000)));
        return reply.value_or(std::nullopt);
    }
    /// Empty: it was refused.
    std::optional<listed_message> list(const std::string& name,
                                       const list_message& what)
    {
        const auto reply = request(name, what);
        if (!reply || reply->m_status != frame_status::ok)
            return std::nullopt;
        return std::get<listed_message>(reply->m_body);
    }

    static constexpr const char* self = "vm-0";

    asio::io_context m_io{1};
    system_clock m_time;
    std::string m_folder = make_scratch_folder("copies");
    member_links m_links{m_io, m_time, self};
    cluster_view m_view;
    std::map<std::string, std::unique_ptr<copied_member>> m_members;
};

} // namespace pepperturn::test
