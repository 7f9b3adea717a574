// SPDX-License-Identifier: BSL-1.0
/// \file
/// Requests permission from the owners of a workspace's limit to run a request.
///
/// The owners are storage VMs; each grants a share of the limit.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/tenancy/limit_owners.hpp"

#include <map>

namespace pepperturn {

/// The owners' reply to a request for permission to run one request.
struct quota_grant
{
    quota_outcome m_outcome = quota_outcome::not_owner;
    /// Over the limit: time until the limit allows a request again.
    milliseconds m_retry_after{0};
    /// The VM that granted it.
    std::string m_owner;
    /// The granted slot in the owner's window, packed as in the reply.
    std::uint32_t m_slot = 0;
    /// Time from the grant until the slot starts.
    milliseconds m_wait{0};
    quota_request m_request;
    unsigned m_owners_asked = 0;
};

/// Tries the owners in turn, and remembers recent refusals of first calls.
class quota_client
{
public:
    quota_client(asio::io_context& io, const clock& time, member_links& links);

    /// Sets the members from which the owners are taken.
    void set_members(const std::vector<member>& members);

    /// Asks the owners one after the other until one grants the request. If no
    /// owner has a free slot now, asks the one that has a slot first for one
    /// within the request's timeout, and returns when that slot starts.
    /// \returns `not_owner` if none of them replied
    [[nodiscard]] task<quota_grant> acquire(quota_request request);
    /// Returns a grant whose request has certainly not run.
    void release(const quota_grant& grant);

private:
    struct refusal_key
    {
        std::uint64_t m_workspace = 0;
        std::string m_owner;

        // The linter takes the zero of a rewritten comparison for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const refusal_key&) const = default;
    };

    /// Until when a recent refusal of a program's first call is reused without
    /// asking the owner. Later calls are always sent to it, since it may have
    /// reserved a slot for them.
    [[nodiscard]] std::optional<instant>
    refused_until(const refusal_key& key) const;
    void record_refusal(refusal_key key, instant until);
    /// The owners of the request's workspace, its program's usual owner first.
    [[nodiscard]] std::vector<std::string>
    ranked_owners(const quota_request& request);
    /// Asks one owner and stores its reply in \p out.
    /// \returns when a slot will be free, if none is now
    [[nodiscard]] task<std::optional<instant>>
    request_from_owner(std::string owner, quota_request request,
                       std::shared_ptr<quota_grant> out);

    /// Waits until a grant's slot starts; only its owner knows of that slot.
    /// \returns false if the owner may have restarted meanwhile
    [[nodiscard]] task<bool> wait_for_slot(std::shared_ptr<quota_grant> grant);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::vector<std::string> m_members;
    std::map<refusal_key, instant> m_refused_until;
    std::uint64_t m_rotation = 0;
};

} // namespace pepperturn
