// SPDX-License-Identifier: BSL-1.0
/// \file
/// Requests engine placements from the storage VM that assigns engine slots.
///
/// Requests to it have short time-outs: while it is unreachable, slow or has
/// just taken over, the edge VM chooses an engine itself.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/scheduling/engine_placements.hpp"

#include <map>

namespace pepperturn {

/// A placement, or why there is none.
struct placement_result
{
    placement_reply m_reply;
    placement_request m_request;
    /// The VM that keeps the placement; empty: none was asked.
    std::string m_storage_vm;
};

/// The storage VMs that may assign a service's engine slots, in order of
/// preference. All VMs that know the same members compute the same list.
/// \param service hash of the service's name
[[nodiscard]] std::vector<std::string>
placement_vms(const std::vector<std::string>& members, std::uint64_t service);

/// Whether a prompt has a part that other programs share and that takes an
/// engine long to process, so that placing it is worth a request. The last part
/// is the conversation's own.
/// \param from_tokens minimum size of such a part; 0: no part is large
[[nodiscard]] bool has_large_shared_part(const std::vector<prompt_part>& parts,
                                         std::uint32_t from_tokens);

/// Excludes a storage VM for a time after repeated time-outs.
class placement_client
{
public:
    placement_client(asio::io_context& io, const clock& time,
                     member_links& links, std::uint32_t from_tokens);

    /// Sets the members from which the placement VMs are taken.
    void set_members(const std::vector<member>& members);

    [[nodiscard]] bool
    should_request(const std::vector<prompt_part>& parts) const
    {
        return has_large_shared_part(parts, m_from_tokens);
    }
    /// Requests a placement, and waits in the queue if all engines are full.
    /// \returns `not_placing` if no reply arrives in time
    [[nodiscard]] task<placement_result> acquire(placement_request request);
    /// Reports how a call with a placement ended.
    void report_end(const placement_result& placement, placement_report report);

private:
    /// Requests that a VM has not answered since its last reply.
    struct unresponsive_vm
    {
        std::uint32_t m_unanswered = 0;
        /// Until then no requests are sent to it.
        instant m_excluded_until{};
    };

    void record_unanswered(const std::string& vm);
    /// The first placement VM that is connected and not excluded; empty: none.
    [[nodiscard]] std::string select_vm(std::uint64_t service) const;
    task<std::optional<placement_reply>> send_request(std::string vm,
                                                      placement_request request,
                                                      milliseconds timeout);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::uint32_t m_from_tokens;
    std::vector<std::string> m_members;
    std::map<std::string, unresponsive_vm> m_unresponsive;
};

} // namespace pepperturn
