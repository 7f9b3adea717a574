// SPDX-License-Identifier: BSL-1.0
/// \file
/// Fetches a large configuration from a storage VM. Storage VMs announce only
/// the revision of such a configuration; the text is requested from the nearest
/// VM that has it.
#pragma once

#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

class config_fetcher
{
public:
    /// \param availability_zone members of this zone are asked first
    /// \param on_config called with each configuration received
    config_fetcher(asio::io_context& io, const clock& time, member_links& links,
                   std::string availability_zone,
                   std::function<void(const cluster_state&)> on_config);

    /// Sets the members and with them the zone of each.
    void set_members(const std::vector<member>& members);
    /// Sets the newest revision known on this VM; older ones are not fetched.
    void note_known(std::uint64_t revision);
    /// Records that \p member announced the configuration of \p revision.
    void note_announced(const std::string& member, std::uint64_t revision);

private:
    /// Members that announced a newer revision, those of the own zone first.
    [[nodiscard]] std::vector<std::string> sources(bool near_only) const;
    /// Drops announcements of disconnected members; a member repeats its
    /// announcement when it reconnects.
    void forget_disconnected();
    [[nodiscard]] bool in_own_zone(const std::string& member) const;
    task<> fetch();
    /// Waits until a newer configuration is known, the request has failed, or
    /// \p deadline has passed.
    task<> wait_for_reply(instant deadline);
    /// A reply is used whenever it arrives, even after the wait has ended.
    void send_request(const std::string& member);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::string m_availability_zone;
    std::function<void(const cluster_state&)> m_on_config;
    std::map<std::string, std::string> m_zones;
    std::uint64_t m_known = 0;
    std::map<std::string, std::uint64_t> m_announced;
    async_event m_changed;
    bool m_fetching = false;
    /// The last request failed: its connection ended before a reply.
    bool m_request_failed = false;
};

} // namespace pepperturn
