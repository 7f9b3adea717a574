// SPDX-License-Identifier: BSL-1.0
/// \file
/// Which members of its replica set a storage VM takes for unresponsive, gone
/// or out of reach, from how long it has heard nothing of each.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pepperturn {

/// What one VM knows of its connection to another member.
struct member_contact
{
    std::string m_name;
    /// The view has it as lost already.
    bool m_lost = false;
    bool m_connected = false;
    /// Since it was last heard, or since this process started.
    milliseconds m_silent_for{};

    friend bool operator==(const member_contact&,
                           const member_contact&) = default;
};

/// What decides, besides the contacts.
struct silence_facts
{
    std::uint32_t m_disk_losses = 1;
    /// This VM was isolated a moment ago, see \ref is_isolated.
    bool m_isolated = false;
    /// Of all configured routes; empty: not known yet.
    std::optional<milliseconds> m_longest_retention;
    /// For how long nobody has changed the view of the set.
    milliseconds m_view_unchanged_for{};

    friend bool operator==(const silence_facts&,
                           const silence_facts&) = default;
};

struct silent_members
{
    /// Unresponsive long enough to be dropped.
    std::set<std::string> m_unresponsive;
    /// Silent for so long that they are not expected to return.
    std::set<std::string> m_gone;
    /// Not reached at the moment.
    std::set<std::string> m_unreachable;

    friend bool operator==(const silent_members&,
                           const silent_members&) = default;
};

/// Ten heartbeats: a restart or a freeze is over by then, a loss is not.
constexpr milliseconds unresponsive_timeout{5000};

/// True if so many members are silent that this VM itself is probably cut off
/// from them.
[[nodiscard]] bool is_isolated(const std::vector<member_contact>& contacts,
                               std::uint32_t disk_losses);

[[nodiscard]] silent_members
judge_silence(const std::vector<member_contact>& contacts,
              const silence_facts& facts);

} // namespace pepperturn
