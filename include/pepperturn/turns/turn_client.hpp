// SPDX-License-Identifier: BSL-1.0
/// \file
/// What an edge VM asks of the storage VMs: to set a turn's tokens aside and
/// rebuild its chain before it is sent, and to keep it before its answer ends.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/cluster/member_links.hpp"
#include "pepperturn/cluster/replica_sets.hpp"
#include "pepperturn/turns/ledger.hpp"

#include <set>

namespace pepperturn {

enum class begin_outcome : std::uint8_t
{
    granted,
    over_budget,
    /// Every copy that could hold the parent says that it does not.
    no_such_turn,
    /// Too few storage VMs answered in time; nothing is decided.
    unavailable
};

struct begin_request
{
    id_key m_program;
    id_key m_attempt;
    /// The most tokens that the turn may hand out.
    std::uint32_t m_tokens = 0;
    std::uint64_t m_budget = 0;
    std::uint32_t m_retention_ms = 0;
    /// Empty: the first turn of its line.
    std::string m_parent;
};

struct begin_result
{
    begin_outcome m_outcome = begin_outcome::unavailable;
    /// The turns to go on from, oldest first.
    std::vector<turn_record> m_history;
    /// Where the program's prompts have been read.
    std::vector<prompt_location> m_prompt_locations;
    /// What decided, for the log.
    std::string m_reason;
};

class turn_client
{
public:
    /// \param availability_zone members there are asked for chains first
    turn_client(asio::io_context& io, const clock& time, member_links& links,
                std::string availability_zone, std::uint32_t disk_losses);

    /// The views that calls go by.
    void follow(const std::vector<cluster_view>& views);

    /// False if this VM hears none of the storage VMs: others may well.
    [[nodiscard]] bool connected() const;

    [[nodiscard]] task<begin_result> begin(begin_request request,
                                           instant until);
    /// Members of nearer zones are asked first.
    void set_zones(zone_map zones)
    {
        m_zones = std::move(zones);
    }
    /// Every member that keeps the program's turns lies in \p regions.
    [[nodiscard]] bool
    stored_within(const id_key& program,
                  const std::set<std::string>& regions) const;
    /// True once enough disks hold the entry.
    /// \param entry a turn
    [[nodiscard]] task<bool> store(log_entry entry, instant until);
    /// Tells what an attempt has had in the end; not waited for. If it is
    /// lost, the program is charged the whole reservation.
    /// \param place where its prompt was read
    void settle(const begin_request& request, std::uint32_t tokens,
                const prompt_location& place = {});

private:
    struct round;

    /// One replica set.
    struct set_row
    {
        cluster_view m_view;
        quorum_sizes m_quorums;
    };
    /// What other replica sets know of a turn.
    struct search_result
    {
        /// Newest first; empty: not found.
        std::vector<turn_record> m_history;
        /// Every copy that could hold it says that it does not.
        bool m_not_found = false;
    };

    /// The set that keeps a program; null: not known yet.
    [[nodiscard]] const set_row* set_for(const id_key& program) const;
    [[nodiscard]] const set_row* find_set(std::uint32_t set) const;
    void send_round(const std::shared_ptr<round>& work);
    void request_from(const std::shared_ptr<round>& work, const member& target);
    /// No member has said anything since \p asked, for long enough.
    [[nodiscard]] bool partitioned_since(instant asked) const;
    [[nodiscard]] bool wrote_enough(const round& work) const;
    [[nodiscard]] bool read_enough(const round& work) const;
    [[nodiscard]] bool all_lack_parent(const round& work) const;
    [[nodiscard]] std::string nearest_member(const set_row& set) const;
    /// A quorum of members, the nearest first.
    [[nodiscard]] std::vector<std::string>
    first_members(const set_row& set, std::uint64_t draw) const;
    /// Asks until enough have answered, or until nothing more can be expected.
    task<> await_quorum(std::shared_ptr<round> work, bool has_parent,
                        instant until);
    /// The turns that a request goes on from, oldest first; empty unless they
    /// are all there.
    task<search_result> find_history(std::shared_ptr<round> work,
                                     begin_request request, instant until);
    /// A turn and those before it as far as one member knows, newest first.
    task<std::vector<turn_record>> fetch_in_set(id_key program,
                                                std::string turn,
                                                std::uint32_t retention_ms,
                                                instant until);
    /// Appends what \p chain lacks, and turns it oldest first; false if not all
    /// is within reach.
    task<bool> complete_history(id_key program, std::string parent,
                                std::uint32_t retention_ms,
                                std::vector<turn_record>& chain, instant until);
    /// Asks the members of all sets but \p besides for a turn: a program may
    /// go on from another one's turn.
    task<search_result> search_elsewhere(std::string turn,
                                         std::uint32_t besides,
                                         std::uint32_t retention_ms,
                                         instant until);

    asio::io_context& m_io;
    const clock& m_time;
    member_links& m_links;
    std::string m_availability_zone;
    zone_map m_zones;
    std::uint32_t m_disk_losses;
    /// By set.
    std::vector<set_row> m_sets;
};

} // namespace pepperturn
