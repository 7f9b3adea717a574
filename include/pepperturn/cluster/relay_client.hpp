// SPDX-License-Identifier: BSL-1.0
/// \file
/// Questions to storage VMs through neighbours: the asking side.
///
/// Load pattern: an edge VM is separated from some or all storage VMs while
/// other edge VMs hear both it and them. Without another way it would refuse
/// every request that needs a turn, a limit or a place, for as long as the
/// partition lasts.
///
/// One hop only: a neighbour passes a question on over its own link, or says
/// at once that it cannot, and the next one is asked. The first answer is
/// taken. Connections to neighbours are made when they are first needed.
#pragma once

#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/relay_peers.hpp"

#include <map>
#include <set>

namespace pepperturn {

/// What went through neighbours so far.
struct relay_client_counts
{
    std::uint64_t m_requests = 0;
    /// No neighbour brought an answer.
    std::uint64_t m_failed = 0;

    friend bool operator==(const relay_client_counts&,
                           const relay_client_counts&) = default;
};

class relay_client
{
public:
    relay_client(asio::io_context& io, const clock& time, std::string self_name,
                 std::string availability_zone);

    /// Takes the neighbours to ask from now on. An empty list is passed over:
    /// a VM that tells it has just started.
    void set_peers(std::vector<neighbour> neighbours);
    void stop();
    /// Called for what a neighbour tells of the world.
    void on_state(std::function<void(const cluster_state&)> handler)
    {
        m_on_state = std::move(handler);
    }
    /// Neighbours are to tell of the world from now on, or not any more.
    void set_subscribed(bool wanted);

    /// Some neighbour may reach \p member.
    [[nodiscard]] bool may_reach(const std::string& member) const;
    /// Asks \p member through a neighbour.
    /// \param reason why it is not reached directly, for the log
    /// \param question its epoch goes with it as it is
    /// \param done comes exactly once; at once if nobody can be asked
    /// \param patience the next neighbour is tried after it at the latest; one
    /// below \ref usual_silence ends the question at twice its length
    void send_request(const std::string& member, const char* reason,
                      const frame& question, reply_handler done,
                      milliseconds patience);
    /// Asks a member that is not reached directly for a sign of life, unless
    /// it was heard a moment ago; at ever longer intervals while there is none.
    void probe(const std::string& member, const char* reason);
    /// The member is reached directly again.
    void end_relaying(const std::string& member);

    /// When the member last answered through a neighbour; the epoch of the
    /// clock: never.
    [[nodiscard]] instant last_seen(const std::string& member) const;
    /// Neighbours that may be asked.
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
        neighbour m_peer;
        std::shared_ptr<frame_link> m_link;
        bool m_connecting = false;
        bool m_removed = false;
        instant m_last_received{};
        instant m_backoff_until{};
        /// Failures in a row to connect or to answer.
        std::uint32_t m_failures = 0;
        /// Members that it does not reach, by its own word.
        std::map<std::string, instant> m_unreachable_until;
        /// Questions that wait for the connection.
        std::vector<std::uint64_t> m_queued;
        /// Questions that it has not answered.
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
        /// When the last neighbour was asked.
        instant m_last_attempt{};
        std::string m_last_peer;
    };
    /// A member that is asked through neighbours.
    struct member_status
    {
        instant m_last_seen{};
        instant m_next_probe{};
        milliseconds m_probe_interval{};
        bool m_probing = false;
        /// An answer has come since it was last reached directly.
        bool m_relaying = false;
        const char* m_reason = "";
    };

    void record_probe(member_status& row, bool answered) const;
    [[nodiscard]] std::vector<relay_peer_facts>
    facts_for(const std::string& member,
              const std::set<std::string>& tried) const;
    void try_next(std::uint64_t id);
    task<> connect(std::shared_ptr<peer_state> row);
    void handle_frame(const std::shared_ptr<peer_state>& row,
                      const frame& value);
    void handle_reply(peer_state& row, std::uint64_t id, frame answer);
    void disconnect(peer_state& row);
    void back_off(peer_state& row);
    /// Some neighbour may still answer.
    [[nodiscard]] bool is_pending(std::uint64_t id) const;
    /// One neighbour has no answer to a question.
    void abandon_attempt(peer_state& row, std::uint64_t id);
    void complete(std::uint64_t id, std::optional<frame> answer);
    void start_monitor();
    /// Goes on to the next neighbour where one says nothing.
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
    bool m_subscribed = false;
    bool m_monitoring = false;
    bool m_stopped = false;
    relay_client_counts m_counts;
};

} // namespace pepperturn
