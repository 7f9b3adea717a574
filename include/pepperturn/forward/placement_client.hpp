// SPDX-License-Identifier: BSL-1.0
/// \file
/// Asks the storage VM that hands out places at engines for one.
///
/// Nothing waits for that VM for long: while it is away, slow or new, the edge
/// VM chooses an engine by itself.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/scheduling/engine_places.hpp"

#include <map>

namespace pepperturn {

/// A place that was given, or why there is none.
struct placement_result
{
    placement_reply m_reply;
    placement_request m_request;
    /// The VM that counts it; empty: nobody was asked.
    std::string m_storage_vm;
};

/// The storage VMs that may hand out a service's places, the first one first;
/// all VMs agree on it that know the same members.
/// \param service hash of its name
[[nodiscard]] std::vector<std::string>
placement_vms(const std::vector<std::string>& members, std::uint64_t service);

/// A prompt is worth asking for if it has a part that other programs share and
/// that takes an engine long to read; the last part is the conversation's own.
/// \param from_tokens least size of such a part; 0: none is
[[nodiscard]] bool has_large_shared_part(const std::vector<prompt_part>& parts,
                                         std::uint32_t from_tokens);

class placement_client
{
public:
    placement_client(asio::io_context& io, const clock& time,
                     member_links& links, std::uint32_t from_tokens);

    /// The storage VMs among which places are handed out.
    void set_members(const std::vector<member>& members);

    [[nodiscard]] bool
    should_request(const std::vector<prompt_part>& parts) const
    {
        return has_large_shared_part(parts, m_from_tokens);
    }
    /// Asks for a place, and waits in line for it if all engines are full.
    /// \returns `not_placing` if nobody answers soon
    [[nodiscard]] task<placement_result> acquire(placement_request question);
    /// Tells how a call ended that had a place.
    void report_end(const placement_result& grant, placement_report report);

private:
    /// What a VM has left unanswered since its last answer.
    struct unresponsive_vm
    {
        std::uint32_t m_unanswered = 0;
        /// It is not asked before this.
        instant m_excluded_until{};
    };

    void record_unanswered(const std::string& giver);
    /// The VM to ask; empty: none.
    [[nodiscard]] std::string select_vm(std::uint64_t service) const;
    task<std::optional<placement_reply>>
    send_request(std::string giver, placement_request question,
                 milliseconds patience);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::uint32_t m_from_tokens;
    std::vector<std::string> m_members;
    std::map<std::string, unresponsive_vm> m_unresponsive;
};

} // namespace pepperturn
