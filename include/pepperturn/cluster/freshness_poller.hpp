// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps the age bound of what this VM knows of the platform's store up to date
/// by polling storage VMs for the age of their own data. The rules for using
/// the bound are in tenancy/freshness.hpp.
#pragma once

#include "pepperturn/cluster/member_links.hpp"

namespace pepperturn {

class freshness_poller
{
public:
    /// Callbacks that are evaluated for each request.
    struct hooks
    {
        /// Storage VMs to poll, preferred ones first.
        std::function<std::vector<std::string>()> m_sources;
        /// Revision of the configuration in force on this VM.
        std::function<std::uint64_t()> m_known_revision;
        /// Called when a source reports a newer configuration.
        std::function<void(const std::string& source, std::uint64_t revision)>
            m_on_newer_config;
        /// True if sources send this VM every view they learn, in order with
        /// their replies.
        bool m_receives_views = false;
    };

    freshness_poller(asio::io_context& io, const clock& time,
                     member_links& links, hooks what);

    /// Starts or stops polling.
    void set_enabled(bool enabled);
    /// Merges the bound that this VM has from its own reads of the store.
    void record(const freshness_bound& own);
    [[nodiscard]] const freshness_bound& freshness() const
    {
        return m_freshness;
    }

private:
    task<> poll();
    /// \returns true if the data is fresh after this poll
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
