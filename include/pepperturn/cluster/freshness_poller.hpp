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
        /// Age above which the next source is polled.
        milliseconds m_max_source_age{0};
        /// True if sources send this VM every view they learn, in order with
        /// their replies.
        bool m_receives_views = false;
    };

    freshness_poller(asio::io_context& io, const clock& time,
                     member_links& links, hooks what);

    /// Starts or stops polling.
    void set_enabled(bool enabled);
    /// Settles what was confirmed of a configuration that is in force now.
    void note_config(std::uint64_t revision);
    [[nodiscard]] const freshness_bound& freshness() const
    {
        return m_freshness;
    }
    /// The VM that last confirmed the configuration in force; empty: none has.
    [[nodiscard]] const std::string& confirmed_by() const
    {
        return m_confirmed_by;
    }

private:
    /// What a VM confirmed of a configuration that this VM does not have yet.
    struct early_confirmation
    {
        std::uint64_t m_revision = 0;
        instant m_at{};
        std::string m_by;
    };

    task<> poll();
    /// \returns true if the data is fresh after this poll
    task<bool> poll_once();
    void handle_reply(const std::string& source,
                      const freshness_message& reported, instant sent_at);
    void record_config(instant at, const std::string& by);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    hooks m_hooks;
    freshness_bound m_freshness;
    std::string m_confirmed_by;
    std::optional<early_confirmation> m_early;
    std::size_t m_next_source = 0;
    bool m_enabled = false;
    bool m_polling = false;
};

} // namespace pepperturn
