// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connections of one process to storage VMs: requests over them, and the
/// cluster state updates that some of these VMs send.
#pragma once

#include "pepperturn/cluster/dialing.hpp"
#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/link_health.hpp"
#include "pepperturn/cluster/relay_client.hpp"

#include <map>

namespace pepperturn {

class member_links
{
public:
    /// \param self_name sent in the first frame; no connection is opened to a
    /// member of this name
    member_links(asio::io_context& io, const clock& time,
                 std::string self_name);

    /// Called for each cluster state received from a storage VM.
    /// \param handler takes the sender's name and the state
    void
    on_state(std::function<void(const std::string&, cluster_state&&)> handler);
    /// Called for the suspects that a storage VM sends.
    void on_suspects(std::function<void(const std::vector<suspect>&)> handler);

    /// Connects to \p addresses until the members are known.
    void connect_seeds(const std::vector<std::string>& addresses);
    /// Connects to \p members and closes connections to all others.
    void set_members(const std::vector<member>& members);
    /// Subscribes to state updates of \p sources only; before the first call,
    /// of all members.
    void subscribe(std::vector<std::string> sources);
    void stop();

    /// With more than \p max_members members, keeps permanent connections only
    /// to update sources and connects to others on demand. Otherwise every
    /// process of a fleet would hold a connection to each storage VM and
    /// receive its heartbeats.
    void set_max_persistent(std::size_t max_members)
    {
        m_max_persistent = max_members;
    }
    /// \param revision returns the revision up to which this process knows all
    /// runners; 0: none. Only later changes are sent to it.
    void on_hello(std::function<std::uint64_t()> revision)
    {
        m_known_runners = std::move(revision);
    }
    /// Relays requests to unresponsive members through \p client from now on.
    /// \param client must outlive this object
    void use_relay_client(relay_client& client)
    {
        m_relay_client = &client;
    }
    /// Advertises this VM as a relay on each connection from now on.
    /// \param relay_address where this VM accepts requests to relay
    void advertise_relay(std::string relay_address,
                         std::string availability_zone);
    /// Probes members that are not reached directly; to be called a few times a
    /// second if a relay client is in use.
    void tick();

    /// Sends a request to a member; \p done may be called at once if it is not
    /// connected.
    /// \param epoch of the view that the request is based on
    /// \param timeout of the requester: the shorter it is, the sooner the
    /// request is relayed
    void call(const std::string& name, std::uint64_t epoch, frame_body body,
              reply_handler done,
              milliseconds timeout = 2 * direct_reply_timeout);
    /// The same as a coroutine; empty if no reply arrives before \p deadline.
    [[nodiscard]] task<std::optional<frame>> request(std::string name,
                                                     std::uint64_t epoch,
                                                     frame_body body,
                                                     instant deadline);
    /// Sends a notification that expects no reply; it is dropped if the member
    /// is not connected.
    void notify(const std::string& name, frame_body body);
    /// Sends a request on the member's direct link only; empty at once if that
    /// link closes or becomes unresponsive.
    [[nodiscard]] task<std::optional<frame>>
    request_directly(std::string name, std::uint64_t epoch, frame_body body,
                     instant deadline);
    /// Sends the view to a member that seems not to know it.
    void send_view(const std::string& name, const cluster_view& view);

    /// True if the member is connected, recently replied through a relay peer,
    /// or would be connected to on demand.
    [[nodiscard]] bool connected(const std::string& name) const;
    /// True if the member sent something within two heartbeats, directly or
    /// through a relay peer, or if it would be connected to on demand.
    [[nodiscard]] bool reachable(const std::string& name) const;
    /// True if the member is responsive on its direct link.
    [[nodiscard]] bool reachable_directly(const std::string& name) const;
    /// Number of the connection to the member, unique in this process; 0: there
    /// is none, or nothing arrived on it within two heartbeats.
    [[nodiscard]] std::uint64_t live_connection(const std::string& name) const;
    /// True if updates of the member are subscribed to.
    [[nodiscard]] bool subscribed_to(const std::string& name) const;
    /// True if its last connection, or the last attempt at one, has failed.
    [[nodiscard]] bool failed(const std::string& name) const;
    /// True if the member may send updates: its last connection attempt has not
    /// failed, and its connection, if there is one, is not silent. A frozen
    /// member keeps its connection and sends nothing.
    [[nodiscard]] bool may_send_updates(const std::string& name) const;
    /// When the member last sent anything, directly or through a relay peer;
    /// before that, when it was added. The epoch of the clock: it is not a
    /// member.
    [[nodiscard]] instant last_seen(const std::string& name) const;
    /// When any member last reached the platform's store, by the members'
    /// heartbeats.
    [[nodiscard]] instant store_last_seen() const
    {
        return m_store_last_seen;
    }
    /// The same, counting only members that watch the store themselves.
    [[nodiscard]] instant store_last_watched() const
    {
        return m_store_last_watched;
    }
    /// True if the member recently reported that it watches the store and
    /// reaches it.
    [[nodiscard]] bool watches_store(const std::string& name) const;
    /// Newest frames that the member understands, by its last heartbeat.
    [[nodiscard]] std::uint16_t frame_version(const std::string& name) const;
    /// Number of requests sent on direct links.
    [[nodiscard]] std::uint64_t direct_requests() const
    {
        return m_direct_requests;
    }

private:
    /// A request on a member's direct link.
    struct direct_request
    {
        reply_handler m_done;
        instant m_sent_at{};
        milliseconds m_timeout{};
        /// The request, if it may be relayed.
        std::optional<frame> m_frame;
        /// Fail the request as soon as the link is unresponsive.
        bool m_direct_only = false;
    };
    struct member_link
    {
        explicit member_link(asio::io_context& io) : m_wake(io) {}

        /// Notified when a connection is needed, or when the member is removed.
        async_event m_wake;
        std::string m_name;
        std::string m_address;
        std::shared_ptr<frame_link> m_link;
        /// Number of the connection in m_link.
        std::uint64_t m_number = 0;
        std::map<std::uint64_t, direct_request> m_calls;
        instant m_last_received{};
        instant m_last_reply{};
        /// A request timed out, and nothing has arrived since.
        bool m_unresponsive = false;
        std::uint16_t m_frame_version = 0;
        /// When the member last reached the store through its own watch.
        instant m_last_watched{};
        /// The last hello asked for state updates.
        bool m_sent_subscribed = false;
        /// The last hello said that this process knows no members yet.
        bool m_sent_seeks = false;
        /// The last connection attempt failed, or the connection ended.
        bool m_failed = false;
        instant m_failed_at{};
        /// When a request to the member was last made.
        instant m_last_used{};
        /// Frames to send once connected.
        std::vector<std::pair<frame, std::optional<direct_request>>> m_queued;
        bool m_removed = false;
    };

    void add_link(const std::string& name, const std::string& address);
    /// Removes and returns the link in \p rows that belongs to \p target, by
    /// its name or, for a seed, by its address.
    [[nodiscard]] static std::shared_ptr<member_link>
    extract_link(std::map<std::string, std::shared_ptr<member_link>>& rows,
                 const member& target);
    task<> keep_connected(std::shared_ptr<member_link> row);
    /// True if members are connected to on demand only.
    [[nodiscard]] bool on_demand() const
    {
        return m_members_known && m_links.size() > m_max_persistent;
    }
    /// True if a connection to the member should be held.
    [[nodiscard]] bool needed(const member_link& row) const;
    /// True if the member is not connected, but a connection attempt is
    /// expected to succeed.
    [[nodiscard]] bool connectable(const member_link& row) const;
    /// Queues \p value and wakes the connection task.
    void enqueue(member_link& row, frame value,
                 std::optional<direct_request> pending);
    void send_queued(member_link& row);
    void fail_queued(member_link& row);
    void wake_needed();
    [[nodiscard]] dial_times choose_times(unsigned failures) const;
    /// Handles frames until the connection ends.
    /// \returns the reason of the end
    task<std::string> serve_link(std::shared_ptr<member_link> row,
                                 std::shared_ptr<frame_link> link);
    void update_isolation();
    void handle_frame(member_link& row, frame value);
    void handle_heartbeat(member_link& row, const heartbeat_message& heartbeat);
    [[nodiscard]] static link_facts facts_of(const member_link& row);
    [[nodiscard]] static const char* reason_of(const member_link& row);
    [[nodiscard]] task<std::optional<frame>>
    await_reply(std::string name, std::uint64_t epoch, frame_body body,
                instant deadline, bool direct_only);
    void send_on_link(member_link& row, frame request_frame,
                      direct_request pending);
    /// Fails the pending requests, or relays those that may be relayed.
    void end_calls(const std::string& name, member_link& row);
    /// Sends a pending request through a relay peer as well; the first reply
    /// wins.
    void relay_request(const std::string& name, direct_request& pending);
    void record_received(const std::string& name, member_link& row);
    void mark_unresponsive(const std::string& name, member_link& row);
    task<> monitor_links();
    /// \returns false if no request waits for a reply
    [[nodiscard]] bool check_links();
    void send_hello(member_link& row);
    /// Sends a new hello where the subscription or membership status has
    /// changed.
    void refresh_hellos();

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::string m_relay_address;
    std::string m_availability_zone;
    /// Null: requests are not relayed.
    relay_client* m_relay_client = nullptr;
    bool m_monitoring = false;
    std::uint64_t m_direct_requests = 0;
    std::function<void(const std::string&, cluster_state&&)> m_on_state;
    std::function<void(const std::vector<suspect>&)> m_on_suspects;
    std::map<std::string, std::shared_ptr<member_link>> m_links;
    /// Update sources; empty: all members.
    std::optional<std::vector<std::string>> m_sources;
    bool m_members_known = false;
    std::size_t m_max_persistent = SIZE_MAX;
    std::function<std::uint64_t()> m_known_runners;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_last_number = 0;
    instant m_store_last_seen{};
    instant m_store_last_watched{};
    /// When this VM started, or lost its last connection.
    instant m_isolated_since{};
    bool m_stopped = false;
};

} // namespace pepperturn
