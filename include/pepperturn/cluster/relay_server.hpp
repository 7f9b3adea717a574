// SPDX-License-Identifier: BSL-1.0
/// \file
/// Relayed requests to storage VMs: the edge VM that relays them.
///
/// It stores and logs nothing of what it relays: no key, turn or limit. Epoch
/// and status are forwarded unchanged, so that members fence a requester with
/// an old view as they would on its own link. A requester that reaches no
/// storage VM receives cluster state updates from here as well: with an old
/// view it would be fenced for as long as the partition lasts. A request that
/// cannot be relayed is rejected at once, so that the requester tries its next
/// peer.
#pragma once

#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/list_sender.hpp"
#include "pepperturn/cluster/relay_limits.hpp"
#include "pepperturn/cluster/silent_links.hpp"

#include <functional>
#include <set>

namespace pepperturn {

/// Totals of what was relayed by one VM.
struct relay_counts
{
    /// Requests relayed.
    std::uint64_t m_requests = 0;
    /// Requests rejected for lack of budget or because the member is
    /// unreachable.
    std::uint64_t m_refused = 0;
    /// Of requests and replies.
    std::uint64_t m_bytes = 0;
    /// Connections closed because the peer sent what may not be relayed.
    std::uint64_t m_violations = 0;

    friend bool operator==(const relay_counts&, const relay_counts&) = default;
};

class relay_server
{
public:
    struct hooks
    {
        /// True if the member is reachable on this VM's own link.
        std::function<bool(const std::string& member)> m_is_reachable;
        /// Sends a request on that link only; empty: no reply arrived.
        std::function<task<std::optional<frame>>(
            std::string member, std::uint64_t epoch, frame_body body,
            instant deadline)>
            m_request;
        /// The cluster state, for requesters that reach no storage VM, and the
        /// number of its changes so far.
        std::function<const cluster_state&()> m_state;
        std::function<std::uint64_t()> m_changes;
    };

    relay_server(asio::io_context& io, const clock& time, hooks what,
                 const relay_limits& limits = {});

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);
    [[nodiscard]] bool has_subscribers() const
    {
        return !m_subscribers.empty();
    }
    /// Sends a state update to the subscribers.
    void send_updates(const cluster_state& update);
    /// Closes all connections, so that requesters turn to other peers at once.
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
    /// Decodes the request in \p value; empty: it may not be relayed.
    [[nodiscard]] std::optional<frame>
    read_request(const relayed_message& value, std::string& reason) const;
    void close(const std::shared_ptr<frame_link>& link,
               const std::string& reason);
    void record_violation(const std::string& reason);
    task<> relay_request(std::shared_ptr<frame_link> link, std::uint64_t call,
                         std::string member, frame request);
    void reject(frame_link& link, std::uint64_t call,
                const std::string& member);

    asio::io_context& m_io;
    const clock& m_time;
    hooks m_hooks;
    relay_limits m_limits;
    relay_budget m_budget;
    tcp::acceptor m_acceptor;
    silent_links m_silent;
    std::set<std::shared_ptr<frame_link>> m_links;
    /// Links that subscribed to state updates.
    std::set<std::shared_ptr<frame_link>> m_subscribers;
    list_sender m_lists;
    std::size_t m_in_flight = 0;
    relay_counts m_counts;
    instant m_next_log{};
};

} // namespace pepperturn
