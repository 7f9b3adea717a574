// SPDX-License-Identifier: BSL-1.0
/// \file
/// One quorum request of a turn_client, shared by the files that implement it.
#pragma once

#include "pepperturn/turns/turn_client.hpp"

#include <algorithm>

namespace pepperturn {

/// One request to the members of a replica set, repeated until enough have
/// replied.
struct turn_client::round
{
    struct row
    {
        bool m_pending = false;
        std::optional<frame> m_reply;
        /// For the log.
        member_reply m_last = member_reply::not_asked;
        /// Of replies that were no answer.
        std::uint32_t m_refusals = 0;
        /// It is not asked again before this.
        instant m_ask_at{};
    };

    round(asio::io_context& io, id_key program, frame_body body)
        : m_program(program), m_body(std::move(body)), m_changed(io)
    {}

    id_key m_program;
    frame_body m_body;
    /// The one member that is requested to send the history as well.
    std::string m_history_member;
    /// Spreads load over the members that receive the request first.
    std::uint64_t m_random_tiebreak = 0;
    /// From then on the request is sent to every member.
    instant m_request_all_at{};
    std::uint64_t m_epoch = 0;
    std::map<std::string, row> m_rows;
    async_event m_changed;
    bool m_closed = false;

    [[nodiscard]] bool has_reply(const std::string& name) const
    {
        const auto found = m_rows.find(name);
        return found != m_rows.end() && found->second.m_reply;
    }
    [[nodiscard]] const begun_message* begun(const std::string& name) const
    {
        const auto found = m_rows.find(name);
        if (found == m_rows.end() || !found->second.m_reply)
            return nullptr;
        return std::get_if<begun_message>(&found->second.m_reply->m_body);
    }
    [[nodiscard]] bool parent_found() const
    {
        return std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& row) {
            const auto* reply = begun(row.first);
            return reply != nullptr && reply->m_parent_found;
        });
    }
};

} // namespace pepperturn
