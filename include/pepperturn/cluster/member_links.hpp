// SPDX-License-Identifier: BSL-1.0
/// \file
/// Connections of one process to the storage VMs of the current view, and
/// calls over them.
#pragma once

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

    /// Connects to \p addresses until a view is known.
    void seek(const std::vector<std::string>& addresses);
    /// Connects to the members of \p view and lets go of others.
    void follow(const cluster_view& view);
    void stop();

    /// Asks one member; \p done may come at once if it is not connected.
    void call(const std::string& name, frame_body body, frame_done done);
    /// The same as a task; empty if no answer comes before \p until.
    [[nodiscard]] task<std::optional<frame>>
    ask(std::string name, frame_body body, instant until);
    /// Tells a member the view, which it seems not to know.
    void tell_view(const std::string& name);

    [[nodiscard]] bool connected(const std::string& name) const;
    /// When the member last sent anything; the epoch of the clock: never.
    [[nodiscard]] instant last_heard(const std::string& name) const;
    /// When a member that itself hears the platform's store last said so.
    [[nodiscard]] instant store_heard() const
    {
        return m_store_heard;
    }

private:
    struct link_row
    {
        std::string m_address;
        std::shared_ptr<frame_link> m_link;
        std::map<std::uint64_t, frame_done> m_calls;
        instant m_heard{};
        bool m_dropped = false;
    };

    void add_row(const std::string& name, const std::string& address);
    task<> keep_connected(std::string name, std::shared_ptr<link_row> row);
    void take_frame(const std::string& name, link_row& row, frame value);
    void end_calls(link_row& row);

    asio::io_context& m_io;
    const clock& m_time;
    std::string m_self_name;
    std::function<void(const std::string&, const cluster_state&)> m_on_state;
    std::map<std::string, std::shared_ptr<link_row>> m_rows;
    cluster_view m_view;
    std::uint64_t m_next_call = 1;
    instant m_store_heard{};
    bool m_stopped = false;
};

} // namespace pepperturn
