// SPDX-License-Identifier: BSL-1.0
/// \file
/// Asks the owners of a workspace's limit for leave to run one request.
#pragma once

#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/tenancy/limit_owners.hpp"

#include <map>

namespace pepperturn {

/// Leave to run one request.
struct quota_grant
{
    quota_outcome m_outcome = quota_outcome::not_owner;
    /// Over the limit: when there is room again.
    milliseconds m_retry_after{0};
    /// Who granted it.
    std::string m_owner;
    /// The place that it has there, as told.
    std::uint32_t m_slot = 0;
    /// How long the request waited for it.
    milliseconds m_wait{0};
    quota_request m_request;
    /// Owners that were asked.
    unsigned m_owners_asked = 0;
};

class quota_client
{
public:
    quota_client(asio::io_context& io, const clock& time, member_links& links);

    /// The storage VMs among which owners are found.
    void set_members(const std::vector<member>& members);

    /// Asks the owners one after the other until one grants it. Where none has
    /// room at once, the one that has it first is asked for a place within the
    /// question's patience, and the answer comes when it is time.
    /// \returns `not_owner` if none of them could answer
    [[nodiscard]] task<quota_grant> acquire(quota_request question);
    /// Gives a grant back whose request has certainly not run.
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

    /// The owner said lately that it has no room for first calls: until then.
    /// Others are asked for each time: a place may be kept for them.
    [[nodiscard]] std::optional<instant>
    refused_until(const refusal_key& key) const;
    void record_refusal(refusal_key key, instant until);
    /// The owners of its workspace, the one that its program keeps to first.
    [[nodiscard]] std::vector<std::string>
    ranked_owners(const quota_request& question);
    /// Asks one owner, and takes its answer into \p out.
    /// \returns when there is room, if there is none now
    [[nodiscard]] task<std::optional<instant>>
    request_from_owner(std::string owner, quota_request question,
                       std::shared_ptr<quota_grant> out);

    /// Waits until the time of a grant's place. A place ahead is known to its
    /// owner only.
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
