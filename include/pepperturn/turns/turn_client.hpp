// SPDX-License-Identifier: BSL-1.0
/// \file
/// Client of the storage VMs on an edge VM: reserves the tokens of a turn and
/// rebuilds its history before the request is sent, and stores the turn before
/// its response ends.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/turns/ledger.hpp"
#include "pepperturn/turns/turn_evidence.hpp"

#include <deque>
#include <functional>
#include <set>

namespace pepperturn {

enum class begin_outcome : std::uint8_t
{
    granted,
    over_budget,
    /// Every member that could store the parent reports that it does not.
    no_such_turn,
    /// Too few storage VMs replied in time; nothing is decided.
    unavailable,
    /// The history is larger than this VM may hold now.
    out_of_memory
};

/// How a history is fetched.
struct history_options
{
    /// Told the bytes of the history so far, before more is fetched.
    /// \returns false if this VM has no memory for them
    std::function<bool(std::uint64_t)> m_admit = {};
    /// When fetching is given up, if the replies of a quorum have told in time
    /// that there is a history; empty: at the deadline of the request.
    std::optional<instant> m_deadline = {};
};

struct begin_request
{
    id_key m_program;
    id_key m_attempt;
    /// Maximum tokens that the turn may deliver.
    std::uint32_t m_tokens = 0;
    std::uint64_t m_budget = 0;
    std::uint32_t m_retention_ms = 0;
    /// Empty: the first turn of its history.
    std::string m_parent;
};

struct begin_result
{
    begin_outcome m_outcome = begin_outcome::unavailable;
    /// The turns to continue from, oldest first.
    std::vector<turn_record> m_history;
    /// Runners that have prompts of the program cached.
    std::vector<prompt_location> m_prompt_locations;
    /// Reservations of the program's other attempts that are not settled.
    std::vector<reservation> m_unsettled;
    /// Figures that explain the outcome, for the log.
    std::string m_reason;
    /// Unless it is granted: why not, and what was known.
    begin_evidence m_evidence;
};

class turn_client
{
public:
    /// \param availability_zone members there are preferred
    turn_client(asio::io_context& io, const clock& time, member_links& links,
                std::string availability_zone, std::uint32_t disk_losses);

    /// Sets the views by which requests are sent.
    void follow(const std::vector<cluster_view>& views);

    /// False if no storage VM is reachable from this VM; others may reach them.
    [[nodiscard]] bool connected() const;
    /// What is known of the storage VMs, where \ref connected is false.
    [[nodiscard]] begin_evidence isolation() const;

    /// Reserves the tokens of a turn and fetches its history.
    [[nodiscard]] task<begin_result> begin(begin_request request,
                                           instant deadline);
    [[nodiscard]] task<begin_result>
    begin(begin_request request, instant deadline, history_options options);
    /// Reservations of a program that are not settled, without reserving
    /// anything.
    /// \returns empty: too few storage VMs replied
    [[nodiscard]] task<std::optional<std::vector<reservation>>>
    read_unsettled(id_key program, instant deadline);
    /// Members of nearer zones receive requests first.
    void set_zones(zone_map zones)
    {
        m_zones = std::move(zones);
    }
    /// True if every member that stores the program's turns is in \p regions.
    [[nodiscard]] bool
    stored_within(const id_key& program,
                  const std::set<std::string>& regions) const;
    /// True once the entry is synced on a write quorum.
    /// \param entry a turn
    [[nodiscard]] task<bool> store(log_entry entry, instant deadline);
    /// Sends the tokens that an attempt has used in the end, without waiting
    /// for replies. If the message is lost, the program is charged the whole
    /// reservation.
    /// \param location the runner that has its prompt cached
    void settle(const begin_request& request, std::uint32_t tokens,
                const prompt_location& location = {});

private:
    struct round;

    /// One replica set.
    struct set_row
    {
        cluster_view m_view;
        quorum_sizes m_quorums;
        /// When this VM learnt the view.
        instant m_since{};
    };
    /// A request that waits until it may fetch a page.
    struct page_waiter
    {
        explicit page_waiter(asio::io_context& io) : m_granted_event(io) {}
        async_event m_granted_event;
        bool m_granted = false;
    };
    /// Result of a search for a turn.
    struct search_result
    {
        /// Newest first; empty: not found.
        std::vector<turn_record> m_history;
        /// Every member that could store it reports that it does not.
        bool m_not_found = false;
        /// A member that may store it has too much to do to send it now.
        bool m_busy = false;
        bool m_out_of_memory = false;
        /// For the log: the turn that was not fetched, the replies to the last
        /// request for it, and what else kept it back.
        std::string m_missing;
        reply_tally m_in_set;
        reply_tally m_elsewhere;
        bool m_ancestor_absent = false;
        bool m_no_page_slot = false;
        bool m_late = false;
    };

    /// The replica set that stores a program; null: not known yet.
    [[nodiscard]] const set_row* set_for(const id_key& program) const;
    [[nodiscard]] const set_row* find_set(std::uint32_t set) const;
    /// Sends the request to the members that it still needs.
    void send_round(const std::shared_ptr<round>& work);
    void request_from(const std::shared_ptr<round>& work, const member& target);
    /// Sends what a turn has used to the members that do not store it, without
    /// waiting for replies: a member drops a program's ledger some time after
    /// it last heard of the program, and may be needed to tell what it spent.
    void settle_elsewhere(const round& work, const log_entry& settled);
    /// True if the time-out has passed since \p sent_at and nothing was
    /// received from any member.
    [[nodiscard]] bool partitioned_since(instant sent_at) const;
    [[nodiscard]] bool wrote_enough(const round& work) const;
    [[nodiscard]] bool read_enough(const round& work) const;
    [[nodiscard]] bool all_lack_parent(const round& work) const;
    /// The program's ledger, from all members that have replied.
    [[nodiscard]] static joint_ledger join_ledgers(const round& work);
    /// What is known of the program's set and of all storage VMs.
    [[nodiscard]] begin_evidence observe(const round& work) const;
    void observe_links(begin_evidence& out) const;
    [[nodiscard]] begin_fault fault_of(const round& work,
                                       const search_result& found) const;
    [[nodiscard]] begin_evidence explain(const round& work,
                                         const search_result& found) const;
    [[nodiscard]] std::string nearest_member(const set_row& set) const;
    /// A quorum of members, the nearest first.
    [[nodiscard]] std::vector<std::string>
    first_members(const set_row& set, std::uint64_t tiebreak) const;
    /// Repeats the request until enough members have replied, or no further
    /// reply can be expected.
    task<> await_quorum(std::shared_ptr<round> work, bool has_parent,
                        instant deadline);
    /// The same for a request that is over once \p enough holds.
    task<> await_replies(std::shared_ptr<round> work,
                         bool (turn_client::*enough)(const round&) const,
                         instant deadline);
    /// The turns that a request continues from, oldest first; empty if any is
    /// missing.
    /// \param begin_deadline until then the parent is searched for
    task<search_result> find_history(std::shared_ptr<round> work,
                                     begin_request request,
                                     instant begin_deadline, instant deadline,
                                     history_options options);
    /// Looks for a parent that a read quorum of the program's set lacks: in the
    /// other sets, and in the rest of its own, until it is found or all lack
    /// it. Found in its own set: the history is empty, and the round has it.
    task<search_result> search_parent(std::shared_ptr<round> work,
                                      begin_request request, instant deadline);
    /// Connected members that may have copies, the nearest first.
    [[nodiscard]] std::vector<std::string> readers_of(const set_row& set) const;
    /// A page of a turn and its ancestors as one member stores them, newest
    /// first.
    task<search_result> fetch_in_set(id_key program, std::string turn,
                                     std::uint32_t retention_ms,
                                     instant deadline);
    /// Waits until this request may fetch a page; false: not in time.
    task<bool> acquire_page(instant deadline);
    void release_page();
    /// The same from whichever replica set stores the turn. At most a few pages
    /// are fetched at a time, so that their memory is bounded before it is
    /// known how large they are.
    task<search_result> fetch_page(id_key program, std::string turn,
                                   std::uint32_t retention_ms,
                                   instant deadline);
    /// Fetches a page, and waits for members that are busy.
    task<search_result> await_page(id_key program, std::string turn,
                                   std::uint32_t retention_ms,
                                   instant deadline);
    /// Records why the history lacks \p turn, for the log.
    static void note_missing(search_result& found, const std::string& turn,
                             const search_result& page);
    /// Appends the turns that \p found lacks and reverses them to oldest first;
    /// empty if a turn cannot be fetched.
    task<search_result> complete_history(id_key program, std::string parent,
                                         std::uint32_t retention_ms,
                                         search_result found, instant deadline,
                                         history_options options);
    /// Requests a turn from the members of all sets except \p excluded_set: a
    /// program may continue from a turn of another program.
    task<search_result> search_elsewhere(std::string turn,
                                         std::uint32_t excluded_set,
                                         std::uint32_t retention_ms,
                                         instant deadline);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::string m_availability_zone;
    zone_map m_zones;
    std::uint32_t m_disk_losses;
    /// By set.
    std::vector<set_row> m_sets;
    unsigned m_fetching_pages = 0;
    /// Requests that wait until they may fetch a page, oldest first.
    std::deque<std::shared_ptr<page_waiter>> m_page_waiters;
};

} // namespace pepperturn
