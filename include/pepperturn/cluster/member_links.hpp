// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connections of one process to storage VMs, calls over them, and the news
/// that some of them tell.
#pragma once

#include "pepperturn/cluster/dialing.hpp"
#include "pepperturn/cluster/frame_link.hpp"

#include <map>

namespace pepperturn {

/// Empty: the connection ended before an answer came.
using frame_done = std::function<void(std::optional<frame>)>;

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
    void seek(const std::vector<std::string>& addresses);
    /// Connects to \p members and lets go of others.
    void follow(const std::vector<member>& members);
    /// Hears news from \p sources only; until this is called, from everybody.
    void subscribe(std::vector<std::string> sources);
    void stop();

    /// Asks one member; \p done may come at once if it is not connected.
    /// \param epoch of the view that the question goes by
    void call(const std::string& name, std::uint64_t epoch, frame_body body,
              frame_done done);
    /// The same as a task; empty if no answer comes before \p until.
    [[nodiscard]] task<std::optional<frame>>
    ask(std::string name, std::uint64_t epoch, frame_body body, instant until);
    /// Sends a notice, which nobody answers; lost if the member is not
    /// connected.
    void tell(const std::string& name, frame_body body);
    /// Tells a member the view, which it seems not to know.
    void tell_view(const std::string& name, const cluster_view& view);

    [[nodiscard]] bool connected(const std::string& name) const;
    /// False once a connection to the member has failed, until one is up again.
    [[nodiscard]] bool hopeful(const std::string& name) const;
    /// When the member last sent anything, or was first connected to if it has
    /// not yet; the epoch of the clock: it is none that is connected to.
    [[nodiscard]] instant last_heard(const std::string& name) const;
    /// When a member last heard the platform's store, as far as members said.
    [[nodiscard]] instant store_heard() const
    {
        return m_store_heard;
    }
    /// The same, of members that watch the store themselves only.
    [[nodiscard]] instant store_watched() const
    {
        return m_store_watched;
    }
    /// The member said lately that it watches the store and hears it.
    [[nodiscard]] bool watches_store(const std::string& name) const;

private:
    struct link_row
    {
        std::string m_name;
        std::string m_address;
        std::shared_ptr<frame_link> m_link;
        std::map<std::uint64_t, frame_done> m_calls;
        instant m_heard{};
        /// When it last heard the store by its own watch.
        instant m_watched{};
        /// What it was last told about whether its news are wanted.
        bool m_told_wants = false;
        /// The last try to connect failed, or the connection ended.
        bool m_failed = false;
        bool m_dropped = false;
    };

    void add_row(const std::string& name, const std::string& address);
    /// The row under \p rows that goes to \p target, by whatever name it was
    /// sought.
    [[nodiscard]] static std::shared_ptr<link_row>
    take_row(std::map<std::string, std::shared_ptr<link_row>>& rows,
             const member& target);
    task<> keep_connected(std::shared_ptr<link_row> row);
    [[nodiscard]] dial_times choose_times(unsigned failures) const;
    /// Takes frames until the connection ends.
    /// \returns why it did
    task<std::string> serve_link(std::shared_ptr<link_row> row,
                                 std::shared_ptr<frame_link> link);
    void note_lost();
    void take_frame(link_row& row, frame value);
    void take_beat(link_row& row, const beat_message& beat);
    void end_calls(link_row& row);
    [[nodiscard]] bool wants_news_of(const std::string& name) const;
    void greet(link_row& row);
    /// Tells those who do not know it whether they are heard.
    void greet_anew();

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::function<void(const std::string&, const cluster_state&)> m_on_state;
    std::map<std::string, std::shared_ptr<link_row>> m_rows;
    /// Empty: everybody.
    std::optional<std::vector<std::string>> m_sources;
    bool m_following = false;
    std::uint64_t m_next_call = 1;
    instant m_store_heard{};
    instant m_store_watched{};
    /// The start of this VM, or when the last connection was lost.
    instant m_alone_since{};
    bool m_stopped = false;
};

} // namespace pepperturn
