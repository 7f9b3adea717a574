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
    milliseconds m_retry{0};
    /// Who granted it.
    std::string m_owner;
    quota_question m_question;
    /// Owners that were asked.
    unsigned m_asked = 0;
};

class quota_client
{
public:
    quota_client(asio::io_context& io, const clock& time, member_links& links);

    /// The storage VMs among which owners are found.
    void follow(const std::vector<member>& members);

    /// Asks the owners one after the other until one grants it.
    /// \returns `not_owner` if none of them could answer
    [[nodiscard]] task<quota_grant> take(quota_question question);
    /// Gives a grant back whose request has certainly not run.
    void give_back(const quota_grant& grant);

private:
    struct refusal_key
    {
        std::uint64_t m_workspace = 0;
        bool m_begins = false;
        std::string m_owner;

        // The linter takes the zero of a rewritten comparison for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const refusal_key&) const = default;
    };

    /// The owner said lately that it has no room: until then.
    [[nodiscard]] std::optional<instant>
    refused_until(const refusal_key& key) const;
    void note_refusal(refusal_key key, instant until);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::vector<std::string> m_members;
    std::map<refusal_key, instant> m_refused_until;
    std::uint64_t m_draw = 0;
};

} // namespace pepperturn
