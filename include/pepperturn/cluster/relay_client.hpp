// SPDX-License-Identifier: BSL-1.0
/// \file
/// Relayed requests to storage VMs: the requesting side.
///
/// Load pattern: a network partition separates an edge VM from some or all
/// storage VMs while other edge VMs (its relay peers) reach both it and them.
/// Without a second path it would refuse every request that needs a turn, a
/// limit or a placement for as long as the partition lasts.
///
/// A request takes one relay hop only: a peer forwards it over its own link, or
/// reports at once that it cannot, and the next peer is tried. The first reply
/// wins. Connections to peers are opened on first use.
#pragma once

#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/relay_peers.hpp"

#include <map>
#include <set>

namespace pepperturn {

/// Totals of requests sent through relay peers.
struct relay_client_counts
{
    std::uint64_t m_requests = 0;
    /// Requests that got no reply through any peer.
    std::uint64_t m_failed = 0;

    friend bool operator==(const relay_client_counts&,
                           const relay_client_counts&) = default;
};

class relay_client
{
public:
    relay_client(asio::io_context& io, const clock& time, std::string self_name,
                 std::string availability_zone);

    /// Replaces the relay peers. An empty list is ignored: it comes from a
    /// storage VM that has just started and knows no edge VMs yet.
    void set_peers(std::vector<relay_peer> peers);
    void stop();
    /// Called for each cluster state update received from a peer.
    void on_state(std::function<void(const cluster_state&)> handler)
    {
        m_on_state = std::move(handler);
    }
    /// Provides the revision up to which this VM has all runners; a peer that
    /// is subscribed to sends what has changed since.
    void on_hello(std::function<std::uint64_t()> known_runners)
    {
        m_known_runners = std::move(known_runners);
    }
    /// Subscribes to or unsubscribes from state updates of a few peers.
    void set_subscribed(bool subscribed);

    /// True if some peer is currently eligible to relay to \p member.
    [[nodiscard]] bool may_reach(const std::string& member) const;
    /// Sends a request to \p member through a relay peer.
    /// \param reason why the member is not reached directly, for the log
    /// \param request forwarded with its epoch unchanged
    /// \param done called exactly once; at once if no peer is eligible
    /// \param timeout the next peer is tried after this time at the latest; if
    /// it is below \ref direct_reply_timeout, the request fails after twice
    /// this time
    void send_request(const std::string& member, const char* reason,
                      const frame& request, reply_handler done,
                      milliseconds timeout);
    /// Sends a probe to a member that is not reached directly, unless a reply
    /// came from it recently; backs off exponentially while probes fail.
    void probe(const std::string& member, const char* reason);
    /// Stops tracking a member that is reached directly again.
    void end_relaying(const std::string& member);

    /// When the member last replied through a peer; the epoch of the clock:
    /// never.
    [[nodiscard]] instant last_seen(const std::string& member) const;
    /// Number of relay peers.
    [[nodiscard]] std::size_t peer_count() const
    {
        return m_peers.size();
    }
    [[nodiscard]] const relay_client_counts& counts() const
    {
        return m_counts;
    }

private:
    struct peer_state
    {
        relay_peer m_peer;
        std::shared_ptr<frame_link> m_link;
        /// This VM has subscribed to its state updates.
        bool m_subscribed = false;
        bool m_connecting = false;
        bool m_removed = false;
        instant m_last_received{};
        instant m_backoff_until{};
        /// Consecutive failures to connect or to reply.
        std::uint32_t m_failures = 0;
        /// Members that it reported as unreachable, and until when they are
        /// skipped.
        std::map<std::string, instant> m_unreachable_until;
        /// Requests to send once the connection is established.
        std::vector<std::uint64_t> m_queued;
        /// Requests sent to this peer that it has not answered.
        std::set<std::uint64_t> m_pending;
    };
    struct pending_request
    {
        std::string m_member;
        frame m_frame;
        reply_handler m_done;
        std::set<std::string> m_tried;
        milliseconds m_reply_timeout{};
        instant m_deadline{};
        /// When the most recent peer was tried.
        instant m_last_attempt{};
        std::string m_last_peer;
    };
    /// State of a member that is reached through peers.
    struct member_status
    {
        instant m_last_seen{};
        instant m_next_probe{};
        milliseconds m_probe_interval{};
        bool m_probing = false;
        /// A relayed reply has arrived since the member was last reached
        /// directly.
        bool m_relaying = false;
        const char* m_reason = "";
    };

    void record_probe(member_status& row, bool answered) const;
    void send_hello(peer_state& row, bool subscribes);
    /// Subscribes to connected peers until there are enough.
    void choose_update_peers();
    [[nodiscard]] std::vector<relay_peer_facts>
    facts_for(const std::string& member,
              const std::set<std::string>& tried) const;
    void try_next(std::uint64_t id);
    task<> connect(std::shared_ptr<peer_state> row);
    void handle_frame(const std::shared_ptr<peer_state>& row,
                      const frame& value);
    void handle_reply(peer_state& row, std::uint64_t id, frame reply);
    void disconnect(peer_state& row);
    void back_off(peer_state& row);
    /// True while some peer may still reply.
    [[nodiscard]] bool is_pending(std::uint64_t id) const;
    /// Ends the attempt at one peer, which has no reply.
    void abandon_attempt(peer_state& row, std::uint64_t id);
    void complete(std::uint64_t id, std::optional<frame> reply);
    void start_monitor();
    /// Tries the next peer where one does not reply in time.
    task<> monitor_requests();
    void check_request(std::uint64_t id);

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::string m_availability_zone;
    std::vector<std::shared_ptr<peer_state>> m_peers;
    std::map<std::uint64_t, pending_request> m_requests;
    std::map<std::string, member_status> m_members;
    std::uint64_t m_next_request = 1;
    std::function<void(const cluster_state&)> m_on_state;
    std::function<std::uint64_t()> m_known_runners;
    bool m_subscribed = false;
    bool m_monitoring = false;
    bool m_stopped = false;
    relay_client_counts m_counts;
};

} // namespace pepperturn
