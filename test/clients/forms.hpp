// SPDX-License-Identifier: BSL-1.0
/// \file
/// The crowds that are tried, and what the process may use meanwhile.
#pragma once

#include "clients/crowd.hpp"

#include <string>
#include <vector>

namespace pepperturn::clients {

/// Which listener a crowd meets.
enum class listener : std::uint8_t
{
    /// An edge VM's, for callers.
    callers,
    /// An edge VM's, for readiness.
    ready,
    /// An edge VM's, for requests that peers relay.
    relay,
    /// A storage VM's.
    frames,
    /// That of pepperturnd.
    own
};

/// One crowd, the limits of the process that meets it, and its bounds.
struct crowd_case
{
    std::string m_name;
    listener m_listener = listener::callers;
    crowd_form m_form;
    std::size_t m_count = 24;
    /// Memory of the VM; the process's private memory stays below it.
    std::uint32_t m_memory_mb = 64;
    /// Descriptors of the VM; the process has no more open.
    std::uint32_t m_descriptors = 4100;
    /// Crowds one after the other.
    unsigned m_crowds = 1;
    /// Once the last crowd has left, the process has at most so much more
    /// private memory, and so many more descriptors, than before the first.
    std::uint32_t m_kept_mb = UINT32_MAX;
    std::uint32_t m_kept_descriptors = UINT32_MAX;
    /// An ordinary request is answered while the crowd is there, too.
    bool m_served_meanwhile = false;
};

/// All of them, by name.
[[nodiscard]] std::vector<crowd_case> all_cases();

} // namespace pepperturn::clients
