// SPDX-License-Identifier: BSL-1.0
/// \file
/// Limits what the callers' connections of a VM hold, and chooses which are
/// closed when there is no room.
///
/// Load pattern: thousands of connections that say nothing, or that begin
/// requests and do not finish them. Each takes a descriptor and memory, and a
/// VM without either serves nobody. So callers' connections have a share of
/// both. Beyond it, whoever uses its share least gives way: first a connection
/// that has sent nothing, then one that rests between requests, the longest
/// first, then the request that is incomplete and holds most for longest. A
/// request that is complete keeps its connection.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pepperturn {

/// Descriptors of an edge VM, by what they are used for.
struct descriptor_shares
{
    /// Callers' connections.
    std::size_t m_callers = 0;
    /// Connections to runners: one for each request that is served, and those
    /// that are kept.
    std::size_t m_runners = 0;
    /// Storage VMs, peers, the platform's store, listeners, files.
    std::size_t m_own = 0;

    friend bool operator==(const descriptor_shares&,
                           const descriptor_shares&) = default;
};

/// \param descriptors that the process may have open
[[nodiscard]] descriptor_shares share_descriptors(std::size_t descriptors);

/// Memory of callers' connections and of the heads of their requests, at most,
/// in bytes.
/// \param memory_mb memory of the VM for this process, in megabytes; 0:
/// unknown
[[nodiscard]] std::uint64_t intake_limit(std::uint32_t memory_mb);

/// A request that has not arrived completely.
struct incomplete_request
{
    /// Memory that is held for it.
    std::uint64_t m_bytes = 0;
    /// Since its first byte.
    milliseconds m_age{0};

    friend bool operator==(const incomplete_request&,
                           const incomplete_request&) = default;
};

/// Indices of the requests to give up so that \p bytes are freed, as few as
/// that takes: those that hold most for longest first.
[[nodiscard]] std::vector<std::size_t>
choose_incomplete(const std::vector<incomplete_request>& requests,
                  std::uint64_t bytes);

} // namespace pepperturn
