// SPDX-License-Identifier: BSL-1.0
/// \file
/// Questions to storage VMs through neighbours: the VM that passes them on.
///
/// It keeps nothing of what passes: no key, turn or limit is stored or logged.
/// Epoch and status go through as they are, so that members fence an asker
/// with an old view as on its own link. Who hears no storage VM at all is told
/// of the world from here, as storage VMs tell it: with an old view it would be
/// fenced off for as long as it is cut off. A question that it cannot pass on
/// is answered at once, with a failure, so that the asker tries the next
/// neighbour.
#pragma once

#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/relay_limits.hpp"

#include <functional>
#include <set>

namespace pepperturn {

/// What passed through one VM.
struct relay_counts
{
    /// Questions that were passed on.
    std::uint64_t m_requests = 0;
    /// Questions for which there was no room or no way.
    std::uint64_t m_refused = 0;
    /// Of questions and answers.
    std::uint64_t m_bytes = 0;
    /// Connections closed since what came may not be passed on.
    std::uint64_t m_violations = 0;

    friend bool operator==(const relay_counts&, const relay_counts&) = default;
};

class relay_server
{
public:
    struct hooks
    {
        /// The member is heard on this VM's own link.
        std::function<bool(const std::string& member)> m_is_reachable;
        /// Asks on that link only; empty: no answer came.
        std::function<task<std::optional<frame>>(
            std::string member, std::uint64_t epoch, frame_body body,
            instant until)>
            m_request;
        /// All that is known here, for those who hear no storage VM.
        std::function<cluster_state()> m_state;
    };

    relay_server(asio::io_context& io, const clock& time, hooks what,
                 const relay_limits& limits = {});

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);
    /// Tells those who hear no storage VM what has changed.
    void send_updates(const cluster_state& news);
    /// Closes all connections, so that askers turn to others at once.
    void stop();
    [[nodiscard]] const relay_counts& counts() const
    {
        return m_counts;
    }

private:
    task<> accept_links();
    void add_link(tcp::socket socket);
    void handle_frame(const std::shared_ptr<frame_link>& link, frame value);
    void handle_hello(const std::shared_ptr<frame_link>& link,
                      const hello_message& hello);
    /// The question in \p value; empty: it may not be passed on.
    [[nodiscard]] std::optional<frame>
    read_request(const relayed_message& value, std::string& reason) const;
    void close(const std::shared_ptr<frame_link>& link,
               const std::string& reason);
    void record_violation(const std::string& reason);
    task<> relay_request(std::shared_ptr<frame_link> link, std::uint64_t call,
                         std::string member, frame question);
    void reject(frame_link& link, std::uint64_t call,
                const std::string& member);

    asio::io_context& m_io;
    const clock& m_time;
    hooks m_hooks;
    relay_limits m_limits;
    relay_budget m_budget;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<frame_link>> m_links;
    /// Those that want news.
    std::set<std::shared_ptr<frame_link>> m_subscribers;
    std::size_t m_in_flight = 0;
    relay_counts m_counts;
    instant m_next_log{};
};

} // namespace pepperturn
