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
#include "pepperturn/cluster/neighbours.hpp"

#include <map>
#include <set>

namespace pepperturn {

/// What went through neighbours so far.
struct detour_counts
{
    std::uint64_t m_asked = 0;
    /// No neighbour brought an answer.
    std::uint64_t m_unanswered = 0;

    friend bool operator==(const detour_counts&,
                           const detour_counts&) = default;
};

class detours
{
public:
    detours(asio::io_context& io, const clock& time, std::string self_name,
            std::string availability_zone);

    /// Takes the neighbours to ask from now on. An empty list is passed over:
    /// a VM that tells it has just started.
    void follow(std::vector<neighbour> neighbours);
    void stop();
    /// Called for what a neighbour tells of the world.
    void on_state(std::function<void(const cluster_state&)> handler)
    {
        m_on_state = std::move(handler);
    }
    /// Neighbours are to tell of the world from now on, or not any more.
    void want_news(bool wanted);

    /// Some neighbour may reach \p member.
    [[nodiscard]] bool hopeful(const std::string& member) const;
    /// Asks \p member through a neighbour.
    /// \param reason why it is not reached directly, for the log
    /// \param question its epoch goes with it as it is
    /// \param done comes exactly once; at once if nobody can be asked
    /// \param patience the next neighbour is tried after it at the latest; one
    /// below \ref usual_silence ends the question at twice its length
    void ask(const std::string& member, const char* reason,
             const frame& question, frame_done done, milliseconds patience);
    /// Asks a member that is not reached directly for a sign of life, unless
    /// it was heard a moment ago; at ever longer intervals while there is none.
    void probe(const std::string& member, const char* reason);
    /// The member is reached directly again.
    void end(const std::string& member);

    /// When the member last answered through a neighbour; the epoch of the
    /// clock: never.
    [[nodiscard]] instant last_heard(const std::string& member) const;
    /// Neighbours that may be asked.
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    [[nodiscard]] const detour_counts& counts() const
    {
        return m_counts;
    }

private:
    struct neighbour_row
    {
        neighbour m_who;
        std::shared_ptr<frame_link> m_link;
        bool m_connecting = false;
        bool m_dropped = false;
        instant m_heard{};
        instant m_avoid_until{};
        /// Failures in a row to connect or to answer.
        std::uint32_t m_failures = 0;
        /// Members that it does not reach, by its own word.
        std::map<std::string, instant> m_cannot_until;
        /// Questions that wait for the connection.
        std::vector<std::uint64_t> m_queued;
        /// Questions that it has not answered.
        std::set<std::uint64_t> m_open;
    };
    struct open_question
    {
        std::string m_member;
        frame m_frame;
        frame_done m_done;
        std::set<std::string> m_tried;
        milliseconds m_patience{};
        instant m_until{};
        /// When the last neighbour was asked.
        instant m_last_try{};
        std::string m_last_neighbour;
    };
    /// A member that is asked through neighbours.
    struct member_row
    {
        instant m_heard{};
        instant m_next_probe{};
        milliseconds m_probe_interval{};
        bool m_probing = false;
        /// An answer has come since it was last reached directly.
        bool m_begun = false;
        const char* m_reason = "";
    };

    void note_probe(member_row& row, bool answered) const;
    [[nodiscard]] std::vector<neighbour_facts>
    facts_for(const std::string& member,
              const std::set<std::string>& tried) const;
    void try_next(std::uint64_t id);
    task<> connect(std::shared_ptr<neighbour_row> row);
    void take_frame(const std::shared_ptr<neighbour_row>& row,
                    const frame& value);
    void take_answer(neighbour_row& row, std::uint64_t id, frame answer);
    void lose(neighbour_row& row);
    void avoid(neighbour_row& row);
    /// Some neighbour may still answer.
    [[nodiscard]] bool is_open(std::uint64_t id) const;
    /// One neighbour has no answer to a question.
    void give_up(neighbour_row& row, std::uint64_t id);
    void finish(std::uint64_t id, std::optional<frame> answer);
    void start_watch();
    /// Goes on to the next neighbour where one says nothing.
    task<> watch_questions();
    void look_at(std::uint64_t id);

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::string m_availability_zone;
    std::vector<std::shared_ptr<neighbour_row>> m_rows;
    std::map<std::uint64_t, open_question> m_questions;
    std::map<std::string, member_row> m_members;
    std::uint64_t m_next_question = 1;
    std::function<void(const cluster_state&)> m_on_state;
    bool m_wants_news = false;
    bool m_watching = false;
    bool m_stopped = false;
    detour_counts m_counts;
};

} // namespace pepperturn
