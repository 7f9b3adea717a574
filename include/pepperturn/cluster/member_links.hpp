// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connections of one process to storage VMs, calls over them, and the news
/// that some of them tell.
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
    /// \param self_name sent as the first frame; a member of this name is not
    /// connected to
    member_links(asio::io_context& io, const clock& time,
                 std::string self_name);

    /// Called for each state that a storage VM tells.
    /// \param handler takes the VM's name and what it told
    void on_state(
        std::function<void(const std::string&, const cluster_state&)> handler);

    /// Connects to \p addresses until members are known.
    void connect_seeds(const std::vector<std::string>& addresses);
    /// Connects to \p members and lets go of others.
    void set_members(const std::vector<member>& members);
    /// Hears news from \p sources only; until this is called, from everybody.
    void subscribe(std::vector<std::string> sources);
    void stop();

    /// While there are more members than \p most, only those whose news are
    /// heard are connected to all the time, the others when they are asked.
    /// Without this every process of a fleet holds a connection, and beats on
    /// it, for each storage VM.
    void set_max_persistent(std::size_t most)
    {
        m_max_persistent = most;
    }
    /// \param revision up to which this process knows all runners; 0: none. It
    /// is told only what came later.
    void on_hello(std::function<std::uint64_t()> revision)
    {
        m_known_runners = std::move(revision);
    }
    /// Questions to members that say nothing go through neighbours from now
    /// on.
    /// \param ways must outlive this
    void use_relay_client(relay_client& ways)
    {
        m_relay_client = &ways;
    }
    /// Told to storage VMs on each connection from now on.
    /// \param relay_address where this VM passes on what others ask
    void advertise_relay(std::string relay_address,
                         std::string availability_zone);
    /// Looks after members that are not reached directly; wanted a few times a
    /// second where there are detours.
    void tick();

    /// Asks one member; \p done may come at once if it is not connected.
    /// \param epoch of the view that the question goes by
    /// \param patience of the asker: what waits for less goes through a
    /// neighbour sooner
    void call(const std::string& name, std::uint64_t epoch, frame_body body,
              reply_handler done,
              milliseconds patience = 2 * direct_reply_timeout);
    /// The same as a task; empty if no answer comes before \p until.
    [[nodiscard]] task<std::optional<frame>> request(std::string name,
                                                     std::uint64_t epoch,
                                                     frame_body body,
                                                     instant until);
    /// Sends a notice, whose answer nobody waits for; lost if the member is
    /// not connected.
    void notify(const std::string& name, frame_body body);
    /// Asks on the member's own link only; empty at once when that link ends
    /// or falls silent.
    [[nodiscard]] task<std::optional<frame>>
    request_directly(std::string name, std::uint64_t epoch, frame_body body,
                     instant until);
    /// Tells a member the view, which it seems not to know.
    void send_view(const std::string& name, const cluster_view& view);

    /// It is connected to, or answered through a neighbour lately, or would be
    /// connected to if it were asked.
    [[nodiscard]] bool connected(const std::string& name) const;
    /// It is connected, and was heard within two beats if that can be told.
    [[nodiscard]] bool reachable(const std::string& name) const;
    /// It is heard on its own link.
    [[nodiscard]] bool reachable_directly(const std::string& name) const;
    /// Number of the connection to the member, no other one has it; 0: there is
    /// none, or nothing was heard on it within two beats.
    [[nodiscard]] std::uint64_t live_connection(const std::string& name) const;
    /// False once a connection to the member has failed, until one is up again.
    [[nodiscard]] bool may_reach(const std::string& name) const;
    /// When the member last sent anything, also through a neighbour, or was
    /// first connected to if it has not yet; the epoch of the clock: it is none
    /// that is connected to.
    [[nodiscard]] instant last_seen(const std::string& name) const;
    /// When a member last heard the platform's store, as far as members said.
    [[nodiscard]] instant store_last_seen() const
    {
        return m_store_last_seen;
    }
    /// The same, of members that watch the store themselves only.
    [[nodiscard]] instant store_last_watched() const
    {
        return m_store_last_watched;
    }
    /// The member said lately that it watches the store and hears it.
    [[nodiscard]] bool watches_store(const std::string& name) const;
    /// Questions that went out on members' own links.
    [[nodiscard]] std::uint64_t direct_requests() const
    {
        return m_direct_requests;
    }

private:
    /// A question on a member's own link.
    struct direct_request
    {
        reply_handler m_done;
        instant m_sent_at{};
        milliseconds m_timeout{};
        /// May go through a neighbour; kept for that.
        std::optional<frame> m_frame;
        /// No answer is waited for once the link is silent.
        bool m_direct_only = false;
    };
    struct member_link
    {
        explicit member_link(asio::io_context& io) : m_wake(io) {}

        /// Notified when it is needed, or dropped.
        async_event m_wake;
        std::string m_name;
        std::string m_address;
        std::shared_ptr<frame_link> m_link;
        /// Of that connection.
        std::uint64_t m_number = 0;
        std::map<std::uint64_t, direct_request> m_calls;
        instant m_last_received{};
        instant m_last_reply{};
        /// A question went unanswered, and nothing was heard since.
        bool m_unresponsive = false;
        /// When it last heard the store by its own watch.
        instant m_last_watched{};
        /// What it was last told about whether its news are wanted.
        bool m_sent_subscribed = false;
        /// It was told that this process knows no members.
        bool m_sent_seeks = false;
        /// The last try to connect failed, or the connection ended.
        bool m_failed = false;
        instant m_failed_at{};
        /// When it was last asked anything.
        instant m_last_used{};
        /// Sent once it is connected to.
        std::vector<std::pair<frame, std::optional<direct_request>>> m_queued;
        bool m_removed = false;
    };

    void add_link(const std::string& name, const std::string& address);
    /// The row under \p rows that goes to \p target, by whatever name it was
    /// sought.
    [[nodiscard]] static std::shared_ptr<member_link>
    extract_link(std::map<std::string, std::shared_ptr<member_link>>& rows,
                 const member& target);
    task<> keep_connected(std::shared_ptr<member_link> row);
    /// Members are connected to when they are asked.
    [[nodiscard]] bool on_demand() const
    {
        return m_members_known && m_links.size() > m_max_persistent;
    }
    /// The member is to be connected to.
    [[nodiscard]] bool needed(const member_link& row) const;
    /// Not connected to, and nothing speaks against it.
    [[nodiscard]] bool connectable(const member_link& row) const;
    /// Connects to the member, and sends it \p value then.
    void enqueue(member_link& row, frame value,
                 std::optional<direct_request> asked);
    void send_queued(member_link& row);
    void fail_queued(member_link& row);
    void wake_needed();
    [[nodiscard]] dial_times choose_times(unsigned failures) const;
    /// Takes frames until the connection ends.
    /// \returns why it did
    task<std::string> serve_link(std::shared_ptr<member_link> row,
                                 std::shared_ptr<frame_link> link);
    void update_isolation();
    void handle_frame(member_link& row, frame value);
    void handle_heartbeat(member_link& row, const beat_message& beat);
    [[nodiscard]] static link_facts facts_of(const member_link& row);
    [[nodiscard]] static const char* reason_of(const member_link& row);
    [[nodiscard]] task<std::optional<frame>>
    await_reply(std::string name, std::uint64_t epoch, frame_body body,
                instant until, bool direct_only);
    void send_on_link(member_link& row, frame question, direct_request asked);
    /// Ends the calls, or passes them on to neighbours.
    void end_calls(const std::string& name, member_link& row);
    /// Asks a neighbour what the member's own link leaves open.
    void relay_request(const std::string& name, direct_request& asked);
    void record_received(const std::string& name, member_link& row);
    void mark_unresponsive(const std::string& name, member_link& row);
    task<> monitor_links();
    /// False: no question waits for a sign of life.
    [[nodiscard]] bool check_links();
    [[nodiscard]] bool subscribed_to(const std::string& name) const;
    void send_hello(member_link& row);
    /// Tells those who do not know it whether they are heard.
    void refresh_hellos();

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::string m_relay_address;
    std::string m_availability_zone;
    /// Null: there are none.
    relay_client* m_relay_client = nullptr;
    bool m_monitoring = false;
    std::uint64_t m_direct_requests = 0;
    std::function<void(const std::string&, const cluster_state&)> m_on_state;
    std::map<std::string, std::shared_ptr<member_link>> m_links;
    /// Empty: everybody.
    std::optional<std::vector<std::string>> m_sources;
    bool m_members_known = false;
    std::size_t m_max_persistent = SIZE_MAX;
    std::function<std::uint64_t()> m_known_runners;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_last_number = 0;
    instant m_store_last_seen{};
    instant m_store_last_watched{};
    /// The start of this VM, or when the last connection was lost.
    instant m_isolated_since{};
    bool m_stopped = false;
};

} // namespace pepperturn
