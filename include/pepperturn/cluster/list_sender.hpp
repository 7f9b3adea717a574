// SPDX-License-Identifier: BSL-1.0
/// \file
/// Sends VMs the list of all runners in parts.
///
/// Load pattern: hundreds of VMs start at the same moment, and each lacks a
/// list of thousands of runners. A list in one frame holds up the heartbeats
/// and replies behind it, so that its sender looks silent, and what slow links
/// have not taken yet grows with the list.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/state.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace pepperturn {

class list_sender
{
public:
    /// Where the lists come from.
    struct source
    {
        std::function<const cluster_state&()> m_state;
        /// Number of changes of the state so far: while it and the epoch stay
        /// the same, parts are encoded once for all VMs.
        std::function<std::uint64_t()> m_changes;
        /// Epoch of the frames.
        std::function<std::uint64_t()> m_epoch;
    };

    list_sender(asio::io_context& io, const clock& time, source from);

    /// Begins to send the list, or lets the one that is being sent begin anew:
    /// one at a time for each VM. The next part is sent once the one before has
    /// been taken, so that what the VM has not read yet stays small, and other
    /// frames pass between the parts.
    /// \param name of the VM, for the log
    void start(const std::shared_ptr<frame_link>& to, const std::string& name);
    /// The VM wants no list any more.
    void cancel(const std::shared_ptr<frame_link>& to);

    /// Lists that are being sent.
    [[nodiscard]] std::size_t active() const
    {
        return m_listings.size();
    }
    [[nodiscard]] std::uint64_t sent_bytes() const
    {
        return m_sent_bytes;
    }

private:
    /// A list that is being sent.
    struct listing
    {
        std::string m_name;
        /// How often it was started.
        std::uint64_t m_starts = 0;
        bool m_cancelled = false;
    };
    struct encoded_part
    {
        /// Name after which the next part begins; empty: it was the last.
        std::string m_until;
        std::shared_ptr<const std::string> m_bytes;
    };
    /// Parts by the name after which they begin.
    struct encoded_parts
    {
        std::uint64_t m_changes = 0;
        std::uint64_t m_epoch = 0;
        std::map<std::string, encoded_part> m_rows;
    };

    /// \param alive expired once this object has ended
    task<> send(std::weak_ptr<const bool> alive,
                std::shared_ptr<frame_link> link, std::shared_ptr<listing> row);
    /// \param dated the parts carry the revision of the state
    [[nodiscard]] encoded_part encode_part(const std::string& after,
                                           bool dated);

    asio::io_context& m_io;
    const clock& m_time;
    source m_source;
    /// Coroutines that outlive this object find it expired.
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
    std::map<std::shared_ptr<frame_link>, std::shared_ptr<listing>> m_listings;
    encoded_parts m_parts;
    std::uint64_t m_sent_bytes = 0;
};

} // namespace pepperturn
