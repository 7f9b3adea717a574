// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps what this VM knows of the platform's store fresh: asks storage VMs
/// how old theirs is. What may be believed is in tenancy/freshness.hpp.
#pragma once

#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

class freshness_poller
{
public:
    /// Whom to ask and what is known here, as of each question.
    struct hooks
    {
        /// Storage VMs, the best first.
        std::function<std::vector<std::string>()> m_sources;
        /// Revision of the configuration in force here.
        std::function<std::uint64_t()> m_known_revision;
        /// A source knows a newer configuration.
        std::function<void(const std::string& source, std::uint64_t revision)>
            m_on_newer_config;
        /// Sources tell this VM every view that they know, in order with
        /// their answers.
        bool m_receives_views = false;
    };

    freshness_poller(asio::io_context& io, const clock& time,
                     member_links& links, hooks what);

    /// Asks from now on, or no longer.
    void set_enabled(bool wanted);
    /// Takes what this VM has from the store itself.
    void record(const freshness_bound& own);
    [[nodiscard]] const freshness_bound& freshness() const
    {
        return m_freshness;
    }

private:
    task<> poll();
    /// \returns true if what is known is fresh now
    task<bool> poll_once();

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    hooks m_hooks;
    freshness_bound m_freshness;
    std::size_t m_next_source = 0;
    bool m_enabled = false;
    bool m_polling = false;
};

} // namespace pepperturn
