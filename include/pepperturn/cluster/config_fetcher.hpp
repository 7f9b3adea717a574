// SPDX-License-Identifier: BSL-1.0
/// \file
/// Gets a configuration that storage VMs have only announced, from the nearest
/// of them.
#pragma once

#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

class config_fetcher
{
public:
    /// \param availability_zone members there are asked first
    /// \param take gets the answers
    config_fetcher(asio::io_context& io, const clock& time, member_links& links,
                   std::string availability_zone,
                   std::function<void(const cluster_state&)> take);

    /// Tells in which zone each member is.
    void set_members(const std::vector<member>& members);
    /// The newest configuration that is here; older ones are not asked for.
    void note_known(std::uint64_t revision);
    /// \p member has the configuration of \p revision.
    void note_announced(const std::string& member, std::uint64_t revision);

private:
    /// Connected members that have something newer, the nearest first.
    [[nodiscard]] std::vector<std::string> sources(bool near_only) const;
    /// Whoever connects again announces again.
    void forget_disconnected();
    [[nodiscard]] bool in_own_zone(const std::string& member) const;
    task<> fetch();
    /// Until what is known is newer, or the member asked is lost.
    task<> wait_for_reply(instant until);
    /// Its answer is taken whenever it comes.
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
    /// The connection to the member asked last has ended.
    bool m_request_failed = false;
};

} // namespace pepperturn
