// SPDX-License-Identifier: BSL-1.0
/// \file
/// The frame interface of a storage VM: serves requests of edge VMs and other
/// storage VMs from its turn store, and sends them the cluster state.
#pragma once

#include "pepperturn/base/latency_histogram.hpp"
#include "pepperturn/cluster/frame_link.hpp"
#include "pepperturn/cluster/list_sender.hpp"
#include "pepperturn/cluster/silent_links.hpp"
#include "pepperturn/turns/turn_store.hpp"

#include <boost/asio/thread_pool.hpp>
#include <set>

namespace pepperturn {

/// An entry of another member's log.
struct copied_entry
{
    std::string m_bytes;
    /// How much longer that member retains it; zero: unknown.
    milliseconds m_remaining{0};
    /// The turn that it has to be.
    id_key m_key;
};

class turn_server
{
public:
    turn_server(asio::io_context& io, const clock& time, std::string name,
                turn_log& log, turn_store& store);
    ~turn_server();

    [[nodiscard]] bool listen(const tcp::endpoint& at, std::string& reason);
    void stop();

    /// Begins to serve turns, once the disk is loaded. Until then only the
    /// cluster state is served.
    /// \param disk identity of the disk
    void open(std::uint64_t disk);

    /// Restores the cluster state that was saved when the process last ran.
    void load_state();
    /// Writes the cluster state to the disk if it has changed, on the writer's
    /// thread.
    void save_state();

    /// Records that no VM owns anything by views older than the known ones.
    void mark_settled();
    /// Merges newer state and sends the change to subscribers; the handler of
    /// on_change is called after each.
    void apply_state(const cluster_state& update);
    void on_change(std::function<void(const state_change&)> handler);
    /// Takes over suspects and sends what is new to subscribers; the handler of
    /// on_suspects gets that too.
    void apply_suspects(const std::vector<suspect>& rows);
    [[nodiscard]] std::vector<suspect> suspects() const
    {
        return m_suspects.list(m_time.now());
    }
    void on_suspects(std::function<void(const std::vector<suspect>&)> handler);
    /// Sends the reply to a request, at once or later; no effect if the
    /// requester has disconnected.
    using reply_sender = std::function<void(frame_body)>;
    /// Handles requests and notifications that are not about turns, whatever
    /// the requester's view is; false: it is none of these.
    using request_handler =
        std::function<bool(std::uint64_t requester, const frame_body& body,
                           const reply_sender& send)>;
    /// \param handler takes the number of the requester's connection first
    void on_request(request_handler handler);
    /// Called with the number of each connection that has ended.
    void on_disconnect(std::function<void(std::uint64_t)> handler);
    [[nodiscard]] const cluster_state& state() const
    {
        return m_state;
    }
    /// The view of the replica set that this VM is a member of; empty and of
    /// epoch 0 if there is none.
    [[nodiscard]] const cluster_view& own_view() const
    {
        return m_own_view;
    }
    /// Reports to every connected VM that the platform's store was last
    /// reachable \p store_age ago.
    /// \param watches this VM watches the store itself
    void send_heartbeat(milliseconds store_age, bool watches);

    /// Inserts entries that another member stores; synced() syncs them.
    void add_reservations(const std::vector<kept_reservation>& rows);
    /// \returns false if some are not the turns that they have to be; the
    /// others are inserted
    bool add_encoded(const std::vector<copied_entry>& entries);
    /// Syncs all entries inserted so far and waits for that; false: a write
    /// failed.
    [[nodiscard]] task<bool> synced();

    /// Records that this member now stores what all others had at \p epoch.
    void mark_gathered(std::uint64_t epoch);

    /// Members that store everything this one had at \p epoch.
    [[nodiscard]] std::set<std::string> copied_by(std::uint64_t epoch) const;
    /// Appends counters and latencies, one line each.
    void write_metrics(std::string& out) const;
    /// False once the disk refused a write.
    [[nodiscard]] bool disk_good() const
    {
        return m_disk_good;
    }

private:
    /// Snapshot of what was stored at some time in an epoch.
    struct holdings
    {
        std::uint64_t m_identity = 0;
        std::uint64_t m_epoch = 0;
        std::vector<located_turn> m_turns;
        std::vector<kept_reservation> m_reservations;
    };
    struct peer
    {
        /// Unique number of the connection.
        std::uint64_t m_number = 0;
        std::string m_name;
        std::shared_ptr<frame_link> m_link;
        /// Its relay address, empty if it does not relay.
        relay_peer m_relay;
        /// Receives every change of the cluster state.
        bool m_subscribed = false;
        /// The listing that it is paging through, if it copies.
        std::shared_ptr<const holdings> m_holdings;
        /// Identity of the last listing that it began; 0: none.
        std::uint64_t m_last_listing = 0;
    };
    /// The update for new subscribers, encoded once.
    struct encoded_update
    {
        std::uint64_t m_changes = 0;
        std::uint64_t m_known = 0;
        std::uint64_t m_epoch = 0;
        std::shared_ptr<const std::string> m_bytes;
    };
    struct pending_reply
    {
        std::shared_ptr<frame_link> m_link;
        frame m_reply;
    };

    /// \param outdated identity of a listing that is not given out again
    [[nodiscard]] std::shared_ptr<const holdings>
    list_holdings(std::uint64_t outdated);
    /// The listing that a page is requested of; empty: it is none of those that
    /// this VM still has for the requester.
    [[nodiscard]] std::shared_ptr<const holdings>
    listing_for(peer& from, const list_message& request);
    /// Writes the cluster state before anything is done under a new own view.
    void save_own_view();
    void handle_hello(const std::shared_ptr<peer>& from,
                      const hello_message& hello);
    /// Connected edge VMs that can relay requests of \p requester.
    [[nodiscard]] relay_peers_message
    relay_peers_for(const peer& requester) const;
    /// Sends a subscriber the state that it lacks.
    /// \param known revision up to which it has all runners
    void send_full_update(const peer& to, std::uint64_t known);
    void send_change(const state_change& change);
    /// Sends a notification to every subscriber.
    void send_to_subscribers(const frame& value);
    task<> accept_links();
    void add_link(tcp::socket socket);
    void handle_frame(const std::shared_ptr<peer>& from, frame value);
    [[nodiscard]] frame_status check(const frame& value) const;
    void handle_begin(const std::shared_ptr<peer>& from, std::uint64_t call,
                      const begin_message& request);
    void handle_list(const std::shared_ptr<peer>& from, std::uint64_t call,
                     const list_message& request);
    /// Bytes that wait to be sent, to all VMs together.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// So much waits to be sent that more turns would take too much memory.
    [[nodiscard]] bool is_overloaded() const;
    /// The requester waits, or asks another member.
    void refuse_overloaded(const std::shared_ptr<peer>& from,
                           std::uint64_t call);
    void handle_fetch(const std::shared_ptr<peer>& from, std::uint64_t call,
                      const fetch_message& request);
    void handle_read(const std::shared_ptr<peer>& from, std::uint64_t call,
                     const read_message& request);
    void handle_read_turns(const std::shared_ptr<peer>& from,
                           std::uint64_t call,
                           const read_turns_message& request);
    void send_reply(const std::shared_ptr<peer>& from, std::uint64_t call,
                    frame_status status, frame_body body);
    void reply_when_synced(const std::shared_ptr<peer>& from,
                           std::uint64_t call, frame_body body);
    void commit();
    void committed(const std::vector<log_batch>& batches, bool good,
                   const std::string& reason);

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_name;
    /// Empty while the disk is being loaded.
    std::optional<std::uint64_t> m_disk;
    turn_log& m_log;
    turn_store& m_store;
    asio::thread_pool m_writer{1};
    tcp::acceptor m_acceptor;
    silent_links m_silent;
    cluster_state m_state;
    cluster_view m_own_view;
    std::function<void(const state_change&)> m_on_change;
    request_handler m_on_request;
    std::function<void(std::uint64_t)> m_on_disconnect;
    std::function<void(const std::vector<suspect>&)> m_on_suspects;
    suspect_table m_suspects;
    std::uint64_t m_last_number = 0;
    std::set<std::shared_ptr<peer>> m_peers;
    /// Replies that wait for entries that are queued, and for entries that are
    /// being written.
    std::vector<pending_reply> m_queued_replies;
    std::vector<pending_reply> m_writing_replies;
    std::vector<std::function<void(bool)>> m_queued_waits;
    std::vector<std::function<void(bool)>> m_writing_waits;
    bool m_writing = false;
    instant m_writing_since{};
    latency_histogram m_syncs;
    /// Number of requests by the status of their reply.
    std::map<frame_status, std::uint64_t> m_reply_counts;
    /// Requests for turns that were refused since too much was unsent.
    std::uint64_t m_refused_reads = 0;
    /// Number of changes of the state so far.
    std::uint64_t m_changes = 0;
    std::optional<encoded_update> m_full_update;
    list_sender m_lists;
    /// Revision of the runners that all subscribers have been sent.
    std::uint64_t m_sent_runners_revision = 0;
    std::uint64_t m_update_bytes = 0;
    bool m_state_saved = true;
    bool m_disk_good = true;
    std::map<std::string, std::uint64_t> m_copied_at;
    std::uint64_t m_gathered_at = 0;
    /// Shared by all members that begin to copy at the same time.
    std::weak_ptr<const holdings> m_holdings;
    std::uint64_t m_last_listing = 0;
};

} // namespace pepperturn
